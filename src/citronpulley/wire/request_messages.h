#ifndef CITRONPULLEY_WIRE_REQUEST_MESSAGES_H
#define CITRONPULLEY_WIRE_REQUEST_MESSAGES_H

#include "citronpulley/base/digest.h"
#include "citronpulley/base/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * @file
 * Messages that concern single requests: forwarding to the home VM of a backend server, claims of
 * idempotency keys, crash reports and announcements of backend servers.
 */

namespace citronpulley {

/** Header field of an HTTP message. */
struct http_header
{
  std::string mName;
  std::string mValue;

  friend auto operator<=>(const http_header&, const http_header&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mValue);
  }
};

/** HTTP request as sent to a backend server. The caller's key and internal headers that the caller
 * set itself have been removed. */
struct backend_request
{
  std::string mMethod;
  /** Path relative to the service, with the query string. */
  std::string mTarget;
  std::vector<http_header> mHeaders;
  std::string mBody;

  friend auto operator<=>(const backend_request&, const backend_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMethod, mTarget, mHeaders, mBody);
  }
};

/** Complete HTTP response. */
struct http_answer
{
  std::uint16_t mStatus = 0;
  std::vector<http_header> mHeaders;
  std::string mBody;

  friend auto operator<=>(const http_answer&, const http_answer&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStatus, mHeaders, mBody);
  }
};

/** Whether a request that got no response may have been executed. */
enum class request_outcome : std::uint8_t
{
  /** The request was certainly not executed: no byte of it reached a backend server, or the server
   * refused it before executing it. */
  NotRun,
  /** The request may have been executed. */
  Unknown,
};

/** Refusal or error that is returned to the entry VM: an `error` with the outcome of the request.
 */
struct request_failure
{
  /** Numeric value of an `error_code`. */
  std::int32_t mCode = 0;
  /** Numeric value of a `step`. */
  std::int32_t mStep = 0;
  std::string mPeer;
  std::string mMessage;
  request_outcome mOutcome = request_outcome::Unknown;

  friend auto operator<=>(const request_failure&, const request_failure&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCode, mStep, mPeer, mMessage, mOutcome);
  }
};

/** HTTP request that an entry VM forwards to the home VM of a backend server of the service. */
struct forward_request
{
  /** Number of the attempt, unique within the run of the sender. */
  std::uint64_t mForwardNumber = 0;
  incarnation mSenderIncarnation = 0;
  service_name mService;
  workspace_name mWorkspace;
  /** Time remaining until the deadline, in microseconds. */
  std::int64_t mRemainingMicroseconds = 0;
  bool mIsUrgent = false;
  /** True for a request that is suspected of crashing servers: it must be the only request running
   * on its server. */
  bool mRunsAlone = false;
  /** Number of further VMs of the receiver's zone that may forward the request; 0 when the receiver
   * must be the home VM. */
  std::uint8_t mHopsLeft = 0;
  digest mFingerprint;
  backend_request mRequest;
  /** Servers of earlier attempts; they are used again only when no other server is available. */
  std::vector<server_name> mTriedServers;

  friend auto operator<=>(const forward_request&, const forward_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mForwardNumber,
             mSenderIncarnation,
             mService,
             mWorkspace,
             mRemainingMicroseconds,
             mIsUrgent,
             mRunsAlone,
             mHopsLeft,
             mFingerprint,
             mRequest,
             mTriedServers);
  }
};

/** Reply to a `forward_request`: the HTTP response of the backend server, or the failure. */
struct forward_response
{
  std::uint64_t mForwardNumber = 0;
  /** Incarnation of the VM that sent the request; a reply to an earlier run is ignored. */
  incarnation mReceiverIncarnation = 0;
  bool mIsAnswered = false;
  http_answer mAnswer;
  request_failure mFailure;
  server_name mServer;

  friend auto operator<=>(const forward_response&, const forward_response&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mForwardNumber, mReceiverIncarnation, mIsAnswered, mAnswer, mFailure, mServer);
  }
};

/** Notifies the home VM that the caller of a forwarded request has disconnected. */
struct forward_cancel
{
  std::uint64_t mForwardNumber = 0;
  incarnation mSenderIncarnation = 0;

  friend auto operator<=>(const forward_cancel&, const forward_cancel&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mForwardNumber, mSenderIncarnation);
  }
};

/** Announcement of a backend server. */
struct server_announcement
{
  server_name mServer;
  service_name mService;
  zone_name mZone;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;
  /** Load reported by the server, from 0 (idle) to 1 (full). */
  double mLoad = 0;
  bool mIsLeaving = false;
  /** Random name of the current run of the server. */
  std::string mInstance;
  /** False when the announcement did not contain the number of running requests. */
  bool mHasRunningCount = true;

  friend auto operator<=>(const server_announcement&, const server_announcement&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      mServer, mService, mZone, mSlots, mRunning, mLoad, mIsLeaving, mInstance, mHasRunningCount);
  }
};

/** Announcement that the receiving VM forwards to the home VM of the server. */
struct announce_forward
{
  server_announcement mAnnouncement;

  friend auto operator<=>(const announce_forward&, const announce_forward&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAnnouncement);
  }
};

/** State of a backend server as known to its home VM. */
struct homed_server
{
  server_name mServer;
  service_name mService;
  std::string mInstance;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;
  /** False while the home VM waits for the lease of the previous home VM to expire, and while the
   * server drains. */
  bool mAcceptsRequests = false;

  friend auto operator<=>(const homed_server&, const homed_server&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mService, mInstance, mSlots, mRunning, mAcceptsRequests);
  }
};

