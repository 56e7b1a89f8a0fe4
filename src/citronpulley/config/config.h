#ifndef CITRONPULLEY_CONFIG_CONFIG_H
#define CITRONPULLEY_CONFIG_CONFIG_H

/**
 * @file
 * Module `config`: the settings of a daemon and the operators' text, both in TOML and both checked
 * as a whole, with all faults reported at once. It depends on `base`.
 */

#include "citronpulley/config/catalogue.h"
#include "citronpulley/config/config_fault.h"
#include "citronpulley/config/vm_settings.h"

#endif
