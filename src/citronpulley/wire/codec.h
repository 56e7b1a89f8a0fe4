#ifndef CITRONPULLEY_WIRE_CODEC_H
#define CITRONPULLEY_WIRE_CODEC_H

#include "citronpulley/base/result.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <new>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>

/**
 * @file
 * Binary codec for values that have a `serialize` member. Include it in `.cpp` files only, since
 * the library's headers are heavy.
 */

namespace citronpulley {

/**
 * Encodes a value in a form that does not depend on the machine.
 *
 * @param aValue value with a `serialize` member, or a standard container of such values
 * @return the bytes
 */
template<typename Value>
std::string EncodeValue(const Value& aValue)
{
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(aValue);
  }
  return std::move(stream).str();
}

/**
 * Decodes a value. The bytes must hold exactly one value. Decode only bytes whose origin was
 * checked: a forged length can make the codec ask for much memory, which ends as an error here.
 *
 * @param aBytes output of EncodeValue()
 * @return the value, or `bad_message`
 */
template<typename Value>
result<Value> DecodeValue(std::string_view aBytes)
{
  try {
    std::istringstream stream(std::string(aBytes), std::ios::binary);
    cereal::PortableBinaryInputArchive archive(stream);
    Value value;
    archive(value);
    if (stream.peek() != std::istringstream::traits_type::eof()) {
      return MakeError(error_code::BadMessage, step::Decode, "", "bytes follow the value");
    }
    return value;
  } catch (const cereal::Exception& failure) {
    return MakeError(error_code::BadMessage, step::Decode, "", failure.what());
  } catch (const std::length_error&) {
    return MakeError(error_code::BadMessage, step::Decode, "", "a length is out of range");
  } catch (const std::bad_alloc&) {
    return MakeError(error_code::BadMessage, step::Decode, "", "a length is out of range");
  }
}

} // namespace citronpulley

#endif
