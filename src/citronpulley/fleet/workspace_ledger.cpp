#include "citronpulley/fleet/workspace_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronpulley {

namespace {

/**
 * Minimum fraction of the tokens that is divided evenly, so that every VM has some for a first
 * request.
 */
constexpr double kMinEvenShare = 0.25;
/** Tokens that each VM should hold regardless of its demand, if there are enough. */
constexpr double kEvenTokens = 2;
/**
 * Tokens that entry VMs may have spent in advance together, as a fraction of the excess of a
 * window. Above it only VMs with a whole token get some. It is low because a VM reports what it
 * spent up to 300 ms later, and gives its fraction of a token back as late.
 */
constexpr double kMaxDebt = 0.125;
/** Time whose tokens the ledger itself holds: that of a report and its grant. */
constexpr double kLedgerSeconds = 0.4;
/** Fraction of the allowance that stays unused, for reports and grants that cross on the way. */
constexpr double kMargin = 0.1;
/**
 * Minimum change of the tokens for which a grant is sent, as a fraction of the entry VM's maximum.
 */
constexpr double kMinGrantChange = 0.02;
/** Sum of demands that counts as none, in requests per second. */
constexpr double kNegligibleDemand = 1e-6;

double ToSeconds(microseconds aSpan)
{
  return static_cast<double>(aSpan.count()) / 1e6;
}

} // namespace

void workspace_ledger::SetRules(const std::vector<workspace_rule>& aRules, instant aNow)
{
  CheckContacts(aNow);
  // Looked up by name apart from mAccounts, whose order a moved account would break.
  std::map<workspace_name, account> former;
  for (account& account : mAccounts) {
    const workspace_name name = account.mName;
    former.emplace(name, std::move(account));
  }
  std::vector<account> accounts;
  for (const workspace_rule& rule : aRules) {
    if (rule.mRate <= 0) {
      continue;
    }
    if (auto known = former.extract(rule.mName); !known.empty()) {
      Refill(known.mapped(), aNow);
      accounts.push_back(std::move(known.mapped()));
    } else {
      accounts.emplace_back();
      accounts.back().mRefilledAt = aNow;
      accounts.back().mHolders.resize(mSlotCount);
    }
    accounts.back().mName = rule.mName;
    accounts.back().mRate = rule.mRate;
    accounts.back().mBurst = rule.mBurst;
  }
  mAccounts = std::move(accounts);
  std::ranges::sort(mAccounts, {}, &account::mName);
}

workspace_ledger::account* workspace_ledger::FindAccount(const workspace_name& aName)
{
  const auto found = std::ranges::lower_bound(mAccounts, aName, {}, &account::mName);
  return found == mAccounts.end() || found->mName != aName ? nullptr : &*found;
}

double workspace_ledger::ComputeExcess(const account& aAccount) const
{
  const double window = ToSeconds(mBounds.mWindow);
  return mBounds.mOverage * (aAccount.mRate * window + aAccount.mBurst) + aAccount.mBurst +
         mBounds.mSlack;
}

double workspace_ledger::ComputeAllowance(const account& aAccount) const
{
  const double excess = ComputeExcess(aAccount);
  // Each entry VM may spend a fraction of a token in advance.
  const double advance = static_cast<double>(mVms.size()) * 0.5;
  return std::max(excess * (1 - kMargin) - advance, excess / 4);
}

double workspace_ledger::ComputeLedgerShare(const account& aAccount) const
{
  return std::min(ComputeAllowance(aAccount) / 2, 1 + kLedgerSeconds * aAccount.mRate);
}

void workspace_ledger::SetTokens(account& aAccount, holder& aHolder, double aTokens)
{
  aAccount.mDebt += std::max(0.0, -aTokens) - std::max(0.0, -aHolder.mTokens);
  aHolder.mTokens = aTokens;
}

void workspace_ledger::Refill(account& aAccount, instant aNow) const
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - aAccount.mRefilledAt));
  aAccount.mRefilledAt = aNow;
  const double rate = std::max(0.0, aAccount.mRate - aAccount.mFallbackRate);
  aAccount.mTokens = std::min(ComputeLedgerShare(aAccount), aAccount.mTokens + rate * elapsed);
}

std::vector<workspace_grant> workspace_ledger::HandleReport(const entry_report& aReport,
                                                            instant aNow)
{
  CheckContacts(aNow);
  const std::size_t slot = RecordContact(aReport.mLocation.mVm, aNow);
  for (account& account : mAccounts) {
    holder& holder = account.mHolders[slot];
    account.mDemand = std::max(0.0, account.mDemand - holder.mDemand);
    holder.mDemand = 0;
    SetTokens(account, holder, 0);
  }
  for (const workspace_demand& demand : aReport.mDemands) {
    if (account* account = FindAccount(demand.mWorkspace)) {
      holder& holder = account->mHolders[slot];
      account->mDemand += demand.mRate - holder.mDemand;
      holder.mDemand = demand.mRate;
      SetTokens(*account, holder, demand.mTokens);
    }
  }
  std::vector<workspace_grant> grants;
  for (account& account : mAccounts) {
    workspace_grant grant = Grant(account, slot, aNow);
    if (grant.mTokens != 0) {
      grant.mWorkspace = account.mName;
      grants.push_back(std::move(grant));
    }
  }
  return grants;
}

