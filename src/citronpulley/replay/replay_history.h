#ifndef CITRONPULLEY_REPLAY_REPLAY_HISTORY_H
#define CITRONPULLEY_REPLAY_REPLAY_HISTORY_H

#include "citronpulley/base/instant.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * @file
 * Behaviour of a replayed system as its callers, operators and backend servers observe it. All
 * times count from the start of the trace.
 */

namespace citronpulley {

/** Request of a caller or operator with its result. */
struct request_record
{
  /** Id from the trace; empty when the event has none. */
  std::string mId;
  /** Group for which the trace may expect outcomes; empty without a group. */
  std::string mGroup;
  /** VM of the last attempt. */
  std::string mVm;
  /** Workspace of the key that the caller sent; empty without a key. */
  std::string mWorkspace;
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  /** Name of the idempotency key in the trace; empty without a key. */
  std::string mIdempotencyKey;
  /** True for a request of an operator. */
  bool mIsOperation = false;
  microseconds mSentAt{ 0 };
  microseconds mEndedAt{ 0 };
  bool mIsEnded = false;
  /** HTTP status; 0 without an answer. */
  std::uint16_t mStatus = 0;
  /**
   * `ok` or the error code of the answer; without an answer `no_connection`, `connection_lost` or
   * `gave_up`.
   */
  std::string mCode;
  /** Outcome of a rejection: `not_run`, `unknown` or empty. */
  std::string mOutcome;
  /** Body of the answer. */
  std::string mAnswer;
  /** Server that produced the answer, with its zone and region; empty without an answer of one. */
  std::string mServer;
  std::string mZone;
  std::string mRegion;
  /** Id of the request to which the answer belongs, from the answer body. */
  std::string mAnsweredRequest;
};

/** One execution of a request at a backend server, called a run in the trace format. */
struct run_record
{
  std::string mRequest;
  std::string mServer;
  std::string mService;
  std::string mZone;
  std::string mRegion;
  std::string mPath;
  /** Workspace in the header that the entry VM sent to the server. */
  std::string mWorkspace;
  /** True when the request still contained the credentials of the caller. */
  bool mHasCallerKey = false;
  microseconds mStartedAt{ 0 };
  microseconds mEndedAt{ 0 };
};

/** Configuration version that an entry VM reported as in force. */
struct version_record
{
  std::string mVm;
  std::uint64_t mVersion = 0;
  microseconds mAt{ 0 };
};

/** Start of a drain or of a graceful stop, or end of a graceful stop. */
struct drain_event_record
{
  /** `drain`, `stop` or `stopped`. */
  std::string mKind;
  /** Name of the region, VM or server. */
  std::string mSubject;
  microseconds mAt{ 0 };
};

/** Complete history of a replay. */
struct replay_history
{
  std::vector<request_record> mRequests;
  std::vector<run_record> mRuns;
  std::vector<version_record> mVersions;
  std::vector<drain_event_record> mDrainEvents;
};

} // namespace citronpulley

#endif
