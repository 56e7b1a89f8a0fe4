#ifndef CITRONPULLEY_CONFIG_CONFIG_H
#define CITRONPULLEY_CONFIG_CONFIG_H

/**
 * @file
 * Module `config`: the settings of a daemon and the operators' catalogue. Both are TOML files, and
 * for both all faults are reported at once. It depends on `base`.
 */

#include "citronpulley/config/catalogue.h"
#include "citronpulley/config/config_fault.h"
#include "citronpulley/config/vm_settings.h"

#endif