/** Heartbeat of an entry VM to the other entry VMs of its zone, with the servers of which it is the
 * home VM. */
struct backend_update
{
  incarnation mSenderIncarnation = 0;
  std::uint64_t mSequence = 0;
  std::vector<homed_server> mServers;

  friend auto operator<=>(const backend_update&, const backend_update&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSenderIncarnation, mSequence, mServers);
  }
};

/** Idempotency key of a workspace. */
struct claim_key
{
  workspace_name mWorkspace;
  /** UUID in lower-case letters. */
  std::string mIdempotencyKey;

  friend auto operator<=>(const claim_key&, const claim_key&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorkspace, mIdempotencyKey);
  }
};

/** Holder of a claim: one attempt of one run of one entry VM. */
struct claim_holder
{
  vm_name mVm;
  incarnation mIncarnation = 0;
  std::uint64_t mRequestNumber = 0;

  friend auto operator<=>(const claim_holder&, const claim_holder&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVm, mIncarnation, mRequestNumber);
  }
};

/** Asks the leader to claim an idempotency key; sent before the request itself is forwarded. */
struct claim_request
{
  claim_key mKey;
  claim_holder mHolder;
  digest mRequestDigest;

  friend auto operator<=>(const claim_request&, const claim_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mHolder, mRequestDigest);
  }
};

enum class claim_verdict : std::uint8_t
{
  /** The holder may execute the request once. */
  Granted,
  /** The request was executed; the reply contains the stored response, or at least its status. */
  Completed,
  /** Another holder has claimed the key and has not reported an outcome yet, or this claim arrived
   * after its own release. */
  InProgress,
  /** The key was already used for a request with a different digest. */
  KeyReused,
  /** The key is not a UUID of version 7, or its time is before the idempotency window or too far in
   * the future. */
  OutsideWindow,
  /** The table of claims is full. */
  TableFull,
  /** The receiver is not the leader. */
  NotLeader,
};

/** Reply to a `claim_request`. */
struct claim_reply
{
  claim_key mKey;
  claim_holder mHolder;
  claim_verdict mVerdict = claim_verdict::NotLeader;
  vm_name mLeader;
  /** With `Completed`: false when the response was too large to store, so that only its status is
   * known. */
  bool mHasWholeAnswer = false;
  http_answer mAnswer;

  friend auto operator<=>(const claim_reply&, const claim_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mHolder, mVerdict, mLeader, mHasWholeAnswer, mAnswer);
  }
};

/** Reports the outcome of a claimed request: its response, or that it was certainly not executed.
 */
struct claim_outcome
{
  claim_key mKey;
  claim_holder mHolder;
  /** True when the request was not executed and the claim is released. */
  bool mIsReleased = false;
  bool mHasWholeAnswer = false;
  http_answer mAnswer;

  friend auto operator<=>(const claim_outcome&, const claim_outcome&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mHolder, mIsReleased, mHasWholeAnswer, mAnswer);
  }
};

/** Acknowledges that the outcome of a claim is durable. The holder resends the outcome until it
 * gets this. */
struct claim_outcome_reply
{
  claim_key mKey;
  claim_holder mHolder;
  bool mIsRecorded = false;
  vm_name mLeader;

  friend auto operator<=>(const claim_outcome_reply&, const claim_outcome_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mHolder, mIsRecorded, mLeader);
  }
};

/** Reports a crash of a backend server, or that a suspected request ran without causing one. */
struct crash_report
{
  /** Server that crashed. With `mInstance` it identifies the crash: further reports about the same
   * instance are not counted. */
  server_name mServer;
  std::string mInstance;
  /** Fingerprints of the requests that were running on the server. */
  std::vector<digest> mFingerprints;
  /** True when a suspected request ran alone and was answered, which clears the suspicion. */
  bool mIsCleared = false;
  /** True while it is not yet known whether the server crashed; such reports are sent between entry
   * VMs only. */
  bool mIsUnconfirmed = false;

  friend auto operator<=>(const crash_report&, const crash_report&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mInstance, mFingerprints, mIsCleared, mIsUnconfirmed);
  }
};

/** Asks the leader for the lease to run a suspected request, or returns that lease. */
struct suspect_lease_request
{
  digest mFingerprint;
  claim_holder mHolder;
  /** Time remaining until the deadline of the request, in milliseconds. */
  std::int64_t mRemainingMilliseconds = 0;
  /** True when the sender knows of a crash that is not in the replicated state yet. The leader then
   * treats the request as a suspect, so that only one holder at a time runs it. */
  bool mHasUnreplicatedCrash = false;
  /** True to return the lease: the request was not executed, and another holder may run it. */
  bool mIsReturned = false;

  friend auto operator<=>(const suspect_lease_request&, const suspect_lease_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mHolder, mRemainingMilliseconds, mHasUnreplicatedCrash, mIsReturned);
  }
};

enum class suspect_verdict : std::uint8_t
{
  /** The holder may run the request once, as the only request on its server. */
  Granted,
  /** Another holder has the lease. */
  Busy,
  /** The fingerprint is not suspected, so no lease is needed; also the reply to a returned lease.
   */
  NotSuspected,
  Quarantined,
  /** The receiver is not the leader. */
  NotLeader,
};

/** Reply to a `suspect_lease_request`. */
struct suspect_lease_reply
{
  digest mFingerprint;
  claim_holder mHolder;
  suspect_verdict mVerdict = suspect_verdict::NotLeader;
  vm_name mLeader;

  friend auto operator<=>(const suspect_lease_reply&, const suspect_lease_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mHolder, mVerdict, mLeader);
  }
};

} // namespace citronpulley

#endif
