#include "citronpulley/state/view_delta.h"

#include "citronpulley/wire/codec.h"

namespace citronpulley {

std::string EncodeDelta(const view_delta& aDelta)
{
  return EncodeValue(aDelta);
}

result<view_delta> DecodeDelta(std::string_view aBytes)
{
  return DecodeValue<view_delta>(aBytes);
}

} // namespace citronpulley
