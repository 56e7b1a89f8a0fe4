#include "citronpulley/fleet/workspace_ledger.h"

#include <algorithm>
#include <set>

namespace citronpulley {

namespace {

/** Smallest part of the tokens that is divided evenly, for a first request at any VM. */
constexpr double kMinEvenPart = 0.25;
/** Tokens that each VM should hold whatever its demand, if there are as many. */
constexpr double kEvenTokens = 2;
/** Time for which the ledger itself holds tokens: a report and its grant. */
constexpr double kLedgerSeconds = 0.4;
/** Part of the allowance that stays unused, for reports and grants that cross. */
constexpr double kMargin = 0.1;

} // namespace

void workspace_ledger::SetRules(const std::vector<workspace_rule>& aRules, instant aNow)
{
  std::set<workspace_name> limited;
  for (const workspace_rule& rule : aRules) {
    if (rule.mRate <= 0) {
      continue;
    }
    limited.insert(rule.mName);
    const auto [place, isNew] = mAccounts.try_emplace(rule.mName);
    if (isNew) {
      place->second.mFilledAt = aNow;
    }
    Fill(place->second, aNow);
    place->second.mRate = rule.mRate;
    place->second.mBurst = rule.mBurst;
  }
  std::erase_if(mAccounts, [&](const auto& aAccount) { return !limited.contains(aAccount.first); });
}

double workspace_ledger::GetAllowance(const account& aAccount) const
{
  const double window = static_cast<double>(mBounds.mWindow.count()) / 1e6;
  const double excess = mBounds.mOverage * (aAccount.mRate * window + aAccount.mBurst) +
                        aAccount.mBurst + mBounds.mSlack;
  // Each entry VM may spend a fraction of a token in advance.
  const double advance = static_cast<double>(mHeardAt.size()) * 0.5;
  return std::max(excess * (1 - kMargin) - advance, excess / 4);
}

double workspace_ledger::GetLedgerPart(const account& aAccount) const
{
  return std::min(GetAllowance(aAccount) / 2, 1 + kLedgerSeconds * aAccount.mRate);
}

void workspace_ledger::Fill(account& aAccount, instant aNow) const
{
  const double elapsed = static_cast<double>((aNow - aAccount.mFilledAt).count()) / 1e6;
  aAccount.mFilledAt = aNow;
  double rate = aAccount.mRate;
  for (const auto& [vm, holder] : aAccount.mHolders) {
    const auto heard = mHeardAt.find(vm);
    if (heard != mHeardAt.end() && heard->second + kSilence <= aNow) {
      rate -= holder.mSilentRate;
    }
  }
  aAccount.mTokens = std::min(GetLedgerPart(aAccount),
                              aAccount.mTokens + std::max(0.0, rate) * std::max(0.0, elapsed));
}

std::vector<workspace_grant> workspace_ledger::Take(const entry_report& aReport, instant aNow)
{
  const vm_name& vm = aReport.mPlace.mVm;
  mHeardAt[vm] = aNow;
  Expire(aNow);
  for (auto& [name, account] : mAccounts) {
    holder& holder = account.mHolders[vm];
    holder.mDemand = 0;
    holder.mTokens = 0;
  }
  for (const workspace_demand& demand : aReport.mDemands) {
    const auto account = mAccounts.find(demand.mWorkspace);
    if (account != mAccounts.end()) {
      holder& holder = account->second.mHolders[vm];
      holder.mDemand = demand.mRate;
      holder.mTokens = demand.mTokens;
    }
  }
  std::vector<workspace_grant> grants;
  for (auto& [name, account] : mAccounts) {
    workspace_grant grant = Lend(account, vm, aNow);
    if (grant.mTokens != 0) {
      grant.mWorkspace = name;
      grants.push_back(std::move(grant));
    }
  }
  return grants;
}

workspace_grant workspace_ledger::Lend(account& aAccount, const vm_name& aVm, instant aNow)
{
  Fill(aAccount, aNow);
  double demand = 0;
  for (const auto& [vm, holder] : aAccount.mHolders) {
    demand += holder.mDemand;
  }
  holder& holder = aAccount.mHolders[aVm];
  const double even = 1 / static_cast<double>(aAccount.mHolders.size());
  const double lent = GetAllowance(aAccount) - GetLedgerPart(aAccount);
  const double evenPart = std::clamp(kEvenTokens / (even * lent), kMinEvenPart, 1.0);
  const double part =
    demand > 0 ? evenPart * even + (1 - evenPart) * holder.mDemand / demand : even;
  workspace_grant grant;
  grant.mMost = lent * part;
  grant.mSilentRate = aAccount.mRate * part;
  // Tokens that became too many go back to the ledger.
  grant.mTokens = std::min(grant.mMost - holder.mTokens, std::max(0.0, aAccount.mTokens));
  aAccount.mTokens -= grant.mTokens;
  holder.mTokens += grant.mTokens;
  holder.mSilentRate = grant.mSilentRate;
  return grant;
}

void workspace_ledger::Expire(instant aNow)
{
  for (auto place = mHeardAt.begin(); place != mHeardAt.end();) {
    if (place->second + mLease > aNow) {
      ++place;
      continue;
    }
    for (auto& [name, account] : mAccounts) {
      account.mHolders.erase(place->first);
    }
    place = mHeardAt.erase(place);
  }
}

} // namespace citronpulley
