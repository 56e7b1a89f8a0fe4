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

/** Bounds on the number of requests by which a workspace may exceed its rate in any window. */
struct quota_bounds
{
  microseconds mWindow{ 5'000'000 };
  /** Fraction of the rate and burst of a window. */
  double mOverage = 0.1;
  /** Additional requests per window. */
  double mSlack = 20;
};

/**
 * Grants the rate of each workspace to the entry VMs as tokens, a few hundred milliseconds ahead of
 * their requests. In any window, the tokens that can be spent are limited to those that the rate
 * adds, those that the ledger and the entry VMs hold at its start, and a part of one that each VM
 * may spend in advance; the sum is kept below the bounds. Soft state of the leader. It may go
 * without reports for any time, such as while another control VM leads; entry VMs whose lease ended
 * meanwhile are removed. Does no input or output. Not thread-safe.
 */
class workspace_ledger
{
public:
  /**
   * Time without a report after which an entry VM counts as unreachable and as using its fallback
   * rate.
   */
  static constexpr microseconds kContactTimeout{ 600'000 };

  workspace_ledger(quota_bounds aBounds, microseconds aLease) noexcept
    : mBounds(aBounds)
    , mLease(aLease)
  {
  }

  /** Sets the rates of all workspaces; workspaces that stay keep their tokens. */
  void SetRules(const std::vector<workspace_rule>& aRules, instant aNow);

  /**
   * Records a report of an entry VM and grants it tokens.
   *
   * @return grants whose change of tokens is large enough to be sent
   */
  std::vector<workspace_grant> HandleReport(const entry_report& aReport, instant aNow);

  /**
   * Records that another leader lists entry VMs, which may use their fallback rates without it for
   * the time of a lease.
   */
  void RecordListed(const std::vector<vm_name>& aVms, instant aNow);

  /**
   * Call it when this VM begins to lead. Reserves an even part of each rate for every entry VM that
   * was listed within a lease and has not reported here: what a former leader left it to use while
   * it is out of reach.
   */
  void StartLeading(instant aNow);

private:
  /** Demand and tokens of one workspace at one entry VM. */
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
    /** Sum of the demands at all entry VMs. */
    double mDemand = 0;
    /** Sum of the fallback rates of the unreachable entry VMs. */
    double mFallbackRate = 0;
    /** Tokens that entry VMs spent in advance. */
    double mDebt = 0;
    /** Indexed by the slot of the entry VM. */
    std::vector<holder> mHolders;
  };

  struct entry_vm
  {
    std::size_t mSlot = 0;
    instant mSeenAt;
    bool mIsUnreachable = false;
  };

  /** @return number of requests by which the workspace may exceed its rate in a window */
  double ComputeExcess(const account& aAccount) const;
  /** @return maximum number of tokens that the ledger and all entry VMs may hold together */
  double ComputeAllowance(const account& aAccount) const;
  /** @return maximum number of these tokens that the ledger itself may hold */
  double ComputeLedgerShare(const account& aAccount) const;
  /** Sets the tokens that an entry VM holds; negative when it spent some in advance. */
  static void SetTokens(account& aAccount, holder& aHolder, double aTokens);
  void Refill(account& aAccount, instant aNow) const;
  workspace_grant Grant(account& aAccount, std::size_t aSlot, instant aNow);
  account* FindAccount(const workspace_name& aName);
  /** @return the entry VM, with a slot of its own if it is new */
  entry_vm& FindOrAddVm(const vm_name& aVm);
  /** Records a report of an entry VM. @return its slot */
  std::size_t RecordContact(const vm_name& aVm, instant aNow);
  /**
   * Marks entry VMs as unreachable after the contact timeout, and removes them when their lease has
   * expired, both as of the time at which this was due. Call it before accounts are refilled up to
   * `aNow`.
   */
  void CheckContacts(instant aNow);
  /** Starts or ends the use of the fallback rates of an entry VM at a time. */
  void SetUnreachable(entry_vm& aVm, bool aIsUnreachable, instant aAt);
  void RemoveVm(const vm_name& aVm, instant aAt);

  quota_bounds mBounds;
  microseconds mLease;
  /** Ordered by name. */
  std::vector<account> mAccounts;
  std::map<vm_name, entry_vm> mVms;
  /** Latest end of the lease of each entry VM that another leader listed. */
  std::map<vm_name, instant> mListedUntil;
  std::vector<std::size_t> mFreeSlots;
  std::size_t mSlotCount = 0;
};

} // namespace citronpulley

#endif
