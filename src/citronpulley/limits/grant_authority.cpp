#include "citronpulley/limits/grant_authority.h"

#include "citronpulley/base/digest.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace citronpulley {

namespace {

/** Number of replies kept per holder, to be sent again when a request is resent. */
constexpr std::size_t kMaxCachedReplies = 16;
constexpr double kMicrosecondsPerSecond = 1e6;
/** Bounds of the delay after which a holder that got too few tokens requests again. */
constexpr std::int64_t kMinRetryMicroseconds = 5'000;
constexpr std::int64_t kMaxRetryMicroseconds = 100'000;
/** Number of holders up to which the minimum delay applies; it grows in proportion above that. */
constexpr std::int64_t kHoldersAtMinRetry = 12;

/** Derives the first grant number from a hash, so that the numbers of different runs and terms do
 * not overlap in practice. */
std::uint64_t ComputeFirstGrantNumber(const vm_name& aSelf,
                                      incarnation aIncarnation,
                                      std::uint64_t aTerm)
{
  const std::string text =
    aSelf.mValue + ":" + std::to_string(aIncarnation) + ":" + std::to_string(aTerm);
  std::uint64_t number = 0;
  const digest bytes = ComputeDigest(text);
  for (std::size_t index = 0; index < sizeof(number); ++index) {
    number = number << 8U | bytes.mBytes[index];
  }
  return number;
}

} // namespace

grant_authority::grant_authority(vm_name aSelf, incarnation aIncarnation)
  : mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
{
}

void grant_authority::ConfirmLeadership(std::uint64_t aTerm, instant aConfirmedAt, instant aNow)
{
  if (mHasLed && aTerm == mTerm) {
    mConfirmedAt = std::max(mConfirmedAt, aConfirmedAt);
    return;
  }
  if (mHasLed && aTerm < mTerm) {
    return;
  }
  mHasLed = true;
  mTerm = aTerm;
  mConfirmedAt = aConfirmedAt;
  mBlockedUntil = aNow + kLeadershipValidity + kLease + kLeaseMargin;
  mLastGrant = ComputeFirstGrantNumber(mSelf, mIncarnation, mTerm);
  mResources.clear();
  mHolders.clear();
  for (const auto& [resource, limit] : mLimits) {
    SetLimit(resource, limit, aNow);
  }
}

void grant_authority::SetCatalogue(const catalogue& aCatalogue, instant aNow)
{
  mLimits.clear();
  for (const workspace_entry& workspace : aCatalogue.mWorkspaces) {
    mLimits["workspace:" + workspace.mName.mValue] = { workspace.mRatePerSecond, workspace.mBurst };
  }
  for (const region_entry& region : aCatalogue.mRegions) {
    const double rate = kGrantedCapacityShare * region.mCapacityPerSecond;
    mLimits["region:" + region.mName.mValue] = { rate, rate };
  }
  std::erase_if(mLimits, [](const auto& aEntry) {
    return !(aEntry.second.mRate > 0) || !(aEntry.second.mBurst > 0);
  });
  if (!mHasLed) {
    return;
  }
  for (auto entry = mResources.begin(); entry != mResources.end();) {
    const bool isUnused =
      !mLimits.contains(entry->first) && entry->second.mLedger.GetOutstanding(aNow) <= 0;
    entry = isUnused ? mResources.erase(entry) : std::next(entry);
  }
  for (const auto& [resource, limit] : mLimits) {
    SetLimit(resource, limit, aNow);
  }
}

void grant_authority::SetLimit(const std::string& aResource, const rate_limit& aLimit, instant aNow)
{
  const auto found = mResources.find(aResource);
  if (found == mResources.end()) {
    // The ledger starts empty, so that removing and adding a resource does not grant a second
    // burst.
    const rate_ledger ledger(aLimit.mRate, aLimit.mBurst, std::max(mBlockedUntil, aNow));
    mResources.emplace(aResource, resource_state{ ledger, {} });
    return;
  }
  rate_ledger& ledger = found->second.mLedger;
  if (rate_limit{ ledger.GetRate(), ledger.GetBurst() } != aLimit) {
    ledger.SetLimit(aLimit.mRate, aLimit.mBurst, aNow);
  }
}

