#include "citronpulley/steering/workspace_meter.h"

#include <algorithm>
#include <cmath>

namespace citronpulley {

namespace {

/** Smallest bucket: with less than one token, a small part would never admit a request. */
constexpr double kMinBucket = 1;
/** Demand below which a workspace is not reported, in requests per second. */
constexpr double kMinDemand = 0.05;

double ToSeconds(microseconds aSpan)
{
  return static_cast<double>(aSpan.count()) / 1e6;
}

} // namespace

void workspace_meter::SetShare(const workspace_name& aWorkspace,
                               double aRate,
                               double aBurst,
                               instant aNow)
{
  const auto [place, isNew] = mAccounts.try_emplace(aWorkspace);
  account& account = place->second;
  if (isNew || account.mFilledAt == instant{}) {
    account.mFilledAt = aNow;
  }
  Fill(account, aNow);
  account.mRate = aRate;
  account.mBurst = std::max(kMinBucket, aBurst);
  account.mTokens = std::min(account.mTokens, account.mBurst);
}

void workspace_meter::Fill(account& aAccount, instant aNow)
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - aAccount.mFilledAt));
  aAccount.mTokens =
    std::min(aAccount.mBurst, aAccount.mTokens + aAccount.mRate * elapsed);
  aAccount.mFilledAt = aNow;
}

void workspace_meter::DecayDemand(account& aAccount, instant aNow)
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - aAccount.mDemandAt));
  aAccount.mDemand *= std::exp(-elapsed / ToSeconds(kDemandWindow));
  aAccount.mDemandAt = aNow;
}

bool workspace_meter::TryTake(const workspace_name& aWorkspace, instant aNow)
{
  account& account = mAccounts[aWorkspace];
  DecayDemand(account, aNow);
  account.mDemand += 1 / ToSeconds(kDemandWindow);
  Fill(account, aNow);
  if (account.mTokens < 1) {
    return false;
  }
  account.mTokens -= 1;
  return true;
}

void workspace_meter::GiveBack(const workspace_name& aWorkspace)
{
  const auto found = mAccounts.find(aWorkspace);
  if (found != mAccounts.end()) {
    found->second.mTokens = std::min(found->second.mBurst, found->second.mTokens + 1);
  }
}

std::vector<std::pair<workspace_name, double>> workspace_meter::ListDemands(instant aNow)
{
  std::vector<std::pair<workspace_name, double>> list;
  for (auto& [name, account] : mAccounts) {
    DecayDemand(account, aNow);
    if (account.mDemand >= kMinDemand) {
      list.emplace_back(name, account.mDemand);
    }
  }
  return list;
}

} // namespace citronpulley
