#include "citronpulley/state/command.h"

#include "citronpulley/wire/codec.h"

namespace citronpulley {

std::string EncodeCommand(const command& aCommand)
{
  return EncodeValue(aCommand);
}

result<command> DecodeCommand(std::string_view aBytes)
{
  return DecodeValue<command>(aBytes);
}

} // namespace citronpulley
