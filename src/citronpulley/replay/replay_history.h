#ifndef CITRONPULLEY_REPLAY_REPLAY_HISTORY_H
#define CITRONPULLEY_REPLAY_REPLAY_HISTORY_H

#include "citronpulley/base/instant.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * @file
 * What can be seen from outside of a replayed system. All times are since the start of the trace.
 */

namespace citronpulley {

/** Request of a caller or operator, and what came back. */
struct request_record
{
  std::string mId;
  std::string mGroup;
  std::string mVm;
  /** Workspace of the key that was shown; empty without a key. */
  std::string mWorkspace;
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  /** Idempotency key as the trace names it. */
  std::string mIdempotencyKey;
  bool mIsOperation = false;
  microseconds mSentAt{ 0 };
  microseconds mEndedAt{ 0 };
  bool mIsEnded = false;
  /** HTTP status; 0 when no answer came. */
  std::uint16_t mStatus = 0;
  /** `ok`, the code of the rejection, or `no_connection`, `connection_lost`, `gave_up`. */
  std::string mCode;
  /** `not_run`, `unknown` or empty. */
  std::string mOutcome;
  std::string mAnswer;
  /** Server, its zone and region as the answer names them. */
  std::string mServer;
  std::string mZone;
  std::string mRegion;
  /** Request that the answer says it belongs to. */
  std::string mAnsweredRequest;
};

/** One run of a request at a backend server. */
struct run_record
{
  std::string mRequest;
  std::string mServer;
  std::string mService;
  std::string mZone;
  std::string mRegion;
  std::string mPath;
  /** Workspace as the system names it to the server. */
  std::string mWorkspace;
  bool mHasCallerKey = false;
  microseconds mStartedAt{ 0 };
  microseconds mEndedAt{ 0 };
};

/** Configuration version that an entry VM says is in force. */
struct version_record
{
  std::string mVm;
  std::uint64_t mVersion = 0;
  microseconds mAt{ 0 };
};

/** Event of the trace that begins a drain, or the end of a graceful stop. */
struct drain_event_record
{
  /** `drain`, `stop` or `stopped`. */
  std::string mKind;
  /** Region, VM or server. */
  std::string mSubject;
  microseconds mAt{ 0 };
};

/** Whole history of a replay. */
struct replay_history
{
  std::vector<request_record> mRequests;
  std::vector<run_record> mRuns;
  std::vector<version_record> mVersions;
  std::vector<drain_event_record> mDrainEvents;
};

} // namespace citronpulley

#endif
