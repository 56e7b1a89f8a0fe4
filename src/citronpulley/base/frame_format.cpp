#include "citronpulley/base/frame_format.h"

#include <xxhash.h>

namespace citronpulley {

std::uint32_t ComputeFrameChecksum(std::string_view aPayload, std::uint64_t aNumber) noexcept
{
  return static_cast<std::uint32_t>(
    XXH3_64bits_withSeed(aPayload.data(), aPayload.size(), aNumber));
}

} // namespace citronpulley
