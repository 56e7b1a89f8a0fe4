#ifndef CITRONPULLEY_WIRE_POLL_MESSAGES_H
#define CITRONPULLEY_WIRE_POLL_MESSAGES_H

#include "citronpulley/base/digest.h"
#include "citronpulley/base/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * @file
 * Messages with which an entry VM follows the state of the control group: polls, poll replies with
 * the tables they carry, and requests for rate tokens with the grants that answer them.
 */

namespace citronpulley {

/** Version number of the replicated state: the log index of the last applied entry. */
using state_index = std::uint64_t;

/** Identity, location and addresses of an entry VM. */
struct vm_record
{
  vm_name mVm;
  incarnation mIncarnation = 0;
  zone_name mZone;
  region_name mRegion;
  std::string mAddress;
  std::uint16_t mHttpPort = 0;
  std::uint16_t mPeerPort = 0;
  /** True while the VM shuts down in an orderly way: it still serves, but new callers are directed
   * to other VMs. */
  bool mIsStopping = false;

  friend auto operator<=>(const vm_record&, const vm_record&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVm, mIncarnation, mZone, mRegion, mAddress, mHttpPort, mPeerPort, mIsStopping);
  }
};

/** @return the digest of a list of VMs, used to check whether two processes hold the same list */
digest ComputeDigest(const std::vector<vm_record>& aVms);

/** Capacity of one service in one zone, summed over its backend servers as reported by their home
 * VMs. */
struct zone_summary
{
  zone_name mZone;
  service_name mService;
  std::uint32_t mServers = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;

  friend auto operator<=>(const zone_summary&, const zone_summary&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mZone, mService, mServers, mSlots, mRunning);
  }
};

/** Demand of an entry VM for tokens of one rate-limited resource, with reports on earlier grants.
 */
struct resource_demand
{
  /** Resource name: `workspace:<name>` or `region:<name>`. */
  std::string mResource;
  /** Tokens that the VM wants beyond those that it holds or has already requested; 0 if the demand
   * only carries reports. */
  double mWantedTokens = 0;
  /** Report on a grant. Idempotent: the same or an older report may arrive again. */
  struct settled_grant
  {
    std::uint64_t mGrant = 0;
    /** Tokens of the grant that were not spent. */
    double mUnspent = 0;
    /** True when the grant has ended and its unspent tokens are returned; false when the holder
     * keeps them. */
    bool mIsReturned = true;

    friend auto operator<=>(const settled_grant&, const settled_grant&) = default;

    template<typename Archive>
    void serialize(Archive& aArchive)
    {
      aArchive(mGrant, mUnspent, mIsReturned);
    }
  };
  std::vector<settled_grant> mSettled;

  friend auto operator<=>(const resource_demand&, const resource_demand&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mResource, mWantedTokens, mSettled);
  }
};

/** Tokens granted for one resource in response to a `resource_demand`. */
struct resource_grant
{
  std::string mResource;
  std::uint64_t mGrant = 0;
  /** Tokens granted; 0 when there is no grant. */
  double mTokens = 0;
  /** Duration of the lease in microseconds. The holder counts it from the time at which it sent the
   * request. */
  std::int64_t mLeaseMicroseconds = 0;
  /** True when fewer tokens were granted than wanted, because the rate or capacity is used up.
   * False while the granting VM waits for grants of an earlier leader to expire. */
  bool mIsUsedUp = false;
  /** When fewer tokens were granted than wanted: time after which to retry, in microseconds. */
  std::int64_t mRetryMicroseconds = 0;
  /** Time in which the rate refills the whole burst, in microseconds, at most 1000 s. It limits how
   * many tokens a holder may store. */
  std::int64_t mBurstMicroseconds = 0;

  friend auto operator<=>(const resource_grant&, const resource_grant&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mResource,
             mGrant,
             mTokens,
             mLeaseMicroseconds,
             mIsUsedUp,
             mRetryMicroseconds,
             mBurstMicroseconds);
  }
};

/** Request of an entry VM for the changes since the state that it has applied; sent to a control
 * VM. */
struct poll
{
  /** Number of the poll, unique within the run of the sender; the reply repeats it. */
  std::uint64_t mPollNumber = 0;
  /** Index of the state that the sender has applied; 0 after a restart. */
  state_index mAppliedIndex = 0;
  vm_record mSender;
  std::vector<zone_summary> mServerSummaries;
  /** Digest of the list of VMs that the sender holds. The reply omits the list when it is the same.
   */
  digest mVmListDigest;

  friend auto operator<=>(const poll&, const poll&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPollNumber, mAppliedIndex, mSender, mServerSummaries, mVmListDigest);
  }
};

/** Reply to a `poll`. Its state is at least as new as the commit index of the control group at the
 * time when the poll arrived. */
struct poll_reply
{
  std::uint64_t mPollNumber = 0;
  /** Encoded `view_delta`; empty when nothing has changed. */
  std::string mDelta;
  /** Live entry VMs of the receiver's zone and some of each other zone; empty when the receiver
   * already holds this list. */
  std::vector<vm_record> mLiveVms;
  std::vector<zone_summary> mZones;
  /** Leader of the control group as known to the replying VM; empty when there is none. */
  vm_name mLeader;

  friend auto operator<=>(const poll_reply&, const poll_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPollNumber, mDelta, mLiveVms, mZones, mLeader);
  }
};

/** Entry VM as reported to the other control VMs by the control VM that it polls. */
struct polled_vm
{
  vm_record mRecord;
  /** Time since its last poll, in microseconds. */
  std::int64_t mAgeMicroseconds = 0;
  std::vector<zone_summary> mServerSummaries;

  friend auto operator<=>(const polled_vm&, const polled_vm&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRecord, mAgeMicroseconds, mServerSummaries);
  }
};

/** Entry VMs that poll the sender; exchanged between control VMs. */
struct fleet_report
{
  std::vector<polled_vm> mVms;

  friend auto operator<=>(const fleet_report&, const fleet_report&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVms);
  }
};

/** Request of an entry VM for rate tokens; sent to the leader of the control group. */
struct grant_request
{
  std::uint64_t mRequestNumber = 0;
  incarnation mHolderIncarnation = 0;
  std::vector<resource_demand> mDemands;

  friend auto operator<=>(const grant_request&, const grant_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequestNumber, mHolderIncarnation, mDemands);
  }
};

/** Reply to a `grant_request`. */
struct grant_reply
{
  std::uint64_t mRequestNumber = 0;
  /** False when the replying VM is not the leader; the requester then retries with `mLeader`. */
  bool mIsLeader = false;
  vm_name mLeader;
  std::vector<resource_grant> mGrants;
  /** Incarnation of the holder that sent the request; request numbers are unique only within one
   * run. */
  incarnation mHolderIncarnation = 0;

  friend auto operator<=>(const grant_reply&, const grant_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequestNumber, mIsLeader, mLeader, mGrants, mHolderIncarnation);
  }
};

} // namespace citronpulley

#endif
