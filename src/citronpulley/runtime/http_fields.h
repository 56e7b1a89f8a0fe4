#ifndef CITRONPULLEY_RUNTIME_HTTP_FIELDS_H
#define CITRONPULLEY_RUNTIME_HTTP_FIELDS_H

#include <string_view>

namespace citronpulley {

/**
 * @return whether a header of an answer is forwarded to the caller. Hop-by-hop headers are not, nor
 *         is `Content-Length`, which the server computes from the complete body. The comparison
 *         ignores case.
 */
bool IsEndToEndHeader(std::string_view aName) noexcept;

} // namespace citronpulley

#endif
