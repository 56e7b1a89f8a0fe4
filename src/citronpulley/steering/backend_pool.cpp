#include "citronpulley/steering/backend_pool.h"

#include "citronpulley/steering/key_hash.h"
#include "citronpulley/steering/run_time_estimate.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace citronpulley {

namespace {

/** Cost of sending a request to another zone of the region, including the price of the traffic. */
constexpr double kOtherZoneCostUs = 15'000;
/** Cost of the round trip to another region. */
constexpr double kOtherRegionCostUs = 45'000;
/**
 * Cost of running a request at a backend server that has not cached its affinity key, in mean
 * service times. The run takes about three times as long, so it is late, and it evicts another key
 * from the cache.
 */
constexpr double kColdRunServiceTimes = 3;
/**
 * The same when there is no free slot. When all backend servers of a key are full, moving it only
 * makes every run cold at each of them.
 */
constexpr double kWaitingColdRunServiceTimes = 6;
/**
 * Number of backend servers of a region that the requests of one affinity key are spread over. With
 * more, an overload spreads every key over all of them, every run is cold, and the overload
 * sustains itself.
 */
constexpr std::ptrdiff_t kBackendsPerKey = 2;
/** Cost of a failed request that is retried, in mean service times. */
constexpr double kFailureServiceTimes = 6;
/**
 * Cost of a failed request that must not be retried, in mean service times; the caller gets the
 * error.
 */
constexpr double kFinalFailureServiceTimes = 12;
/**
 * Cost of running a request at a backend server whose shared health reports it as slow, in mean
 * service times for each multiple of the usual run time above the first. Above two and a half times
 * the usual run time it exceeds the cost of a cold run elsewhere.
 */
constexpr double kSlownessServiceTimes = 2;
/** Service time assumed before the first response of a service. */
constexpr double kDefaultServiceTimeUs = 150'000;
/**
 * Half-life of the failure rate without new outcomes, so that the backend server is tried again.
 */
constexpr double kFailureHalfLifeUs = 4'000'000;
/** Time constant with which the part of a reported load that this VM did not cause decays. */
constexpr double kReportDecayUs = 1'500'000;
/** Maximum number of removed backend servers whose statements are kept. */
constexpr std::size_t kMaxRemovedStatements = 10'000;
/**
 * Time for which the backend servers of a zone count as cold after its evacuation ended, unless
 * they announce otherwise.
 */
constexpr microseconds kRestoredZoneWarmup{ 2'000'000 };

bool Allows(const std::vector<region_name>& aRegions, const region_name& aRegion)
{
  return aRegions.empty() || std::ranges::find(aRegions, aRegion) != aRegions.end();
}

} // namespace

bool placement_request::Permits(const region_name& aRegion) const
{
  return Allows(mRouteRegions, aRegion) && Allows(mWorkspaceRegions, aRegion);
}

std::string_view ToString(attempt_outcome aOutcome) noexcept
{
  switch (aOutcome) {
    case attempt_outcome::Answered:
      return "answered";
    case attempt_outcome::Failed:
      return "failed";
    case attempt_outcome::NotSent:
      return "not_sent";
    case attempt_outcome::Withheld:
      return "withheld";
    case attempt_outcome::NotExecuted:
      return "not_executed";
    case attempt_outcome::WrongInstance:
      return "wrong_instance";
    case attempt_outcome::Lost:
      return "lost";
    case attempt_outcome::TimedOut:
      return "timed_out";
    case attempt_outcome::Abandoned:
      return "abandoned";
  }
  return "unknown";
}

backend_pool::backend_pool(zone_name aZone, std::map<zone_name, region_name> aRegions)
  : mZone(std::move(aZone))
  , mRegions(std::move(aRegions))
{
  mRegion = mRegions[mZone];
}

