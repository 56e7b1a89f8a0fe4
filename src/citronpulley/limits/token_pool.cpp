#include "citronpulley/limits/token_pool.h"

#include "citronpulley/limits/token_unit.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace citronpulley {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr microseconds kDemandSmoothingTime{ 250'000 };
/** Demand per second under which a resource counts as idle. */
constexpr double kIdleDemand = 0.01;
/** Validity of a report that a resource is used up; holders request again before it ends. */
constexpr microseconds kUsedUpValidity{ 100'000 };
/** A holder stores tokens for at most the burst time divided by this number. While the demand is
 * within the rate, all holders together thus store at most this part of the burst in advance. */
constexpr std::int64_t kStoredBurstDivisor = 8;
constexpr microseconds kMaxHorizon{ 250'000 };
/** Number of reports per burst time, within the interval bounds below; unreported spent tokens
 * block the refill. */
constexpr std::int64_t kReportsPerBurst = 10;
constexpr microseconds kMinReportInterval{ 5'000 };
constexpr microseconds kMaxReportInterval{ 50'000 };
constexpr microseconds kMinStoreTime{ 50'000 };
constexpr microseconds kMinRequestInterval{ 5'000 };
constexpr microseconds kNoContactRequestInterval{ 50'000 };
constexpr microseconds kMinResendDelay{ 30'000 };
constexpr std::uint32_t kMaxSends = 3;
/** Longest lease; a reply that takes longer than this cannot bring usable tokens. */
constexpr microseconds kMaxLease{ 1'000'000 };

double ToSeconds(microseconds aTime)
{
  return static_cast<double>(aTime.count()) / kMicrosecondsPerSecond;
}

double SumTokens(const auto& aGrants, instant aNow)
{
  double sum = 0;
  for (const auto& grant : aGrants) {
    sum += grant.mExpiresAt > aNow ? grant.mTokens : 0;
  }
  return sum;
}

} // namespace

bool token_pool::TrySpend(const std::map<std::string, double>& aCosts, bool aIsRetry, instant aNow)
{
  bool isEnough = true;
  bool isUsedUp = false;
  for (const auto& [name, cost] : aCosts) {
    resource_state& resource = mResources[name];
    ExpireGrants(resource, aNow);
    if (SumTokens(resource.mGrants, aNow) < RoundTokensUp(cost)) {
      isEnough = false;
      isUsedUp = isUsedUp || WasReportedUsedUp(name, aNow - kUsedUpValidity);
    }
  }
  for (const auto& [name, cost] : aCosts) {
    const double tokens = RoundTokensUp(cost);
    resource_state& resource = mResources[name];
    if (isEnough) {
      SpendTokens(resource, tokens);
    } else if (isUsedUp && !WasReportedUsedUp(name, aNow - kUsedUpValidity)) {
      // Tokens that cannot be spent because another resource is used up must not be stored here.
      continue;
    } else if (aIsRetry) {
      resource.mNeeded += tokens;
    }
    AddDemand(resource, aIsRetry ? 0 : tokens, aNow);
  }
  return isEnough;
}

void token_pool::AddNeededTokens(const std::string& aResource, double aTokens)
{
  mResources[aResource].mNeeded += RoundTokensUp(aTokens);
}

std::vector<grant_request> token_pool::MakeRequests(incarnation aIncarnation, instant aNow)
{
  std::vector<grant_request> requests;
  AppendResends(requests, aNow);
  if (aNow < mNextRequestAt) {
    for (auto& [name, resource] : mResources) {
      resource.mNeeded = 0;
    }
    return requests;
  }
  grant_request request;
  request.mRequestNumber = mRequestNumber + 1;
  request.mHolderIncarnation = aIncarnation;
  for (auto entry = mResources.begin(); entry != mResources.end();) {
    resource_state& resource = entry->second;
    if (std::optional<resource_demand> demand = MakeDemand(entry->first, resource, aNow)) {
      request.mDemands.push_back(std::move(*demand));
    }
    resource.mNeeded = 0;
    const bool isIdle = resource.mGrants.empty() && resource.mReports.empty() &&
                        resource.mInFlight <= 0 && resource.mDemandPerSecond < kIdleDemand;
    entry = isIdle ? mResources.erase(entry) : std::next(entry);
  }
  if (request.mDemands.empty()) {
    return requests;
  }
  ++mRequestNumber;
  mNextRequestAt = aNow + (HasLostContact(aNow) ? kNoContactRequestInterval : kMinRequestInterval);
  mUnansweredSince = mUnansweredSince.value_or(aNow);
  mPending.emplace(
    mRequestNumber,
    pending_request{ request, aNow, aNow + std::max(kMinResendDelay, 2 * mRoundTrip) });
  requests.push_back(std::move(request));
  return requests;
}

std::optional<resource_demand> token_pool::MakeDemand(const std::string& aName,
                                                      resource_state& aResource,
                                                      instant aNow)
{
  ExpireGrants(aResource, aNow);
  AddDemand(aResource, 0, aNow);
  const microseconds horizon =
    std::min<microseconds>(kMaxHorizon, aResource.mBurstTime / kStoredBurstDivisor);
  // Fractions of a token stored on many VMs could not be spent by any of them.
  const double target = std::floor(aResource.mDemandPerSecond * ToSeconds(horizon));
  if (aResource.mNeeded <= 0) {
    ReturnSurplus(aResource, target, aNow);
  }
  const double expected = SumTokens(aResource.mGrants, aNow) + aResource.mInFlight;
  const bool needsMore = aResource.mNeeded > expected || expected < target / 2;
  resource_demand demand{ aName, 0, {} };
  if (needsMore && aNow >= aResource.mRetryAt) {
    demand.mWantedTokens = aResource.mNeeded + target - expected;
  }
  const bool hasReports =
    std::any_of(aResource.mReports.begin(), aResource.mReports.end(), [](const auto& aReport) {
      return aReport.second.mRequestNumber == 0;
    });
  if (demand.mWantedTokens <= 0 && (!hasReports || aNow < aResource.mNextReportAt)) {
    return std::nullopt;
  }
  aResource.mInFlight += demand.mWantedTokens;
  aResource.mNextReportAt = aNow + std::clamp<microseconds>(aResource.mBurstTime / kReportsPerBurst,
                                                            kMinReportInterval,
                                                            kMaxReportInterval);
  for (auto& [grant, report] : aResource.mReports) {
    if (report.mRequestNumber == 0) {
      report.mRequestNumber = mRequestNumber + 1;
      demand.mSettled.push_back({ grant, report.mUnspent, report.mIsReturned });
    }
  }
  return demand;
}

void token_pool::AppendResends(std::vector<grant_request>& aRequests, instant aNow)
{
  for (auto entry = mPending.begin(); entry != mPending.end();) {
    pending_request& pending = entry->second;
    if (pending.mSentAt + kMaxLease <= aNow) {
      AbandonRequest(pending);
      entry = mPending.erase(entry);
      continue;
    }
    if (!pending.mIsAbandoned && pending.mResendAt <= aNow) {
      if (pending.mSendCount < kMaxSends) {
        ++pending.mSendCount;
        pending.mResendAt = aNow + pending.mSendCount * std::max(kMinResendDelay, 2 * mRoundTrip);
        aRequests.push_back(pending.mRequest);
      } else {
        AbandonRequest(pending);
      }
    }
    ++entry;
  }
}

void token_pool::AbandonRequest(pending_request& aPending)
{
  if (std::exchange(aPending.mIsAbandoned, true)) {
    return;
  }
  for (const resource_demand& demand : aPending.mRequest.mDemands) {
    const auto found = mResources.find(demand.mResource);
    if (found == mResources.end()) {
      continue;
    }
    found->second.mInFlight -= demand.mWantedTokens;
    for (auto& [grant, report] : found->second.mReports) {
      if (report.mRequestNumber == aPending.mRequest.mRequestNumber) {
        report.mRequestNumber = 0;
      }
    }
  }
}

void token_pool::Receive(const grant_reply& aReply, instant aNow)
{
  const auto found = mPending.find(aReply.mRequestNumber);
  if (found == mPending.end() ||
      found->second.mRequest.mHolderIncarnation != aReply.mHolderIncarnation) {
    return;
  }
  pending_request& pending = found->second;
  mUnansweredSince.reset();
  if (pending.mSendCount == 1) {
    mRoundTrip = (7 * mRoundTrip + (aNow - pending.mSentAt)) / 8;
  }
  AbandonRequest(pending);
  for (const resource_demand& demand : pending.mRequest.mDemands) {
    for (const auto& settled : demand.mSettled) {
      // A report that changed since it was sent is kept, as its new values have to be sent.
      auto& reports = mResources[demand.mResource].mReports;
      const auto report = reports.find(settled.mGrant);
      if (report != reports.end() && report->second.mUnspent == settled.mUnspent &&
          report->second.mIsReturned == settled.mIsReturned) {
        reports.erase(report);
      }
    }
  }
  for (const resource_grant& grant : aReply.mGrants) {
    resource_state& resource = mResources[grant.mResource];
    resource.mBurstTime = microseconds(grant.mBurstMicroseconds);
    resource.mRetryAt = aNow + microseconds(grant.mRetryMicroseconds);
    if (grant.mIsUsedUp) {
      resource.mUsedUpAt = aNow;
    }
    const instant expiresAt = pending.mSentAt + microseconds(grant.mLeaseMicroseconds);
    if (expiresAt > aNow && grant.mTokens > 0) {
      const auto position =
        std::find_if(resource.mGrants.begin(), resource.mGrants.end(), [&](const auto& aHeld) {
          return aHeld.mExpiresAt > expiresAt;
        });
      resource.mGrants.insert(position, { grant.mGrant, grant.mTokens, expiresAt, aNow });
    }
  }
  mPending.erase(found);
}

double token_pool::GetAvailableTokens(const std::string& aResource, instant aNow) const
{
  const auto found = mResources.find(aResource);
  return found == mResources.end() ? 0 : SumTokens(found->second.mGrants, aNow);
}

std::optional<std::string> token_pool::FindShortage(const std::map<std::string, double>& aCosts,
                                                    instant aNow) const
{
  const auto found = std::find_if(aCosts.rbegin(), aCosts.rend(), [&](const auto& aCost) {
    return GetAvailableTokens(aCost.first, aNow) < RoundTokensUp(aCost.second);
  });
  return found == aCosts.rend() ? std::nullopt : std::optional(found->first);
}

bool token_pool::WasReportedUsedUp(const std::string& aResource, instant aSince) const
{
  const auto found = mResources.find(aResource);
  return found != mResources.end() && found->second.mUsedUpAt && *found->second.mUsedUpAt >= aSince;
}

void token_pool::ExpireGrants(resource_state& aResource, instant aNow)
{
  std::erase_if(aResource.mGrants,
                [aNow](const held_grant& aGrant) { return aGrant.mExpiresAt <= aNow; });
  std::erase_if(aResource.mReports,
                [aNow](const auto& aReport) { return aReport.second.mExpiresAt <= aNow; });
}

void token_pool::AddDemand(resource_state& aResource, double aTokens, instant aNow)
{
  const double elapsed = ToSeconds(aNow - aResource.mDemandAt) / ToSeconds(kDemandSmoothingTime);
  aResource.mDemandAt = aNow;
  aResource.mDemandPerSecond =
    aResource.mDemandPerSecond * std::exp(-elapsed) + aTokens / ToSeconds(kDemandSmoothingTime);
}

void token_pool::SpendTokens(resource_state& aResource, double aTokens)
{
  double missing = aTokens;
  for (held_grant& grant : aResource.mGrants) {
    const double spent = std::min(missing, grant.mTokens);
    if (spent <= 0) {
      break;
    }
    grant.mTokens -= spent;
    missing -= spent;
    aResource.mReports.insert_or_assign(
      grant.mGrant, grant_report{ grant.mTokens, grant.mTokens <= 0, grant.mExpiresAt, 0 });
  }
  std::erase_if(aResource.mGrants, [](const held_grant& aGrant) { return aGrant.mTokens <= 0; });
}

void token_pool::ReturnSurplus(resource_state& aResource, double aTarget, instant aNow)
{
  const microseconds storeTime =
    kMinStoreTime +
    2 * std::min<microseconds>(kMaxHorizon, aResource.mBurstTime / kStoredBurstDivisor);
  double held = SumTokens(aResource.mGrants, aNow);
  std::erase_if(aResource.mGrants, [&](const held_grant& aGrant) {
    const bool isSurplus =
      aGrant.mReceivedAt + storeTime <= aNow && held - aGrant.mTokens >= aTarget;
    if (isSurplus) {
      held -= aGrant.mTokens;
      aResource.mReports.insert_or_assign(
        aGrant.mGrant, grant_report{ aGrant.mTokens, true, aGrant.mExpiresAt, 0 });
    }
    return isSurplus;
  });
}

} // namespace citronpulley
