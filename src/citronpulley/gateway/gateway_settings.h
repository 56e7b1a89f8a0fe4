#ifndef CITRONPULLEY_GATEWAY_GATEWAY_SETTINGS_H
#define CITRONPULLEY_GATEWAY_GATEWAY_SETTINGS_H

#include "citronpulley/base/result.h"
#include "citronpulley/gateway/control_gateway.h"
#include "citronpulley/gateway/entry_gateway.h"

#include <string>

namespace citronpulley {

/**
 * Reads the settings file of an entry VM.
 *
 * @param aPath TOML file; `docs/OPERATIONS.md` lists its keys
 * @return the settings, or an error that names the file, and the key or the line or both
 */
result<entry_gateway_settings> ReadEntryGatewaySettings(const std::string& aPath);

/** Reads the settings file of a control VM; see ReadEntryGatewaySettings(). */
result<control_gateway_settings> ReadControlGatewaySettings(const std::string& aPath);

} // namespace citronpulley

#endif
