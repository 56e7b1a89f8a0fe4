#ifndef CITRONPULLEY_STORAGE_BYTE_RANGE_H
#define CITRONPULLEY_STORAGE_BYTE_RANGE_H

#include <compare>
#include <cstdint>

namespace citronpulley {

/** Bytes of a file, without the one at the end. */
struct byte_range
{
  std::uint64_t mBegin = 0;
  std::uint64_t mEnd = 0;

  bool Contains(std::uint64_t aOffset) const noexcept
  {
    return aOffset >= mBegin && aOffset < mEnd;
  }

  friend auto operator<=>(const byte_range&, const byte_range&) = default;
};

} // namespace citronpulley

#endif
