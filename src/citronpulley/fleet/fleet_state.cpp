#include "citronpulley/fleet/fleet_state.h"

#include "citronpulley/wire/codec.h"

namespace citronpulley {

namespace {

digest ComputePutDigest(const put_config& aPut)
{
  return ComputeDigest(std::to_string(aPut.mVersion) + "/" + std::to_string(aPut.mBase) + "/" +
                       aPut.mText);
}

} // namespace

std::string_view ToString(fleet_outcome aOutcome) noexcept
{
  switch (aOutcome) {
    case fleet_outcome::Accepted:
      return "accepted";
    case fleet_outcome::Conflict:
      return "conflict";
    case fleet_outcome::NotNewer:
      return "not_newer";
  }
  return "unknown";
}

std::string EncodeFleetCommand(const fleet_command& aCommand)
{
  return EncodeValue(aCommand);
}

result<fleet_command> DecodeFleetCommand(std::string_view aBytes)
{
  return DecodeValue<fleet_command>(aBytes);
}

fleet_outcome fleet_state::Apply(log_index aIndex, const fleet_command& aCommand)
{
  mIndex = aIndex;
  return std::visit([this](const auto& aAlternative) { return Apply(aAlternative); }, aCommand);
}

bool fleet_state::WasAccepted(const put_config& aPut) const
{
  return mAccepted.contains(ComputePutDigest(aPut));
}

bool fleet_state::HasDeparted(const std::string& aBackend, std::int64_t aStartedAtMs) const
{
  const auto found = mDepartures.find(aBackend);
  return found != mDepartures.end() && aStartedAtMs <= found->second;
}

std::int64_t fleet_state::GetDepartedStartMs(const std::string& aBackend) const
{
  const auto found = mDepartures.find(aBackend);
  return found == mDepartures.end() ? 0 : found->second;
}

fleet_outcome fleet_state::Apply(const put_config& aPut)
{
  const digest identity = ComputePutDigest(aPut);
  if (mAccepted.contains(identity)) {
    return fleet_outcome::Accepted;
  }
  if (aPut.mBase != mVersion) {
    return fleet_outcome::Conflict;
  }
  if (aPut.mVersion <= mVersion) {
    return fleet_outcome::NotNewer;
  }
  mVersion = aPut.mVersion;
  mText = aPut.mText;
  mAccepted.insert(identity);
  mAcceptedOrder.push_back(identity);
  if (mAcceptedOrder.size() > kMaxAccepted) {
    mAccepted.erase(mAcceptedOrder.front());
    mAcceptedOrder.erase(mAcceptedOrder.begin());
  }
  return fleet_outcome::Accepted;
}

fleet_outcome fleet_state::Apply(const set_evacuation& aSet)
{
  if (aSet.mIsEvacuated) {
    mEvacuatedZones.insert(aSet.mZone);
  } else {
    mEvacuatedZones.erase(aSet.mZone);
  }
  return fleet_outcome::Accepted;
}

fleet_outcome fleet_state::Apply(const record_departure& aDeparture)
{
  const auto [position, isNew] =
    mDepartures.try_emplace(aDeparture.mBackend, aDeparture.mStartedAtMs);
  if (!isNew) {
    position->second = std::max(position->second, aDeparture.mStartedAtMs);
    std::erase(mDepartureOrder, aDeparture.mBackend);
  }
  mDepartureOrder.push_back(aDeparture.mBackend);
  if (mDepartureOrder.size() > kMaxDepartures) {
    mDepartures.erase(mDepartureOrder.front());
    mDepartureOrder.erase(mDepartureOrder.begin());
  }
  return fleet_outcome::Accepted;
}

std::vector<record_departure> fleet_state::ListDepartures(std::size_t aLimit) const
{
  std::vector<record_departure> list;
  const std::size_t skipped = mDepartureOrder.size() - std::min(aLimit, mDepartureOrder.size());
  for (std::size_t i = skipped; i < mDepartureOrder.size(); ++i) {
    list.push_back({ mDepartureOrder[i], mDepartures.at(mDepartureOrder[i]) });
  }
  return list;
}

std::string fleet_state::Encode() const
{
  return EncodeValue(*this);
}

result<fleet_state> fleet_state::Decode(std::string_view aBytes)
{
  return DecodeValue<fleet_state>(aBytes);
}

} // namespace citronpulley
