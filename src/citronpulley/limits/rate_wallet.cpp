#include "citronpulley/limits/rate_wallet.h"

#include "citronpulley/limits/token_unit.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace citronpulley {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr microseconds kDemandMemory{ 250'000 };
/** Demand per second under which a resource counts as idle. */
constexpr double kIdleDemand = 0.01;
/** Time for which a report that a resource is used up counts; holders ask again before its end. */
constexpr microseconds kUsedUpMemory{ 100'000 };
/** Part of the burst that all holders together store in advance. */
constexpr std::int64_t kStoredPartOfBurst = 8;
constexpr microseconds kMaxHorizon{ 250'000 };
/** Reports come at least this often per burst, since the spent tokens block the refill. */
constexpr std::int64_t kReportsPerBurst = 10;
constexpr microseconds kMinReportInterval{ 5'000 };
constexpr microseconds kMaxReportInterval{ 50'000 };
constexpr microseconds kStoreTime{ 50'000 };
constexpr microseconds kMinRequestInterval{ 5'000 };
constexpr microseconds kCutOffRequestInterval{ 50'000 };
constexpr microseconds kMinResendTime{ 30'000 };
constexpr std::uint32_t kMaxSends = 3;
/** A request without an answer for this long can bring no usable lease any more. */
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

bool rate_wallet::TrySpend(const std::map<std::string, double>& aCosts, bool aIsRetry, instant aNow)
{
  bool isEnough = true;
  bool isUsedUp = false;
  for (const auto& [name, cost] : aCosts) {
    resource_state& resource = mResources[name];
    DropExpired(resource, aNow);
    if (SumTokens(resource.mGrants, aNow) < RoundTokensUp(cost)) {
      isEnough = false;
      isUsedUp = isUsedUp || WasReportedUsedUp(name, aNow - kUsedUpMemory);
    }
  }
  for (const auto& [name, cost] : aCosts) {
    const double tokens = RoundTokensUp(cost);
    resource_state& resource = mResources[name];
    if (isEnough) {
      Take(resource, tokens);
    } else if (isUsedUp && !WasReportedUsedUp(name, aNow - kUsedUpMemory)) {
      // What cannot be spent beside a used-up resource must not be stored here.
      continue;
    } else if (aIsRetry) {
      resource.mNeeded += tokens;
    }
    AddDemand(resource, aIsRetry ? 0 : tokens, aNow);
  }
  return isEnough;
}

void rate_wallet::AddNeed(const std::string& aResource, double aTokens)
{
  mResources[aResource].mNeeded += RoundTokensUp(aTokens);
}

std::vector<grant_request> rate_wallet::MakeRequests(incarnation aIncarnation, instant aNow)
{
  std::vector<grant_request> requests;
  Resend(requests, aNow);
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
  mNextRequestAt = aNow + (IsCutOff(aNow) ? kCutOffRequestInterval : kMinRequestInterval);
  mUnansweredSince = mUnansweredSince.value_or(aNow);
  mPending.emplace(
    mRequestNumber,
    pending_request{ request, aNow, aNow + std::max(kMinResendTime, 2 * mRoundTrip) });
  requests.push_back(std::move(request));
  return requests;
}

std::optional<resource_demand> rate_wallet::MakeDemand(const std::string& aName,
                                                       resource_state& aResource,
                                                       instant aNow)
{
  DropExpired(aResource, aNow);
  AddDemand(aResource, 0, aNow);
  const microseconds horizon =
    std::min<microseconds>(kMaxHorizon, aResource.mBurstTime / kStoredPartOfBurst);
  // Parts of a token stored at many VMs would be of use to none.
  const double target = std::floor(aResource.mDemandPerSecond * ToSeconds(horizon));
  if (aResource.mNeeded <= 0) {
    ReturnStored(aResource, target, aNow);
  }
  const double coming = SumTokens(aResource.mGrants, aNow) + aResource.mInFlight;
  const bool isWanting = aResource.mNeeded > coming || coming < target / 2;
  resource_demand demand{ aName, 0, {} };
  if (isWanting && aNow >= aResource.mAskAgainAt) {
    demand.mWanted = aResource.mNeeded + target - coming;
  }
  const bool hasReports =
    std::any_of(aResource.mReports.begin(), aResource.mReports.end(), [](const auto& aReport) {
      return aReport.second.mRequestNumber == 0;
    });
  if (demand.mWanted <= 0 && (!hasReports || aNow < aResource.mReportAt)) {
    return std::nullopt;
  }
  aResource.mInFlight += demand.mWanted;
  aResource.mReportAt = aNow + std::clamp<microseconds>(aResource.mBurstTime / kReportsPerBurst,
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

void rate_wallet::Resend(std::vector<grant_request>& aRequests, instant aNow)
{
  for (auto entry = mPending.begin(); entry != mPending.end();) {
    pending_request& pending = entry->second;
    if (pending.mSentAt + kMaxLease <= aNow) {
      GiveUp(pending);
      entry = mPending.erase(entry);
      continue;
    }
    if (!pending.mIsGivenUp && pending.mResendAt <= aNow) {
      if (pending.mSends < kMaxSends) {
        ++pending.mSends;
        pending.mResendAt = aNow + pending.mSends * std::max(kMinResendTime, 2 * mRoundTrip);
        aRequests.push_back(pending.mRequest);
      } else {
        GiveUp(pending);
      }
    }
    ++entry;
  }
}

void rate_wallet::GiveUp(pending_request& aPending)
{
  if (std::exchange(aPending.mIsGivenUp, true)) {
    return;
  }
  for (const resource_demand& demand : aPending.mRequest.mDemands) {
    const auto found = mResources.find(demand.mResource);
    if (found == mResources.end()) {
      continue;
    }
    found->second.mInFlight -= demand.mWanted;
    for (auto& [grant, report] : found->second.mReports) {
      if (report.mRequestNumber == aPending.mRequest.mRequestNumber) {
        report.mRequestNumber = 0;
      }
    }
  }
}

void rate_wallet::Accept(const grant_reply& aReply, instant aNow)
{
  const auto found = mPending.find(aReply.mRequestNumber);
  if (found == mPending.end() ||
      found->second.mRequest.mHolderIncarnation != aReply.mHolderIncarnation) {
    return;
  }
  pending_request& pending = found->second;
  mUnansweredSince.reset();
  if (pending.mSends == 1) {
    mRoundTrip = (7 * mRoundTrip + (aNow - pending.mSentAt)) / 8;
  }
  GiveUp(pending);
  for (const resource_demand& demand : pending.mRequest.mDemands) {
    for (const auto& settled : demand.mSettled) {
      // A report that changed meanwhile has lost the number of this request and stays.
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
    resource.mAskAgainAt = aNow + microseconds(grant.mRetryMicroseconds);
    if (grant.mIsUsedUp) {
      resource.mUsedUpAt = aNow;
    }
    const instant expiresAt = pending.mSentAt + microseconds(grant.mLeaseMicroseconds);
    if (expiresAt > aNow && grant.mTokens > 0) {
      const auto place =
        std::find_if(resource.mGrants.begin(), resource.mGrants.end(), [&](const auto& aHeld) {
          return aHeld.mExpiresAt > expiresAt;
        });
      resource.mGrants.insert(place, { grant.mGrant, grant.mTokens, expiresAt, aNow });
    }
  }
  mPending.erase(found);
}

double rate_wallet::GetHeld(const std::string& aResource, instant aNow) const
{
  const auto found = mResources.find(aResource);
  return found == mResources.end() ? 0 : SumTokens(found->second.mGrants, aNow);
}

std::optional<std::string> rate_wallet::FindShortage(const std::map<std::string, double>& aCosts,
                                                     instant aNow) const
{
  const auto found = std::find_if(aCosts.rbegin(), aCosts.rend(), [&](const auto& aCost) {
    return GetHeld(aCost.first, aNow) < RoundTokensUp(aCost.second);
  });
  return found == aCosts.rend() ? std::nullopt : std::optional(found->first);
}

bool rate_wallet::WasReportedUsedUp(const std::string& aResource, instant aSince) const
{
  const auto found = mResources.find(aResource);
  return found != mResources.end() && found->second.mUsedUpAt && *found->second.mUsedUpAt >= aSince;
}

void rate_wallet::DropExpired(resource_state& aResource, instant aNow)
{
  std::erase_if(aResource.mGrants,
                [aNow](const held_grant& aGrant) { return aGrant.mExpiresAt <= aNow; });
  std::erase_if(aResource.mReports,
                [aNow](const auto& aReport) { return aReport.second.mExpiresAt <= aNow; });
}

void rate_wallet::AddDemand(resource_state& aResource, double aTokens, instant aNow)
{
  const double elapsed = ToSeconds(aNow - aResource.mDemandAt) / ToSeconds(kDemandMemory);
  aResource.mDemandAt = aNow;
  aResource.mDemandPerSecond =
    aResource.mDemandPerSecond * std::exp(-elapsed) + aTokens / ToSeconds(kDemandMemory);
}

void rate_wallet::Take(resource_state& aResource, double aTokens)
{
  double missing = aTokens;
  for (held_grant& grant : aResource.mGrants) {
    const double taken = std::min(missing, grant.mTokens);
    if (taken <= 0) {
      break;
    }
    grant.mTokens -= taken;
    missing -= taken;
    aResource.mReports.insert_or_assign(
      grant.mGrant, grant_report{ grant.mTokens, grant.mTokens <= 0, grant.mExpiresAt, 0 });
  }
  std::erase_if(aResource.mGrants, [](const held_grant& aGrant) { return aGrant.mTokens <= 0; });
}

void rate_wallet::ReturnStored(resource_state& aResource, double aTarget, instant aNow)
{
  const microseconds storeTime =
    kStoreTime + 2 * std::min<microseconds>(kMaxHorizon, aResource.mBurstTime / kStoredPartOfBurst);
  double held = SumTokens(aResource.mGrants, aNow);
  std::erase_if(aResource.mGrants, [&](const held_grant& aGrant) {
    const bool isSpare = aGrant.mAcceptedAt + storeTime <= aNow && held - aGrant.mTokens >= aTarget;
    if (isSpare) {
      held -= aGrant.mTokens;
      aResource.mReports.insert_or_assign(
        aGrant.mGrant, grant_report{ aGrant.mTokens, true, aGrant.mExpiresAt, 0 });
    }
    return isSpare;
  });
}

} // namespace citronpulley
