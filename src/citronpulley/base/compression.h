#ifndef CITRONPULLEY_BASE_COMPRESSION_H
#define CITRONPULLEY_BASE_COMPRESSION_H

#include "citronpulley/base/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace citronpulley {

/** @return the bytes in zlib's format */
std::string Compress(std::string_view aBytes);

/**
 * @param aBytes output of Compress()
 * @param aMaxSize largest size of the result, against small inputs that grow without bound
 * @return the bytes, or `bad_message`
 */
result<std::string> Decompress(std::string_view aBytes, std::size_t aMaxSize);

} // namespace citronpulley

#endif
