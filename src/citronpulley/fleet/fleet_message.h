#ifndef CITRONPULLEY_FLEET_FLEET_MESSAGE_H
#define CITRONPULLEY_FLEET_FLEET_MESSAGE_H

#include "citronpulley/base/digest.h"
#include "citronpulley/base/result.h"
#include "citronpulley/fleet/record_departure.h"
#include "citronpulley/steering/backend_record.h"
#include "citronpulley/steering/outcome_tally.h"
#include "citronpulley/steering/traffic_config.h"
#include "citronpulley/wire/peer_message.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/**
 * @file
 * Messages between the processes of direct steering. A VM is named by the address of its internal
 * port, so that its name is sufficient to connect to it.
 */

namespace citronpulley {

/** Requests the leader and the control VMs known to a control VM. */
struct contact_request
{
  /** VM that sends the request. */
  vm_name mVm;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVm);
  }
};

/** Leader and control VMs known to the sender. */
struct contact_reply
{
  /** Empty while the leader is unknown. */
  vm_name mLeader;
  std::vector<vm_name> mControlVms;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLeader, mControlVms);
  }
};

/** Consensus message between members of the control group. */
struct group_message
{
  vm_name mSender;
  peer_message mMessage;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSender, mMessage);
  }
};

/** Demand of one workspace at one entry VM, and the rate tokens that the VM still holds. */
struct workspace_demand
{
  workspace_name mWorkspace;
  /** Requests per second. */
  double mRate = 0;
  /** Negative when the VM spent a fraction of a token in advance. */
  double mTokens = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorkspace, mRate, mTokens);
  }
};

/** Rate tokens of one workspace granted to one entry VM. */
struct workspace_grant
{
  workspace_name mWorkspace;
  /** Added to the tokens that the VM holds; negative to take tokens back. */
  double mTokens = 0;
  /** Tokens per second that the VM adds by itself while no leader is reachable. */
  double mFallbackRate = 0;
  /** Maximum number of tokens that the VM holds by adding them itself. */
  double mMaxTokens = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorkspace, mTokens, mFallbackRate, mMaxTokens);
  }
};

/** Running and waiting requests at a backend server, as reported by one of its responses. */
struct backend_load
{
  std::string mBackend;
  double mRequests = 0;
  /** Time since the response, in microseconds, when the message was sent. */
  std::int64_t mAge = 0;
};

/** Observations of one entry VM at one backend server since the VM's last report. */
struct backend_observation
{
  std::string mBackend;
  /** False when no response reported a load. */
  bool mHasLoad = false;
  /** Running and waiting requests, as reported by the last response. */
  double mRequests = 0;
  /** Time since that response, in microseconds, when the message was sent. */
  std::int64_t mAge = 0;
  outcome_tally mTally;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mHasLoad, mRequests, mAge, mTally);
  }
};

/** Health of a backend server, derived from the outcomes at all entry VMs. */
struct backend_health
{
  std::string mBackend;
  /** Fraction of the requests that fail. */
  double mFailureRate = 0;
  /** Run time as a multiple of the median of the service. */
  double mSlowness = 1;
};

/** Rate of requests that a backend server takes from all VMs together. */
struct backend_limit
{
  std::string mBackend;
  /** Start of the process that stated the limit. */
  std::int64_t mStartedAtMs = 0;
  /** Requests per second. */
  double mRate = 0;

  friend auto operator<=>(const backend_limit&, const backend_limit&) = default;
};

/** What an entry VM knows of the limit of one backend server, and what it would send there. */
struct limit_report
{
  std::string mBackend;
  std::int64_t mStartedAtMs = 0;
  /** True when a response to this VM stated the limit, or none, since its last report. */
  bool mHasNotice = false;
  /** Requests per second; negative when the response stated no limit. */
  double mRate = 0;
  /** Time since that response, in microseconds, when the message was sent. */
  std::int64_t mAge = 0;
  /** Requests per second. */
  double mDemand = 0;
  /** Requests per second that the VM may send. */
  double mShare = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mStartedAtMs, mHasNotice, mRate, mAge, mDemand, mShare);
  }
};

/** Requests per second that one entry VM may send to a backend server with a limit. */
struct limit_share
{
  std::string mBackend;
  std::int64_t mStartedAtMs = 0;
  double mShare = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mStartedAtMs, mShare);
  }
};

/** Requests per second that one entry VM may send to a cold backend server. */
struct warmup_permit
{
  std::string mBackend;
  double mRate = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mRate);
  }
};

/** Request that was running on a backend server when it crashed. */
struct crash_notice
{
  digest mFingerprint;
  /** Identifies the process start that crashed, so that one crash counts once. */
  std::string mBackend;

  friend auto operator<=>(const crash_notice&, const crash_notice&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mBackend);
  }
};

/** Location of an entry VM, and its address for callers. */
struct entry_location
{
  vm_name mVm;
  std::string mCallerAddress;
  zone_name mZone;
  region_name mRegion;

  friend auto operator<=>(const entry_location&, const entry_location&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVm, mCallerAddress, mZone, mRegion);
  }
};

/** Entry VM that another one can send requests to for backend servers that it does not reach. */
struct relay_vm
{
  vm_name mVm;
  region_name mRegion;
  /** Services whose backend servers this VM does not reach either. */
  std::vector<service_name> mCutOff;

  friend auto operator<=>(const relay_vm&, const relay_vm&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVm, mRegion, mCutOff);
  }
};

