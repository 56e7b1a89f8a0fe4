#ifndef CITRONPULLEY_RUNTIME_HTTP_FIELDS_H
#define CITRONPULLEY_RUNTIME_HTTP_FIELDS_H

#include <cstddef>
#include <string_view>

namespace citronpulley {

/**
 * Maximum number of received bytes that the parser of the HTTP library has not used yet: a header,
 * a chunk line, or the fields after the last chunk. The parser has no limit for the last two, and
 * throws at a field of 64 KB.
 */
inline constexpr std::size_t kMaxUnparsedBytes = 60'000;

/**
 * @return whether a header of an answer is forwarded to the caller. Hop-by-hop headers are not, nor
 *         is `Content-Length`, which the server computes from the complete body. The comparison
 *         ignores case.
 */
bool IsEndToEndHeader(std::string_view aName) noexcept;

} // namespace citronpulley

#endif
