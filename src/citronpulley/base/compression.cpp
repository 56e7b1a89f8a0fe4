#include "citronpulley/base/compression.h"

#include <algorithm>
#include <zlib.h>

namespace citronpulley {

namespace {

/** Initial estimate of the decompressed size, as a multiple of the compressed size. */
constexpr std::size_t kExpectedRatio = 16;

} // namespace

std::string Compress(std::string_view aBytes)
{
  uLongf size = compressBound(static_cast<uLong>(aBytes.size()));
  std::string compressed(size, '\0');
  // The buffer has the size that compressBound() computed, so the call fails only when memory runs
  // out.
  if (compress2(reinterpret_cast<Bytef*>(compressed.data()),
                &size,
                reinterpret_cast<const Bytef*>(aBytes.data()),
                static_cast<uLong>(aBytes.size()),
                Z_BEST_SPEED) != Z_OK) {
    throw std::bad_alloc();
  }
  compressed.resize(size);
  return compressed;
}

result<std::string> Decompress(std::string_view aBytes, std::size_t aMaxSize)
{
  std::size_t capacity = std::min(aMaxSize, aBytes.size() * kExpectedRatio + 64);
  while (true) {
    std::string decompressed(capacity, '\0');
    uLongf size = static_cast<uLongf>(capacity);
    const int outcome = uncompress(reinterpret_cast<Bytef*>(decompressed.data()),
                                   &size,
                                   reinterpret_cast<const Bytef*>(aBytes.data()),
                                   static_cast<uLong>(aBytes.size()));
    if (outcome == Z_OK) {
      decompressed.resize(size);
      return decompressed;
    }
    if (outcome != Z_BUF_ERROR || capacity == aMaxSize) {
      return MakeError(error_code::BadMessage,
                       step::Decode,
                       "",
                       "the compressed data is damaged or expands beyond the maximum size");
    }
    capacity = std::min(aMaxSize, capacity * 4);
  }
}

} // namespace citronpulley