/** @return digest of a list, never 0; equal lists have equal digests on all VMs */
std::uint64_t ComputeRelayDigest(const std::vector<relay_vm>& aVms);

/** Report of an entry VM to the leader, which answers with an entry_update. */
struct entry_report
{
  entry_location mLocation;
  /** True while the VM accepts requests from callers. */
  bool mIsAccepting = false;
  /** Sequence number of the report; the update repeats it. */
  std::uint64_t mNumber = 0;
  config_version mConfig = 0;
  /** Epoch and revision of the list of backend servers that the VM has. */
  std::uint64_t mListEpoch = 0;
  std::uint64_t mListRevision = 0;
  /** Revision of the loads and health that the VM has from the leader of that epoch; 0 for none. */
  std::uint64_t mStatusRevision = 0;
  std::vector<workspace_demand> mDemands;
  std::vector<crash_notice> mCrashes;
  std::vector<backend_observation> mObservations;
  std::vector<limit_report> mLimits;
  /** Services whose backend servers the VM does not reach. */
  std::vector<service_name> mCutOff;
  /** Digest of the list of VMs for relays that the VM has; 0 for none. */
  std::uint64_t mRelayDigest = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLocation,
             mIsAccepting,
             mNumber,
             mConfig,
             mListEpoch,
             mListRevision,
             mStatusRevision,
             mDemands,
             mCrashes,
             mObservations,
             mLimits,
             mCutOff,
             mRelayDigest);
  }
};

/** Update of the control state for an entry VM, in reply to its report. */
struct entry_update
{
  std::uint64_t mNumber = 0;
  /**
   * False when the sender cannot prove that it is the leader; then only the number and the contacts
   * are set.
   */
  bool mIsConfirmed = false;
  contact_reply mContacts;
  /** Age of the proof of leadership, in microseconds, when the update was sent. */
  std::int64_t mProofAge = 0;
  config_version mConfig = 0;
  /** Encoded `config_delta` to this version; empty when the VM has it. */
  std::string mConfigDelta;
  std::vector<zone_name> mEvacuatedZones;
  std::uint64_t mListEpoch = 0;
  std::uint64_t mListRevision = 0;
  /** True when `mListSnapshot` and the changes after it are the full list. */
  bool mIsWholeList = false;
  /** Encoded full list at the time `mListSnapshotAge` before the update was sent. */
  std::string mListSnapshot;
  /** In microseconds. */
  std::int64_t mListSnapshotAge = 0;
  /** Backend servers that are new or changed. */
  std::vector<backend_record> mBackends;
  /** Backend servers that deregistered, stopped announcing or were replaced. */
  std::vector<std::string> mRemoved;
  /**
   * Departures of process starts that this leader never listed; with a full list, recent ones of
   * other process starts as well.
   */
  std::vector<record_departure> mDepartures;
  std::vector<workspace_grant> mGrants;
  std::vector<warmup_permit> mPermits;
  std::uint64_t mStatusRevision = 0;
  /** True when `mStatuses` replaces all loads and health that the VM has. */
  bool mIsWholeStatus = false;
  /** Encoded list of `backend_status`: what changed, or all; empty when nothing changed. */
  std::string mStatuses;
  /** Shares of the VM in the limits that its report names. */
  std::vector<limit_share> mShares;
  /** Fingerprints of quarantined requests, which crash backend servers. */
  std::vector<digest> mQuarantined;
  /** Proves to other entry VMs that a request comes from an entry VM of this deployment. */
  std::uint64_t mRelayToken = 0;
  /** True when `mRelays` replaces the list of VMs for relays that the VM has. */
  bool mHasRelays = false;
  std::vector<relay_vm> mRelays;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber,
             mIsConfirmed,
             mContacts,
             mProofAge,
             mConfig,
             mConfigDelta,
             mEvacuatedZones,
             mListEpoch,
             mListRevision,
             mIsWholeList,
             mListSnapshot,
             mListSnapshotAge,
             mBackends,
             mRemoved,
             mDepartures,
             mGrants,
             mPermits,
             mStatusRevision,
             mIsWholeStatus,
             mStatuses,
             mShares,
             mQuarantined,
             mRelayToken,
             mHasRelays,
             mRelays);
  }
};

/** Announcements that a control VM received and forwards to the leader. */
struct announcement_batch
{
  std::vector<backend_record> mAnnouncements;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAnnouncements);
  }
};

/** Control VMs and accepting entry VMs, sent by the leader to the other control VMs. */
struct directory_update
{
  /** Empty when another control VM passes on its list to one that knows no leader. */
  vm_name mLeader;
  std::vector<vm_name> mControlVms;
  std::vector<entry_location> mEntries;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLeader, mControlVms, mEntries);
  }
};

/**
 * Any message of direct steering. Add new alternatives at the end: the position is the type number
 * on the wire.
 */
using fleet_message = std::variant<contact_request,
                                   contact_reply,
                                   group_message,
                                   entry_report,
                                   entry_update,
                                   announcement_batch,
                                   directory_update>;

/** @return the encoded and compressed list */
std::string EncodeBackendList(const std::vector<backend_record>& aBackends);

/** @return the list, or `bad_message` when the bytes are not exactly one list */
result<std::vector<backend_record>> DecodeBackendList(std::string_view aBytes);

/** @return the encoded message */
std::string EncodeFleetMessage(const fleet_message& aMessage);

/** @return the decoded message, or `bad_message` when the bytes are not exactly one message */
result<fleet_message> DecodeFleetMessage(std::string_view aBytes);

} // namespace citronpulley

#endif
