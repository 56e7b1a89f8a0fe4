#include "citronpulley/base/compression.h"

#include <algorithm>
#include <zlib.h>

namespace citronpulley {

namespace {

/** First guess of the size, as a multiple of the compressed one. */
constexpr std::size_t kExpectedRatio = 16;

} // namespace

std::string Compress(std::string_view aBytes)
{
  uLongf size = compressBound(static_cast<uLong>(aBytes.size()));
  std::string packed(size, '\0');
  // With a buffer of the bound, the call fails only without memory.
  if (compress2(reinterpret_cast<Bytef*>(packed.data()),
                &size,
                reinterpret_cast<const Bytef*>(aBytes.data()),
                static_cast<uLong>(aBytes.size()),
                Z_BEST_SPEED) != Z_OK) {
    throw std::bad_alloc();
  }
  packed.resize(size);
  return packed;
}

result<std::string> Decompress(std::string_view aBytes, std::size_t aMaxSize)
{
  std::size_t room = std::min(aMaxSize, aBytes.size() * kExpectedRatio + 64);
  while (true) {
    std::string plain(room, '\0');
    uLongf size = static_cast<uLongf>(room);
    const int outcome = uncompress(reinterpret_cast<Bytef*>(plain.data()),
                                   &size,
                                   reinterpret_cast<const Bytef*>(aBytes.data()),
                                   static_cast<uLong>(aBytes.size()));
    if (outcome == Z_OK) {
      plain.resize(size);
      return plain;
    }
    if (outcome != Z_BUF_ERROR || room == aMaxSize) {
      return MakeError(
        error_code::BadMessage, step::Decode, "", "the bytes are damaged or too large");
    }
    room = std::min(aMaxSize, room * 4);
  }
}

} // namespace citronpulley
