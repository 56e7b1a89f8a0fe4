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
 * port, so that its name is enough to reach it.
 */

namespace citronpulley {

/** Asks a control VM whom it knows. */
struct contact_request
{
  /** VM that asks. */
  vm_name mVm;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVm);
  }
};

/** Control VMs that the sender knows. */
struct contact_reply
{
  /** Empty while it is unknown. */
  vm_name mLeader;
  std::vector<vm_name> mControlVms;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLeader, mControlVms);
  }
};

/** Message of the control group. */
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

/** What one entry VM was asked of a workspace, and the tokens of its rate that it still holds. */
struct workspace_demand
{
  workspace_name mWorkspace;
  /** Requests per second. */
  double mRate = 0;
  /** Below 0 when the VM spent a fraction in advance. */
  double mTokens = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorkspace, mRate, mTokens);
  }
};

/** Tokens of a workspace's rate for one entry VM. */
struct workspace_grant
{
  workspace_name mWorkspace;
  /** Added to what the VM holds. */
  double mTokens = 0;
  /** Tokens per second that the VM adds by itself while no leader answers. */
  double mFallbackRate = 0;
  /** Most tokens that it holds then. */
  double mMaxTokens = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorkspace, mTokens, mFallbackRate, mMaxTokens);
  }
};

/** Requests that run and wait on a backend server, as one of its responses stated. */
struct backend_load
{
  std::string mBackend;
  double mRequests = 0;
  /** Time since the response, in microseconds, when the message was sent. */
  std::int64_t mAge = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mRequests, mAge);
  }
};

/** What an entry VM saw of a backend server since its last report. */
struct backend_observation
{
  std::string mBackend;
  /** False when no response stated a load. */
  bool mHasLoad = false;
  /** Requests that run and wait there, as the last response stated. */
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

/** Health of a backend server as the requests of all entry VMs show it. */
struct backend_health
{
  std::string mBackend;
  /** Part of the requests that fail. */
  double mFailureRate = 0;
  /** Run time as a multiple of what is usual for its service. */
  double mSlowness = 1;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mFailureRate, mSlowness);
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

/** Request that ran on a backend server when it crashed. */
struct crash_notice
{
  digest mFingerprint;
  /** Start of the backend server that crashed, so that one crash counts once. */
  std::string mBackend;

  friend auto operator<=>(const crash_notice&, const crash_notice&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mBackend);
  }
};

/** Place of an entry VM and the address for its callers. */
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

/** Report of an entry VM, which also asks for news. */
struct entry_report
{
  entry_location mLocation;
  /** Callers may be sent to it. */
  bool mIsAccepting = false;
  /** Number of the report; the update repeats it. */
  std::uint64_t mNumber = 0;
  config_version mConfig = 0;
  /** State of the list of backend servers that the VM holds. */
  std::uint64_t mListEpoch = 0;
  std::uint64_t mListRevision = 0;
  std::vector<workspace_demand> mDemands;
  std::vector<crash_notice> mCrashes;
  std::vector<backend_observation> mObservations;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLocation,
             mIsAccepting,
             mNumber,
             mConfig,
             mListEpoch,
             mListRevision,
             mDemands,
             mCrashes,
             mObservations);
  }
};

/** News for an entry VM. */
struct entry_update
{
  std::uint64_t mNumber = 0;
  /** False when the sender cannot prove that it leads; the rest but the contacts is empty then. */
  bool mIsConfirmed = false;
  contact_reply mContacts;
  /** Age of the proof, in microseconds, when the update was sent. */
  std::int64_t mProofAge = 0;
  config_version mConfig = 0;
  /** Text of the configuration, compressed; empty when the VM has it. */
  std::string mConfigText;
  std::vector<zone_name> mEvacuatedZones;
  std::uint64_t mListEpoch = 0;
  std::uint64_t mListRevision = 0;
  /** True when `mBackends` is the whole list. */
  bool mIsWholeList = false;
  std::vector<backend_record> mBackends;
  /** Backend servers that left, crashed for long or were replaced. */
  std::vector<std::string> mRemoved;
  /** With a whole list: starts that left lately, whether or not this leader ever listed them. */
  std::vector<record_departure> mDepartures;
  std::vector<workspace_grant> mGrants;
  std::vector<warmup_permit> mPermits;
  /** Loads of busy backend servers that other entry VMs reported. */
  std::vector<backend_load> mLoads;
  /** Backend servers that fail or are slow; all others are well. */
  std::vector<backend_health> mHealth;
  /** Fingerprints of requests that crash backend servers. */
  std::vector<digest> mQuarantined;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber,
             mIsConfirmed,
             mContacts,
             mProofAge,
             mConfig,
             mConfigText,
             mEvacuatedZones,
             mListEpoch,
             mListRevision,
             mIsWholeList,
             mBackends,
             mRemoved,
             mDepartures,
             mGrants,
             mPermits,
             mLoads,
             mHealth,
             mQuarantined);
  }
};

/** Announcements that a control VM took and passes on to the leader. */
struct announcement_batch
{
  std::vector<backend_record> mAnnouncements;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAnnouncements);
  }
};

/** Entry VMs that take callers, from the leader to the other control VMs. */
struct directory_update
{
  vm_name mLeader;
  std::vector<vm_name> mControlVms;
  std::vector<entry_location> mEntries;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLeader, mControlVms, mEntries);
  }
};

/** New alternatives are added at the end: the position is the type number on the wire. */
using fleet_message = std::variant<contact_request,
                                   contact_reply,
                                   group_message,
                                   entry_report,
                                   entry_update,
                                   announcement_batch,
                                   directory_update>;

/** @return the encoded message */
std::string EncodeFleetMessage(const fleet_message& aMessage);

/** @return the message, or `bad_message` when the bytes are not exactly one message */
result<fleet_message> DecodeFleetMessage(std::string_view aBytes);

} // namespace citronpulley

#endif
