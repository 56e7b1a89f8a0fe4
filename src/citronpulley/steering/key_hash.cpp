#include "citronpulley/steering/key_hash.h"

#include <cstdint>

namespace citronpulley {

double HashToUnitInterval(const std::string& aOne, const std::string& aOther) noexcept
{
  // FNV-1a with a final mix: cheap, and good enough for short texts.
  std::uint64_t hash = 1'469'598'103'934'665'603ULL;
  for (const std::string* text : { &aOne, &aOther }) {
    for (const char letter : *text) {
      hash = (hash ^ static_cast<unsigned char>(letter)) * 1'099'511'628'211ULL;
    }
    hash = (hash ^ 0xFFU) * 1'099'511'628'211ULL;
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return static_cast<double>(hash >> 11U) * 0x1.0p-53;
}

} // namespace citronpulley
