#ifndef CITRONPULLEY_WIRE_REQUEST_MESSAGES_H
#define CITRONPULLEY_WIRE_REQUEST_MESSAGES_H

#include "citronpulley/base/digest.h"
#include "citronpulley/base/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * @file
 * Messages about single requests: forwarding to the home VM of a backend server, claims of
 * idempotency keys, crash reports and announcements.
 */

namespace citronpulley {

/** Header of an HTTP message. */
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

/** HTTP request as a backend server gets it; holds neither a caller's key nor a header the caller
 * forged. */
struct backend_request
{
  std::string mMethod;
  /** Path below the service with its query. */
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

/** Whole HTTP answer. */
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

/** Whether a request that was not answered may have run. */
enum class request_outcome : std::uint8_t
{
  /** Proved: no byte reached a backend server, or the server refused it before it ran. */
  NotRun,
  /** The request may have run. */
  Unknown,
};

/** Refusal or error as it goes back to the entry VM; mirrors `error` with the outcome. */
struct request_failure
{
  /** Value of `error_code`. */
  std::int32_t mCode = 0;
  /** Value of `step`. */
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

/** Request of an entry VM to the home VM of a backend server of the service. */
struct forward_request
{
  /** Number of the attempt, unique in the sender's run. */
  std::uint64_t mForwardNumber = 0;
  incarnation mSenderIncarnation = 0;
  service_name mService;
  workspace_name mWorkspace;
  /** Time left until the deadline, in microseconds. */
  std::int64_t mRemainingMicroseconds = 0;
  bool mIsUrgent = false;
  /** The request is a crash suspect and must run alone on its server. */
  bool mRunsAlone = false;
  /** Further VMs of the receiver's zone that may pass the request on; 0 at the home VM. */
  std::uint8_t mHopsLeft = 0;
  digest mFingerprint;
  backend_request mRequest;
  /** Servers of earlier attempts, which are used only when there is no other. */
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

/** Answer to a forwarded request: the backend server's answer or the failure. */
struct forward_response
{
  std::uint64_t mForwardNumber = 0;
  /** Run of the VM that asked; an answer for an earlier run is dropped. */
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

/** Tells the home VM that the caller of a forwarded request has gone. */
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
  /** Load that the server reports, from 0 (idle) to 1 (full). */
  double mLoad = 0;
  bool mIsLeaving = false;
  /** Random name of the server's present run. */
  std::string mInstance;
  /** False when the server announced itself without the number of its running requests. */
  bool mHasRunningCount = true;

  friend auto operator<=>(const server_announcement&, const server_announcement&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      mServer, mService, mZone, mSlots, mRunning, mLoad, mIsLeaving, mInstance, mHasRunningCount);
  }
};

/** Announcement that the VM which received it passes to the server's home VM. */
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

/** Backend server as its home VM sees it. */
struct homed_server
{
  server_name mServer;
  service_name mService;
  std::string mInstance;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;
  /** False while the home VM waits for the lease of the former one, and for a leaving server. */
  bool mAcceptsRequests = false;

  friend auto operator<=>(const homed_server&, const homed_server&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mService, mInstance, mSlots, mRunning, mAcceptsRequests);
  }
};

/** Heartbeat of an entry VM to the other entry VMs of its zone, with the servers homed on it. */
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
  /** UUID in lower case. */
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

/** Asks the leader to claim an idempotency key before the request is sent. */
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

/** Verdict on a claim. */
enum class claim_verdict : std::uint8_t
{
  /** The holder may run the request, once. */
  Granted,
  /** The request has run; the answer or its status is in the reply. */
  Completed,
  /** Another holder claimed it and has not reported an outcome. */
  InProgress,
  /** The key was used for a request with another digest. */
  KeyReused,
  /** The key is older than the window or lies in the future. */
  OutsideWindow,
  /** The table of claims is full. */
  TableFull,
  /** The receiver is not the leader. */
  NotLeader,
};

/** Answer to a claim. */
struct claim_reply
{
  claim_key mKey;
  claim_holder mHolder;
  claim_verdict mVerdict = claim_verdict::NotLeader;
  vm_name mLeader;
  /** With `Completed`: false when the answer was too large to keep, and only its status is known.
   */
  bool mHasWholeAnswer = false;
  http_answer mAnswer;

  friend auto operator<=>(const claim_reply&, const claim_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mHolder, mVerdict, mLeader, mHasWholeAnswer, mAnswer);
  }
};

/** Reports the outcome of a claimed request: an answer, or the proof that it did not run. */
struct claim_outcome
{
  claim_key mKey;
  claim_holder mHolder;
  /** True when the request did not run and the claim is free again. */
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

/** Acknowledges that the outcome of a claim is durable; the holder resends until then. */
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

/** Reports a crash of a backend server, or that a suspect ran without one. */
struct crash_report
{
  /** Server and instance that crashed; the report counts once for each instance. */
  server_name mServer;
  std::string mInstance;
  /** Fingerprints of the requests that ran on it. */
  std::vector<digest> mFingerprints;
  /** True when a suspect ran alone and was answered: its suspicion ends. */
  bool mIsCleared = false;
  /** True while it is not known whether the server crashed; goes among entry VMs only. */
  bool mIsUnconfirmed = false;

  friend auto operator<=>(const crash_report&, const crash_report&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mInstance, mFingerprints, mIsCleared, mIsUnconfirmed);
  }
};

/** Asks the leader to let one holder run a suspect, or gives that lease back. */
struct suspect_lease_request
{
  digest mFingerprint;
  claim_holder mHolder;
  /** Time left until the deadline of the request, in milliseconds. */
  std::int64_t mRemainingMilliseconds = 0;
  /** True when the sender knows of a crash that is not in the replicated state; the leader then
   * lets one holder at a time run the request all the same. */
  bool mHasUnreplicatedCrash = false;
  /** True when the request did not run and another holder may run it. */
  bool mIsReturned = false;

  friend auto operator<=>(const suspect_lease_request&, const suspect_lease_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mHolder, mRemainingMilliseconds, mHasUnreplicatedCrash, mIsReturned);
  }
};

/** Verdict on a request to run a suspect. */
enum class suspect_verdict : std::uint8_t
{
  /** The holder may run it, once and alone on its server. */
  Granted,
  /** Another holder runs it. */
  Busy,
  /** The fingerprint is not suspected. */
  NotSuspected,
  Quarantined,
  /** The receiver is not the leader. */
  NotLeader,
};

/** Answer to a request to run a suspect. */
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