workspace_grant workspace_ledger::Grant(account& aAccount, std::size_t aSlot, instant aNow)
{
  Refill(aAccount, aNow);
  holder& holder = aAccount.mHolders[aSlot];
  const double evenShare = 1 / static_cast<double>(mVms.size());
  const double grantable = ComputeAllowance(aAccount) - ComputeLedgerShare(aAccount);
  const double evenFraction = std::clamp(kEvenTokens / (evenShare * grantable), kMinEvenShare, 1.0);
  const double share =
    aAccount.mDemand > kNegligibleDemand
      ? evenFraction * evenShare + (1 - evenFraction) * holder.mDemand / aAccount.mDemand
      : evenShare;
  workspace_grant grant;
  grant.mMaxTokens = grantable * share;
  grant.mFallbackRate = aAccount.mRate * share;
  // VMs that hold less than one token run their next request in advance, however many they are.
  const bool isAdvanceUsed = aAccount.mDebt > kMaxDebt * ComputeExcess(aAccount);
  const double target = isAdvanceUsed && grant.mMaxTokens < 1 ? 0 : grant.mMaxTokens;
  // A negative amount returns excess tokens to the ledger.
  const double tokens = std::min(target - holder.mTokens, std::max(0.0, aAccount.mTokens));
  if (std::abs(tokens) < kMinGrantChange * grant.mMaxTokens) {
    return grant;
  }
  grant.mTokens = tokens;
  aAccount.mTokens -= tokens;
  SetTokens(aAccount, holder, holder.mTokens + tokens);
  holder.mFallbackRate = grant.mFallbackRate;
  return grant;
}

workspace_ledger::entry_vm& workspace_ledger::FindOrAddVm(const vm_name& aVm)
{
  const auto [position, isNew] = mVms.try_emplace(aVm);
  entry_vm& vm = position->second;
  if (!isNew) {
    return vm;
  }
  if (!mFreeSlots.empty()) {
    vm.mSlot = mFreeSlots.back();
    mFreeSlots.pop_back();
    return vm;
  }
  vm.mSlot = mSlotCount++;
  for (account& account : mAccounts) {
    account.mHolders.resize(mSlotCount);
  }
  return vm;
}

std::size_t workspace_ledger::RecordContact(const vm_name& aVm, instant aNow)
{
  entry_vm& vm = FindOrAddVm(aVm);
  vm.mSeenAt = aNow;
  SetUnreachable(vm, false, aNow);
  return vm.mSlot;
}

void workspace_ledger::RecordListed(const std::vector<vm_name>& aVms, instant aNow)
{
  std::erase_if(mListedUntil, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  for (const vm_name& vm : aVms) {
    mListedUntil.insert_or_assign(vm, aNow + mLease);
  }
}

void workspace_ledger::StartLeading(instant aNow)
{
  CheckContacts(aNow);
  std::vector<entry_vm*> unheard;
  for (const auto& [name, until] : std::exchange(mListedUntil, {})) {
    if (aNow < until && !mVms.contains(name)) {
      entry_vm& vm = FindOrAddVm(name);
      vm.mSeenAt = until - mLease;
      unheard.push_back(&vm);
    }
  }
  for (entry_vm* vm : unheard) {
    for (account& account : mAccounts) {
      account.mHolders[vm->mSlot].mFallbackRate = account.mRate / static_cast<double>(mVms.size());
    }
    SetUnreachable(*vm, true, aNow);
  }
}

void workspace_ledger::SetUnreachable(entry_vm& aVm, bool aIsUnreachable, instant aAt)
{
  if (aVm.mIsUnreachable == aIsUnreachable) {
    return;
  }
  aVm.mIsUnreachable = aIsUnreachable;
  for (account& account : mAccounts) {
    Refill(account, aAt);
    const double rate = account.mHolders[aVm.mSlot].mFallbackRate;
    account.mFallbackRate = std::max(0.0, account.mFallbackRate + (aIsUnreachable ? rate : -rate));
  }
}

void workspace_ledger::RemoveVm(const vm_name& aVm, instant aAt)
{
  const auto position = mVms.find(aVm);
  entry_vm& vm = position->second;
  SetUnreachable(vm, false, aAt);
  for (account& account : mAccounts) {
    holder& holder = account.mHolders[vm.mSlot];
    account.mDemand = std::max(0.0, account.mDemand - holder.mDemand);
    SetTokens(account, holder, 0);
    holder = {};
  }
  mFreeSlots.push_back(vm.mSlot);
  mVms.erase(position);
}

void workspace_ledger::CheckContacts(instant aNow)
{
  // A VM uses its fallback rate from the contact timeout until its lease ends. The accounts are
  // refilled up to each of these times in turn, however late this check comes.
  struct due_change
  {
    instant mAt;
    vm_name mVm;
    bool mIsLeaseEnd = false;
  };
  std::vector<due_change> changes;
  for (const auto& [name, vm] : mVms) {
    if (!vm.mIsUnreachable && vm.mSeenAt + kContactTimeout <= aNow) {
      changes.push_back({ vm.mSeenAt + kContactTimeout, name, false });
    }
    if (vm.mSeenAt + mLease <= aNow) {
      changes.push_back({ vm.mSeenAt + mLease, name, true });
    }
  }
  std::ranges::stable_sort(changes, {}, &due_change::mAt);
  for (const due_change& change : changes) {
    if (change.mIsLeaseEnd) {
      RemoveVm(change.mVm, change.mAt);
    } else if (const auto vm = mVms.find(change.mVm); vm != mVms.end()) {
      SetUnreachable(vm->second, true, change.mAt);
    }
  }
}

} // namespace citronpulley
