#include "citronpulley/steering/key_hash.h"

#include <initializer_list>

namespace citronpulley {

namespace {

/** FNV-1a with a finalizer: cheap, and well distributed for short strings. */
std::uint64_t ComputeHash(std::initializer_list<const std::string*> aTexts) noexcept
{
  std::uint64_t hash = 1'469'598'103'934'665'603ULL;
  for (const std::string* text : aTexts) {
    for (const char letter : *text) {
      hash = (hash ^ static_cast<unsigned char>(letter)) * 1'099'511'628'211ULL;
    }
    hash = (hash ^ 0xFFU) * 1'099'511'628'211ULL;
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return hash;
}

} // namespace

double HashToUnitInterval(const std::string& aOne, const std::string& aOther) noexcept
{
  return static_cast<double>(ComputeHash({ &aOne, &aOther }) >> 11U) * 0x1.0p-53;
}

std::uint64_t ComputeIdHash(const std::string& aId) noexcept
{
  return ComputeHash({ &aId });
}

} // namespace citronpulley
