#include "citronpulley/fleet/fleet_message.h"

#include "citronpulley/wire/codec.h"

namespace citronpulley {

std::string EncodeFleetMessage(const fleet_message& aMessage)
{
  return EncodeValue(aMessage);
}

result<fleet_message> DecodeFleetMessage(std::string_view aBytes)
{
  return DecodeValue<fleet_message>(aBytes);
}

} // namespace citronpulley
