#ifndef CITRONPULLEY_RUNTIME_HTTP_FIELDS_H
#define CITRONPULLEY_RUNTIME_HTTP_FIELDS_H

#include <string_view>

namespace citronpulley {

/**
 * Tells whether a header of an answer goes to the caller. Headers that concern one connection, and
 * the length, which is set anew from the whole body, do not.
 */
bool IsEndToEndHeader(std::string_view aName) noexcept;

} // namespace citronpulley

#endif