void backend_pool::Update(const backend_record& aRecord, instant aNow)
{
  const auto [position, isNew] = mBackends.try_emplace(aRecord.mId);
  backend& backend = position->second;
  if (!isNew && (backend.mRecord.mStartedAtMs != aRecord.mStartedAtMs ||
                 backend.mRecord.mAddress != aRecord.mAddress ||
                 backend.mRecord.mService != aRecord.mService)) {
    RemoveFromService(backend);
    const double own = backend.mOwnRequests;
    const instant backoffAt = backend.mBackoffAt;
    const instant backoffUntil = backend.mBackoffUntil;
    backend = {};
    if (aNow < backoffAt + kStartNewsDelay) {
      backend.mBackoffAt = backoffAt;
      backend.mBackoffUntil = backoffUntil;
    }
    // Requests that were sent to the previous process still end one by one.
    backend.mOwnRequests = own;
  }
  if (isNew) {
    mIdsByHash[ComputeIdHash(aRecord.mId)] = aRecord.mId;
  }
  if (backend.mRecord.mId.empty()) {
    mServices[aRecord.mService].mBackends.push_back(aRecord.mId);
  }
  backend.mRecord = aRecord;
  backend.mRecord.mIsLeaving = aRecord.mIsLeaving || backend.mHasStatedLeaving;
  const auto region = mRegions.find(aRecord.mZone);
  backend.mRegion = region == mRegions.end() ? region_name{} : region->second;
  backend.mColdUntil = aNow + microseconds(aRecord.mColdForMs * 1'000);
  if (isNew) {
    RestoreStatements(backend, aNow);
  }
}

void backend_pool::RemoveReferences(const backend& aBackend)
{
  RemoveFromService(aBackend);
  mIdsByHash.erase(ComputeIdHash(aBackend.mRecord.mId));
  const bool hasStatements =
    aBackend.mShare || aBackend.mBackoffUntil > instant{} || aBackend.mHasStatedLeaving;
  if (hasStatements && mRemovedStatements.size() < kMaxRemovedStatements) {
    removed_statements& removed = mRemovedStatements[aBackend.mRecord.mId];
    removed = { aBackend.mRecord.mStartedAtMs,
                std::nullopt,
                aBackend.mBackoffUntil,
                aBackend.mHasStatedLeaving };
    if (aBackend.mShare) {
      removed.mLimit = aBackend.mShare->GetLimit();
    }
  }
}

void backend_pool::RemoveFromService(const backend& aBackend)
{
  std::erase(mServices[aBackend.mRecord.mService].mBackends, aBackend.mRecord.mId);
}

void backend_pool::KeepOnly(const std::set<std::string>& aBackends)
{
  std::erase_if(mBackends, [&](const auto& aEntry) {
    if (aBackends.contains(aEntry.first)) {
      return false;
    }
    RemoveReferences(aEntry.second);
    return true;
  });
}

std::set<std::string> backend_pool::ListMissing(const std::set<std::string>& aBackends) const
{
  std::set<std::string> missing;
  for (const auto& [id, backend] : mBackends) {
    if (!aBackends.contains(id)) {
      missing.insert(id);
    }
  }
  return missing;
}

const std::string* backend_pool::FindByHash(std::uint64_t aHash) const
{
  const auto found = mIdsByHash.find(aHash);
  return found == mIdsByHash.end() ? nullptr : &found->second;
}

void backend_pool::Remove(const std::string& aBackend)
{
  const auto found = mBackends.find(aBackend);
  if (found != mBackends.end()) {
    RemoveReferences(found->second);
    mBackends.erase(found);
  }
}

void backend_pool::RemoveStart(const std::string& aBackend, std::int64_t aStartedAtMs)
{
  const auto found = mBackends.find(aBackend);
  if (found != mBackends.end() && found->second.mRecord.mStartedAtMs <= aStartedAtMs) {
    Remove(aBackend);
  }
}

void backend_pool::SetEvacuatedZones(std::set<zone_name> aZones, instant aNow)
{
  for (const zone_name& zone : mEvacuatedZones) {
    if (aZones.contains(zone)) {
      continue;
    }
    for (auto& [id, backend] : mBackends) {
      if (backend.mRecord.mZone == zone) {
        backend.mColdUntil = std::max(backend.mColdUntil, aNow + kRestoredZoneWarmup);
      }
    }
  }
  mEvacuatedZones = std::move(aZones);
}

void backend_pool::SetWarmupRates(std::map<std::string, double> aRates)
{
  mWarmupRates = std::move(aRates);
}

double backend_pool::EstimateLoad(const backend& aBackend, instant aNow)
{
  if (!aBackend.mHasReport) {
    return aBackend.mOwnRequests;
  }
  const double others = std::max(
    0.0, aBackend.mLoad.mRunning + aBackend.mLoad.mWaiting - aBackend.mOwnRequestsAtReport);
  const double age = static_cast<double>((aNow - aBackend.mReportedAt).count());
  return aBackend.mOwnRequests + others * std::exp(-age / kReportDecayUs);
}

double backend_pool::GetFailureRate(const backend& aBackend, instant aNow)
{
  const double age = static_cast<double>((aNow - aBackend.mFailureRateAt).count());
  return aBackend.mFailureRate * std::exp2(-age / kFailureHalfLifeUs);
}

bool backend_pool::IsPermitted(const backend& aBackend, const placement_request& aRequest) const
{
  const backend_record& record = aBackend.mRecord;
  return !record.mIsLeaving && !mEvacuatedZones.contains(record.mZone) &&
         aRequest.Permits(aBackend.mRegion);
}

bool backend_pool::IsUsable(const backend& aBackend,
                            const placement_request& aRequest,
                            limits aLimits,
                            instant aNow) const
{
  if (aLimits == limits::Respected && !HasToken(aBackend, aNow)) {
    return false;
  }
  const backend_record& record = aBackend.mRecord;
  if (aNow < aBackend.mBackoffUntil || !IsPermitted(aBackend, aRequest) ||
      std::ranges::find(aRequest.mExcluded, record.mId) != aRequest.mExcluded.end()) {
    return false;
  }
  if (aRequest.mAvoidsUnreachable && aBackend.mConsecutiveFailures > 0) {
    return false;
  }
  if (aNow < aBackend.mEjectedUntil || (aBackend.mConsecutiveFailures > 0 && aBackend.mIsProbing)) {
    return false;
  }
  if (aNow < aBackend.mColdUntil) {
    return mWarmupRates.contains(record.mId) && aBackend.mNextWarmupAt <= aNow;
  }
  return true;
}

double backend_pool::ComputeCost(const backend& aBackend,
                                 const service& aService,
                                 const placement_request& aRequest,
                                 double aKeyRank,
                                 instant aNow) const
{
  const double mean = aService.mServiceTimeUs > 0 ? aService.mServiceTimeUs : kDefaultServiceTimeUs;
  const double slots = std::max(1.0, static_cast<double>(aBackend.mRecord.mSlots));
  const double load = EstimateLoad(aBackend, aNow);
  double cost = std::max(0.0, load + 1 - slots) / slots * mean;
  if (!aRequest.mAffinityKey) {
    // Below saturation, a higher load adds a small cost because a queue forms sooner.
    cost += load / slots * mean * 0.2;
  }
  if (aBackend.mRegion != mRegion) {
    cost += kOtherRegionCostUs;
  } else if (aBackend.mRecord.mZone != mZone && !aRequest.mAffinityKey) {
    // With an affinity key, the zone adds no cost, so that all VMs of the region make the same
    // choice.
    cost += kOtherZoneCostUs;
  }
  cost += std::max(GetFailureRate(aBackend, aNow), aBackend.mShared.mFailureRate) * mean *
          (aRequest.mIsIdempotent ? kFailureServiceTimes : kFinalFailureServiceTimes);
  // The service time observed by this VM adds cost only above twice the service's mean, because
  // smaller differences are noise. The shared slowness adds cost from the usual run time on.
  cost += std::max(std::max(0.0, aBackend.mServiceTimeUs - 2 * mean),
                   (aBackend.mShared.mSlowness - 1) * kSlownessServiceTimes * mean);
  return cost +
         aKeyRank * mean * (load + 1 > slots ? kWaitingColdRunServiceTimes : kColdRunServiceTimes);
}

const backend_pool::backend* backend_pool::ChooseBest(const service& aService,
                                                      const placement_request& aRequest,
                                                      bool aIsOwnRegion,
                                                      limits aLimits,
                                                      instant aNow) const
{
  const backend* best = ChooseBestOf(aService, aRequest, aIsOwnRegion, aLimits, aNow);
  return best != nullptr ? best : ChooseBestOf(aService, aRequest, !aIsOwnRegion, aLimits, aNow);
}

const backend_pool::backend* backend_pool::ChooseBestOf(const service& aService,
                                                        const placement_request& aRequest,
                                                        bool aIsOwnRegion,
                                                        limits aLimits,
                                                        instant aNow) const
{
  std::vector<std::pair<double, const backend*>> candidates;
  for (const std::string& id : aService.mBackends) {
    const backend& candidate = mBackends.at(id);
    if ((candidate.mRegion == mRegion) == aIsOwnRegion &&
        IsUsable(candidate, aRequest, aLimits, aNow)) {
      const double hash =
        aRequest.mAffinityKey ? HashToUnitInterval(*aRequest.mAffinityKey, id) : 0;
      candidates.emplace_back(hash, &candidate);
    }
  }
  if (aRequest.mAffinityKey) {
    const auto end = candidates.begin() + std::min(kBackendsPerKey, std::ssize(candidates));
    std::ranges::partial_sort(candidates, end);
    candidates.erase(end, candidates.end());
  }
  const backend* best = nullptr;
  double bestCost = 0;
  double keyRank = 0;
  for (const auto& [hash, candidate] : candidates) {
    const double cost = ComputeCost(*candidate, aService, aRequest, keyRank, aNow);
    keyRank += aRequest.mAffinityKey ? 1 : 0;
    if (best == nullptr || cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}

std::optional<placement> backend_pool::Choose(const placement_request& aRequest, instant aNow)
{
  const auto service = mServices.find(aRequest.mService);
  if (service == mServices.end()) {
    return std::nullopt;
  }
  const bool isOwnRegion = !IsSpilled(service->second, aRequest);
  const backend* best = ChooseBest(service->second, aRequest, isOwnRegion, limits::Ignored, aNow);
  if (best != nullptr && best->mShare) {
    mBackends.at(best->mRecord.mId).mShare->RecordDemand(aNow);
    best = ChooseBest(service->second, aRequest, isOwnRegion, limits::Respected, aNow);
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const double mean =
    service->second.mServiceTimeUs > 0 ? service->second.mServiceTimeUs : kDefaultServiceTimeUs;
  const double slots = std::max(1.0, static_cast<double>(best->mRecord.mSlots));
  const double load = EstimateLoad(*best, aNow);
  const double runTime = best->mServiceTimeUs > 0 ? best->mServiceTimeUs : mean;
  const double wait = std::max(0.0, load + 1 - slots) / slots * runTime;
  return placement{ best->mRecord.mId,
                    best->mRecord.mStartedAtMs,
                    best->mRecord.mAddress,
                    best->mRecord.mZone,
                    best->mRegion,
                    microseconds(static_cast<microseconds::rep>(wait)),
                    microseconds(static_cast<microseconds::rep>(mean)),
                    load,
                    best->mRecord.mSlots };
}

bool backend_pool::IsAccepting(const std::string& aBackend,
                               std::int64_t aStartedAtMs,
                               instant aNow) const
{
  const auto found = mBackends.find(aBackend);
  if (found == mBackends.end()) {
    return false;
  }
  const backend_record& record = found->second.mRecord;
  return record.mStartedAtMs == aStartedAtMs && !record.mIsLeaving &&
         found->second.mBackoffUntil <= aNow && !mEvacuatedZones.contains(record.mZone);
}

} // namespace citronpulley
