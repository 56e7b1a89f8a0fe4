#include "citronpulley/limits/rate_wallet.h"

#include <algorithm>

namespace citronpulley {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/** Time for which a request asks in advance, in seconds. */
constexpr double kHorizonSeconds = 0.5;
constexpr double kSmoothing = 0.3;
/** Demand per second under which a resource counts as idle. */
constexpr double kIdleDemand = 0.01;
/** Tokens under this are rounding noise. */
constexpr double kNegligibleTokens = 1e-6;

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
  for (const auto& [name, tokens] : aCosts) {
    resource_state& resource = mResources[name];
    DropExpired(resource, aNow);
    resource.mRecentDemand += aIsRetry ? 0 : tokens;
    isEnough = isEnough && SumTokens(resource.mGrants, aNow) + kNegligibleTokens >= tokens;
  }
  if (!isEnough) {
    return false;
  }
  for (const auto& [name, tokens] : aCosts) {
    Take(mResources[name], tokens);
  }
  return true;
}

grant_request rate_wallet::MakeRequest(incarnation aIncarnation, instant aNow)
{
  const double seconds = std::clamp(
    static_cast<double>((aNow - mRequestedAt).count()) / kMicrosecondsPerSecond, 0.01, 10.0);
  mRequestedAt = aNow;
  grant_request request;
  request.mRequestNumber = ++mRequestNumber;
  request.mHolderIncarnation = aIncarnation;
  for (auto& [name, resource] : mResources) {
    DropExpired(resource, aNow);
    const double present = resource.mRecentDemand / seconds;
    resource.mDemandPerSecond += kSmoothing * (present - resource.mDemandPerSecond);
    const double expected =
      std::max(resource.mRecentDemand, resource.mDemandPerSecond * kHorizonSeconds);
    resource.mRecentDemand = 0;
    resource_demand demand;
    demand.mResource = name;
    demand.mSettled = std::move(resource.mSettled);
    resource.mSettled.clear();
    if (resource.mDemandPerSecond > kIdleDemand) {
      demand.mWanted = std::max(0.0, expected - SumTokens(resource.mGrants, aNow));
    }
    if (demand.mWanted > 0 || !demand.mSettled.empty()) {
      request.mDemands.push_back(std::move(demand));
    }
  }
  return request;
}

void rate_wallet::Accept(const grant_reply& aReply, instant aNow)
{
  if (aReply.mRequestNumber != mRequestNumber) {
    // The tokens of an overtaken request stay lent out until their lease ends; they are never
    // spent.
    return;
  }
  for (const resource_grant& grant : aReply.mGrants) {
    const instant expiresAt = mRequestedAt + microseconds(grant.mLeaseMicroseconds);
    if (expiresAt > aNow && grant.mTokens > 0) {
      mResources[grant.mResource].mGrants.push_back({ grant.mGrant, grant.mTokens, expiresAt });
    }
  }
}

double rate_wallet::GetHeld(const std::string& aResource, instant aNow) const
{
  const auto found = mResources.find(aResource);
  return found == mResources.end() ? 0 : SumTokens(found->second.mGrants, aNow);
}

void rate_wallet::DropExpired(resource_state& aResource, instant aNow)
{
  std::erase_if(aResource.mGrants,
                [aNow](const held_grant& aGrant) { return aGrant.mExpiresAt <= aNow; });
}

void rate_wallet::Take(resource_state& aResource, double aTokens)
{
  double missing = aTokens;
  for (held_grant& grant : aResource.mGrants) {
    const double taken = std::min(missing, grant.mTokens);
    grant.mTokens -= taken;
    missing -= taken;
    if (grant.mTokens <= kNegligibleTokens) {
      aResource.mSettled.push_back({ grant.mGrant, 0 });
    }
  }
  std::erase_if(aResource.mGrants,
                [](const held_grant& aGrant) { return aGrant.mTokens <= kNegligibleTokens; });
}

} // namespace citronpulley
