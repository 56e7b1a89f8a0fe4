#include "citronpulley/gateway/parsed_config_cache.h"

#include <utility>

namespace citronpulley {

void parsed_config_cache::Set(std::string aText, traffic_config aConfig)
{
  mText = std::move(aText);
  mConfig = std::move(aConfig);
}

result<traffic_config> parsed_config_cache::Parse(std::string_view aText) const
{
  return mConfig && mText == aText ? result<traffic_config>(*mConfig) : mParser(aText);
}

} // namespace citronpulley
