#ifndef CITRONPULLEY_BASE_COMPRESSION_H
#define CITRONPULLEY_BASE_COMPRESSION_H

#include "citronpulley/base/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace citronpulley {

/** @return the bytes, compressed in the zlib format */
std::string Compress(std::string_view aBytes);

/**
 * @param aBytes output of Compress()
 * @param aMaxSize maximum size of the result in bytes; protects against decompression bombs, small
 * inputs that expand without bound
 * @return the decompressed bytes, or `bad_message` when the input is damaged or the result too
 * large
 */
result<std::string> Decompress(std::string_view aBytes, std::size_t aMaxSize);

} // namespace citronpulley

#endif
