#ifndef CITRONPULLEY_WIRE_CODEC_H
#define CITRONPULLEY_WIRE_CODEC_H

#include "citronpulley/base/result.h"
#include "citronpulley/wire/bounded_input_archive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <string>
#include <string_view>

/**
 * @file
 * Binary codec for values that have a `serialize` member, built on cereal. Include it in `.cpp`
 * files only: the headers of cereal are slow to compile.
 */

namespace citronpulley {

/**
 * Encodes a value in a portable format: byte order and word size of the processor do not matter.
 *
 * @param aValue value with a `serialize` member, or a standard container of such values
 * @return the encoded bytes
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
 * Decodes a value from bytes that hold exactly one value. The bytes may be damaged or forged: the
 * value takes a small multiple of their size at most.
 *
 * @param aBytes output of EncodeValue()
 * @return the value, or `bad_message` when the bytes are malformed, truncated or too long
 */
template<typename Value>
result<Value> DecodeValue(std::string_view aBytes)
{
  try {
    bounded_input_archive archive(aBytes);
    Value value;
    archive(value);
    if (archive.CountRemaining() > 0) {
      return MakeError(error_code::BadMessage,
                       step::Decode,
                       "",
                       "the encoded value ends at byte " +
                         std::to_string(aBytes.size() - archive.CountRemaining()) + " of " +
                         std::to_string(aBytes.size()) + "; expected no more bytes");
    }
    return value;
  } catch (const cereal::Exception& failure) {
    return MakeError(error_code::BadMessage,
                     step::Decode,
                     "",
                     failure.what() + std::string(" (message of ") + std::to_string(aBytes.size()) +
                       " bytes)");
  }
}

} // namespace citronpulley

#endif
