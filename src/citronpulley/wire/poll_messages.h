#ifndef CITRONPULLEY_WIRE_POLL_MESSAGES_H
#define CITRONPULLEY_WIRE_POLL_MESSAGES_H

#include "citronpulley/base/digest.h"
#include "citronpulley/base/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * @file
 * Messages by which an entry VM follows the control group: polls, grants of rate, and the tables
 * that poll replies carry.
 */

namespace citronpulley {

/** Number that rises with each change of the replicated state. */
using state_index = std::uint64_t;

/** Entry VM as others need to know it. */
struct vm_record
{
  vm_name mVm;
  incarnation mIncarnation = 0;
  zone_name mZone;
  region_name mRegion;
  std::string mAddress;
  std::uint16_t mHttpPort = 0;
  std::uint16_t mPeerPort = 0;
  /** The VM stops on purpose: it serves on, but new callers are sent elsewhere. */
  bool mIsStopping = false;

  friend auto operator<=>(const vm_record&, const vm_record&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVm, mIncarnation, mZone, mRegion, mAddress, mHttpPort, mPeerPort, mIsStopping);
  }
};

/** @return digest of a list of VMs, by which two processes find that they hold the same list */
digest ComputeDigest(const std::vector<vm_record>& aVms);

/** Capacity of one service in one zone, as the home VMs of its backend servers report it. */
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

/** What an entry VM wants of one limited resource and what it has spent of earlier grants. */
struct resource_demand
{
  /** `workspace:<name>` or `region:<name>`. */
  std::string mResource;
  /** Tokens that the VM expects to spend until its next request beyond those that it holds. */
  double mWantedTokens = 0;
  /** Report on a grant; the same or an older report may arrive again without harm. */
  struct settled_grant
  {
    std::uint64_t mGrant = 0;
    /** Tokens that were not spent. */
    double mUnspent = 0;
    /** The grant is over and its unspent tokens go back; else the holder keeps them. */
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

/** Answer for one resource of which an entry VM wanted tokens. */
struct resource_grant
{
  std::string mResource;
  std::uint64_t mGrant = 0;
  /** Tokens lent; zero when there is no grant. */
  double mTokens = 0;
  /** Length of the lease in microseconds, counted by the holder from the sending of its request. */
  std::int64_t mLeaseMicroseconds = 0;
  /** Fewer tokens were lent than wanted, because the rate or capacity is used up. */
  bool mIsUsedUp = false;
  /** When used up, time after which it is worth asking again, in microseconds. */
  std::int64_t mRetryMicroseconds = 0;
  /** Time in which the rate fills the burst, in microseconds; it limits what holders store. */
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

/** Request of an entry VM for the changes since the state that it has applied. */
struct poll
{
  /** Number of the poll, unique in the sender's run; the reply repeats it. */
  std::uint64_t mPollNumber = 0;
  /** Index that the sender has applied; 0 after a restart. */
  state_index mAppliedIndex = 0;
  vm_record mSender;
  std::vector<zone_summary> mServerSummaries;
  /** Digest of the list of VMs that the sender holds; a reply to it leaves out an equal list. */
  digest mVmListDigest;

  friend auto operator<=>(const poll&, const poll&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPollNumber, mAppliedIndex, mSender, mServerSummaries, mVmListDigest);
  }
};

/** Answer to a poll. Its state is at least as new as the group's commit when the poll arrived. */
struct poll_reply
{
  std::uint64_t mPollNumber = 0;
  /** Encoded `view_delta`; empty when nothing changed. */
  std::string mDelta;
  /** Live VMs of the receiver's zone and some of each other zone; empty when the receiver has this
   * list. */
  std::vector<vm_record> mLiveVms;
  std::vector<zone_summary> mZones;
  /** Leader of the control group as the replying VM knows it; empty without one. */
  vm_name mLeader;

  friend auto operator<=>(const poll_reply&, const poll_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPollNumber, mDelta, mLiveVms, mZones, mLeader);
  }
};

/** Entry VM as the control VM that it polls reports it to the other control VMs. */
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

/** Entry VMs that poll the sender; sent among control VMs. */
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

/** Request for tokens; sent to the leader of the control group. */
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

/** Answer to a request for tokens. */
struct grant_reply
{
  std::uint64_t mRequestNumber = 0;
  /** False when the receiver is not the leader; the sender asks the one named then. */
  bool mIsLeader = false;
  vm_name mLeader;
  std::vector<resource_grant> mGrants;
  /** Run of the holder that asked; numbers of requests repeat in other runs. */
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
