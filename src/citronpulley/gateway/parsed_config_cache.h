#ifndef CITRONPULLEY_GATEWAY_PARSED_CONFIG_CACHE_H
#define CITRONPULLEY_GATEWAY_PARSED_CONFIG_CACHE_H

#include "citronpulley/base/result.h"
#include "citronpulley/steering/traffic_config.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace citronpulley {

/**
 * Keeps the configuration that was parsed last. A leader checks a configuration before it proposes
 * it, and reads the same text again when it is in force; parsing 1,600 routes takes 12 ms. Not
 * thread-safe.
 */
class parsed_config_cache
{
public:
  using parser = std::function<result<traffic_config>(std::string_view)>;

  explicit parsed_config_cache(parser aParser)
    : mParser(std::move(aParser))
  {
  }

  /** Keeps a configuration with its text. */
  void Set(std::string aText, traffic_config aConfig);

  /** @return the configuration of the text, parsed now unless it is the kept one */
  result<traffic_config> Parse(std::string_view aText) const;

private:
  parser mParser;
  std::string mText;
  std::optional<traffic_config> mConfig;
};

} // namespace citronpulley

#endif
