#include "citronpulley/steering/workspace_meter.h"

#include <algorithm>
#include <cmath>

namespace citronpulley {

namespace {

/** Demand below which a workspace is not reported, in requests per second. */
constexpr double kMinDemand = 0.02;

double ToSeconds(microseconds aSpan)
{
  return static_cast<double>(aSpan.count()) / 1e6;
}

} // namespace

void workspace_meter::RecordLeaderContact(instant aNow) noexcept
{
  mLeaderSeenAt = aNow;
}

void workspace_meter::Grant(const workspace_name& aWorkspace,
                            double aTokens,
                            double aFallbackRate,
                            double aMaxTokens)
{
  account& account = mAccounts[aWorkspace];
  account.mTokens += aTokens;
  account.mFallbackRate = aFallbackRate;
  account.mMaxTokens = aMaxTokens;
}

void workspace_meter::RefillFallback(account& aAccount, instant aNow) const
{
  const instant from = std::max(aAccount.mRefilledAt, mLeaderSeenAt + kContactTimeout);
  if (from < aNow && aAccount.mTokens < aAccount.mMaxTokens) {
    aAccount.mTokens = std::min(aAccount.mMaxTokens,
                                aAccount.mTokens + aAccount.mFallbackRate * ToSeconds(aNow - from));
  }
  aAccount.mRefilledAt = aNow;
}

void workspace_meter::DecayDemand(account& aAccount, instant aNow)
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - aAccount.mDemandAt));
  aAccount.mDemand *= std::exp(-elapsed / ToSeconds(kDemandWindow));
  aAccount.mDemandAt = aNow;
}

bool workspace_meter::TrySpend(const workspace_name& aWorkspace, instant aNow)
{
  account& account = mAccounts[aWorkspace];
  DecayDemand(account, aNow);
  account.mDemand += 1 / ToSeconds(kDemandWindow);
  RefillFallback(account, aNow);
  if (account.mTokens <= 0) {
    return false;
  }
  account.mTokens -= 1;
  return true;
}

void workspace_meter::Refund(const workspace_name& aWorkspace)
{
  const auto found = mAccounts.find(aWorkspace);
  if (found != mAccounts.end()) {
    found->second.mTokens += 1;
  }
}

std::vector<workspace_meter::account_report> workspace_meter::Report(instant aNow)
{
  std::vector<account_report> list;
  for (auto& [name, account] : mAccounts) {
    DecayDemand(account, aNow);
    if (account.mDemand >= kMinDemand || account.mTokens != 0) {
      list.push_back({ name, account.mDemand, account.mTokens });
    }
  }
  return list;
}

} // namespace citronpulley