grant_reply grant_authority::HandleRequest(const vm_name& aHolder,
                                           const grant_request& aRequest,
                                           instant aNow)
{
  grant_reply reply;
  reply.mRequestNumber = aRequest.mRequestNumber;
  reply.mHolderIncarnation = aRequest.mHolderIncarnation;
  if (!mHasLed || aNow >= mConfirmedAt + kLeadershipValidity) {
    return reply;
  }
  reply.mIsLeader = true;
  reply.mLeader = mSelf;
  holder_state& holder = mHolders[aHolder];
  if (holder.mIncarnation > aRequest.mHolderIncarnation) {
    return reply;
  }
  if (holder.mIncarnation < aRequest.mHolderIncarnation) {
    holder = { aRequest.mHolderIncarnation, {} };
  }
  const auto sent =
    std::find_if(holder.mReplies.begin(), holder.mReplies.end(), [&](const grant_reply& aReply) {
      return aReply.mRequestNumber == aRequest.mRequestNumber;
    });
  if (sent != holder.mReplies.end()) {
    return *sent;
  }
  for (const resource_demand& demand : aRequest.mDemands) {
    const auto found = mResources.find(demand.mResource);
    if (found == mResources.end()) {
      continue;
    }
    for (const auto& settled : demand.mSettled) {
      if (settled.mIsReturned) {
        found->second.mLedger.ReturnGrant(settled.mGrant, settled.mUnspent, aNow);
      } else {
        found->second.mLedger.ReduceGrant(settled.mGrant, settled.mUnspent, aNow);
      }
    }
    if (demand.mWantedTokens > 0 && mLimits.contains(demand.mResource)) {
      reply.mGrants.push_back(
        Grant(aHolder, demand.mResource, found->second, demand.mWantedTokens, aNow));
    }
  }
  holder.mReplies.push_back(reply);
  if (holder.mReplies.size() > kMaxCachedReplies) {
    holder.mReplies.pop_front();
  }
  return reply;
}

resource_grant grant_authority::Grant(const vm_name& aHolder,
                                      const std::string& aResource,
                                      resource_state& aState,
                                      double aWanted,
                                      instant aNow)
{
  rate_ledger& ledger = aState.mLedger;
  const double wanted = std::min(aWanted, ledger.GetBurst());
  aState.mDemands.RecordDemand(aHolder, wanted, aNow);
  const double level = ledger.GetLevel(aNow);
  const double limit = aState.mDemands.ComputeFairLimit(aHolder, level, aNow);
  double tokens = std::min({ wanted, level, limit });
  if (tokens < wanted) {
    tokens = std::floor(tokens);
  }
  resource_grant grant;
  grant.mResource = aResource;
  grant.mBurstMicroseconds = static_cast<std::int64_t>(
    std::min(ledger.GetBurst() / ledger.GetRate(), 1e3) * kMicrosecondsPerSecond);
  if (tokens > 0) {
    grant.mTokens = ledger.Grant(mLastGrant + 1, tokens, aNow + kLease + kLeaseMargin, aNow);
  }
  if (grant.mTokens > 0) {
    grant.mGrant = ++mLastGrant;
    grant.mLeaseMicroseconds = kLease.count();
    aState.mDemands.RecordGranted(aHolder, grant.mTokens, aNow);
  }
  if (grant.mTokens < wanted) {
    const auto holders = static_cast<std::int64_t>(aState.mDemands.GetHolderCount());
    grant.mIsUsedUp = !ledger.IsBlocked(aNow);
    grant.mRetryMicroseconds = std::clamp(kMinRetryMicroseconds * holders / kHoldersAtMinRetry,
                                          kMinRetryMicroseconds,
                                          kMaxRetryMicroseconds);
  }
  return grant;
}

} // namespace citronpulley
