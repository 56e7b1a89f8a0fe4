#include "citronpulley/fleet/backend_status.h"

#include "citronpulley/wire/codec.h"

#include <algorithm>

namespace citronpulley {

namespace {

bool IsPlausible(const backend_status& aStatus)
{
  constexpr std::uint8_t kAllFail = 100;
  constexpr std::uint16_t kNotSlow = 100;
  return aStatus.mFailurePercent <= kAllFail && aStatus.mSlownessPercent >= kNotSlow;
}

} // namespace

std::string EncodeStatuses(const std::vector<backend_status>& aStatuses)
{
  return EncodeValue(aStatuses);
}

result<std::vector<backend_status>> DecodeStatuses(std::string_view aBytes)
{
  result<std::vector<backend_status>> statuses = DecodeValue<std::vector<backend_status>>(aBytes);
  if (statuses && !std::ranges::all_of(statuses.Get(), IsPlausible)) {
    return MakeError(
      error_code::BadMessage, step::Decode, "", "the health of a backend server is out of range");
  }
  return statuses;
}

} // namespace citronpulley
