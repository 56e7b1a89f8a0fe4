#ifndef CITRONPULLEY_FLEET_WORKSPACE_LEDGER_H
#define CITRONPULLEY_FLEET_WORKSPACE_LEDGER_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/fleet/fleet_message.h"
#include "citronpulley/steering/traffic_config.h"

#include <cstddef>
#include <map>
#include <vector>

namespace citronpulley {

/** Bounds on what the requests of a workspace may exceed its rate by. */
struct quota_bounds
{
  microseconds mWindow{ 5'000'000 };
  /** Part of the rate and burst of a window. */
  double mOverage = 0.1;
  /** Requests in a window. */
  double mSlack = 20;
};

/**
 * Lends the rate of each workspace to the entry VMs in tokens, a few hundred milliseconds ahead of
 * their requests. In any window no more tokens can be spent than the rate adds, plus those that are
 * in the ledger and in the hands of the entry VMs at its start; both are kept under what the bounds
 * allow. Soft state of the leader; a new leader starts with an empty ledger. Pure and not
 * thread-safe.
 */
class workspace_ledger
{
public:
  /** Silence of an entry VM from which on it uses the part that is reserved for it. */
  static constexpr microseconds kContactTimeout{ 600'000 };

  workspace_ledger(quota_bounds aBounds, microseconds aLease) noexcept
    : mBounds(aBounds)
    , mLease(aLease)
  {
  }

  /** Takes over the rates of a configuration. */
  void SetRules(const std::vector<workspace_rule>& aRules, instant aNow);

  /** Takes a report of an entry VM and lends it tokens. */
  std::vector<workspace_grant> HandleReport(const entry_report& aReport, instant aNow);

private:
  /** What one entry VM holds of one workspace. */
  struct holder
  {
    double mDemand = 0;
    double mTokens = 0;
    double mFallbackRate = 0;
  };

  struct account
  {
    workspace_name mName;
    double mRate = 0;
    double mBurst = 0;
    double mTokens = 0;
    instant mRefilledAt;
    /** Sum over all holders. */
    double mDemand = 0;
    /** Sum over the holders on silent entry VMs. */
    double mFallbackRate = 0;
    /** By the slot of the entry VM. */
    std::vector<holder> mHolders;
  };

  struct entry_vm
  {
    std::size_t mSlot = 0;
    instant mSeenAt;
    bool mIsUnreachable = false;
  };

  /** @return tokens that the ledger and all entry VMs may hold together */
  double ComputeAllowance(const account& aAccount) const;
  /** @return tokens of these that the ledger holds at most */
  double ComputeLedgerShare(const account& aAccount) const;
  void Refill(account& aAccount, instant aNow) const;
  workspace_grant Grant(account& aAccount, std::size_t aSlot, instant aNow);
  account* FindAccount(const workspace_name& aName);
  /** Notes that an entry VM is there. @return its slot */
  std::size_t RecordContact(const vm_name& aVm, instant aNow);
  /** Finds the entry VMs that became silent, or whose lease ran out. */
  void CheckContacts(instant aNow);
  void SetUnreachable(entry_vm& aVm, bool aIsUnreachable, instant aNow);

  quota_bounds mBounds;
  microseconds mLease;
  /** Ordered by name. */
  std::vector<account> mAccounts;
  std::map<vm_name, entry_vm> mVms;
  std::vector<std::size_t> mFreeSlots;
  std::size_t mSlotCount = 0;
};

} // namespace citronpulley

#endif
