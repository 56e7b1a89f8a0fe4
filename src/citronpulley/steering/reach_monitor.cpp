#include "citronpulley/steering/reach_monitor.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

std::string_view ToString(reach aReach) noexcept
{
  switch (aReach) {
    case reach::Reachable:
      return "reachable";
    case reach::Suspected:
      return "suspected";
    case reach::CutOff:
      return "cut_off";
  }
  return "unknown";
}

void reach_monitor::SetReach(const service_name& aName, service& aService, reach aReach)
{
  aService.mReach = aReach;
  mChanges.push_back({ aName, aReach, aService.mFailedAt.size() });
}

void reach_monitor::ExpireFailures(service& aService, instant aNow)
{
  std::erase_if(aService.mFailedAt,
                [aNow](const auto& aEntry) { return aEntry.second + kFailureLifetime <= aNow; });
}

void reach_monitor::RecordFailure(const service_name& aService,
                                  const std::string& aBackend,
                                  instant aNow)
{
  service& service = mServices[aService];
  if (service.mReach != reach::Reachable) {
    return;
  }
  ExpireFailures(service, aNow);
  service.mFailedAt[aBackend] = aNow;
}

std::vector<service_name> reach_monitor::ListWatched() const
{
  std::vector<service_name> watched;
  for (const auto& [name, service] : mServices) {
    if (service.mReach != reach::Reachable || !service.mFailedAt.empty()) {
      watched.push_back(name);
    }
  }
  return watched;
}

std::vector<std::string> reach_monitor::PickVerifying(service& aService,
                                                      const std::vector<candidate>& aCandidates)
{
  // One of each zone first: a cut between zones leaves others reachable.
  std::vector<std::string> picked;
  std::set<zone_name> zones;
  for (const bool isNewZoneRequired : { true, false }) {
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const candidate& next = aCandidates[(aService.mNextCandidate + i) % aCandidates.size()];
      const bool isFailed = aService.mFailedAt.contains(next.mBackend);
      const bool isPicked = std::ranges::find(picked, next.mBackend) != picked.end();
      if (picked.size() < kVerifyingProbes && !isFailed && !isPicked &&
          (!isNewZoneRequired || zones.insert(next.mZone).second)) {
        picked.push_back(next.mBackend);
      }
    }
  }
  if (picked.empty() && !aCandidates.empty()) {
    picked.push_back(aCandidates[aService.mNextCandidate % aCandidates.size()].mBackend);
  }
  aService.mNextCandidate += picked.size();
  return picked;
}

std::vector<std::string> reach_monitor::StartProbes(const service_name& aService,
                                                    const std::vector<candidate>& aCandidates,
                                                    instant aNow)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end() || aCandidates.empty()) {
    return {};
  }
  service& service = found->second;
  for (auto probe = service.mProbes.begin(); probe != service.mProbes.end();) {
    if (aNow < probe->second) {
      ++probe;
    } else {
      // A result that never comes counts as a failure.
      const std::string backend = probe->first;
      ++probe;
      RecordProbe(aService, backend, false, aNow);
    }
  }
  std::vector<std::string> probes;
  if (service.mReach == reach::Reachable) {
    ExpireFailures(service, aNow);
    const std::size_t needed = std::min(kSuspectedFailures, aCandidates.size());
    if (service.mFailedAt.size() < needed || aNow < service.mNoSuspicionUntil) {
      return {};
    }
    probes = PickVerifying(service, aCandidates);
    service.mUnreached.clear();
    service.mStarted = probes.size();
    SetReach(aService, service, reach::Suspected);
  } else if (service.mReach == reach::CutOff && service.mNextProbeAt <= aNow) {
    service.mNextProbeAt = aNow + kProbeInterval;
    const candidate& next = aCandidates[service.mNextCandidate++ % aCandidates.size()];
    if (!service.mProbes.contains(next.mBackend)) {
      probes.push_back(next.mBackend);
    }
  }
  for (const std::string& backend : probes) {
    service.mProbes[backend] = aNow + kProbeTimeout;
  }
  return probes;
}

void reach_monitor::RecordProbe(const service_name& aService,
                                const std::string& aBackend,
                                bool aIsReachable,
                                instant aNow)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end() || found->second.mProbes.erase(aBackend) == 0) {
    return;
  }
  service& service = found->second;
  if (service.mReach == reach::Reachable) {
    return;
  }
  if (aIsReachable) {
    SetReach(aService, service, reach::Reachable);
    service.mFailedAt.clear();
    service.mNoSuspicionUntil = aNow + kSuspicionPause;
    return;
  }
  service.mUnreached.insert(aBackend);
  if (service.mReach == reach::Suspected && service.mUnreached.size() >= service.mStarted) {
    SetReach(aService, service, reach::CutOff);
    service.mNextProbeAt = aNow + kProbeInterval;
  }
}

reach reach_monitor::GetReach(const service_name& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? reach::Reachable : found->second.mReach;
}

std::vector<service_name> reach_monitor::ListCutOff() const
{
  std::vector<service_name> list;
  for (const auto& [name, service] : mServices) {
    if (service.mReach == reach::CutOff) {
      list.push_back(name);
    }
  }
  return list;
}

std::vector<reach_monitor::change> reach_monitor::DrainChanges()
{
  return std::exchange(mChanges, {});
}

} // namespace citronpulley
