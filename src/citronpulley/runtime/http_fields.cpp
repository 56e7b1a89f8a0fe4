#include "citronpulley/runtime/http_fields.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace citronpulley {

bool IsEndToEndHeader(std::string_view aName) noexcept
{
  constexpr std::array<std::string_view, 8> kConnectionHeaders{
    "connection", "content-length", "keep-alive", "proxy-connection",
    "te",         "trailer",        "upgrade",    "transfer-encoding",
  };
  const auto equal = [](unsigned char aLeft, unsigned char aRight) {
    return std::tolower(aLeft) == aRight;
  };
  return std::none_of(
    kConnectionHeaders.begin(), kConnectionHeaders.end(), [&](std::string_view aHeader) {
      return std::equal(aName.begin(), aName.end(), aHeader.begin(), aHeader.end(), equal);
    });
}

} // namespace citronpulley
