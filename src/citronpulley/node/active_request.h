#ifndef CITRONPULLEY_NODE_ACTIVE_REQUEST_H
#define CITRONPULLEY_NODE_ACTIVE_REQUEST_H

#include "citronpulley/base/instant.h"
#include "citronpulley/node/caller_request.h"
#include "citronpulley/wire/request_messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace citronpulley {

/** Origin of a request that a caller sent to this VM over HTTP. */
struct caller_origin
{
  /** Number of the HTTP request, unique in this process. */
  std::uint64_t mRequest = 0;

  friend auto operator<=>(const caller_origin&, const caller_origin&) = default;
};

/** Origin of a request that another VM forwarded to this one. */
struct peer_origin
{
  vm_name mVm;
  incarnation mIncarnation = 0;
  std::uint64_t mForwardNumber = 0;
  /** Number of further VMs to which this VM may forward the request. */
  std::uint8_t mHopsLeft = 0;

  friend auto operator<=>(const peer_origin&, const peer_origin&) = default;
};

/** Stage of a request at this VM. */
enum class request_stage : std::uint8_t
{
  WaitsForTokens,
  WaitsForClaim,
  /** Crash suspect that waits for the lease it needs to run. */
  WaitsForLease,
  /** Forwarded to another VM, or submitted to the dispatcher of this one. */
  Runs,
};

/** Request in flight at this VM. */
struct active_request
{
  std::uint64_t mNumber = 0;
  std::variant<caller_origin, peer_origin> mOrigin;
  request_stage mStage = request_stage::WaitsForTokens;
  service_name mService;
  workspace_name mWorkspace;
  instant mStartedAt;
  instant mDeadline;
  /** Time at which a request that still waits for tokens is refused. */
  instant mTokenDeadline;
  /** Time of the next deadline or resend, see request_table::Schedule(). */
  instant mDueAt;
  bool mIsIdempotent = false;
  bool mIsUrgent = false;
  /** The request is a crash suspect, and the current attempt holds the lease to run. */
  bool mRunsAlone = false;
  /** An earlier attempt ended with an unknown outcome, so the request may have run. */
  bool mMayHaveRun = false;
  /** The caller has disconnected, but the outcome must still be recorded with the claim. */
  bool mIsDetached = false;
  /** Refused for lack of tokens although the granting VM had not reported the rate as used up. */
  bool mIsRefusedInsideRate = false;
  std::string mIdempotencyKey;
  digest mFingerprint;
  zone_name mZone;
  /** Zones of earlier attempts; tried again only when no other zone is available. */
  std::set<zone_name> mTriedZones;
  /** Servers of earlier attempts; tried again only when no other server is available. */
  std::vector<server_name> mTriedServers;
  /** VM to which the current attempt was sent; this VM for its own dispatcher. */
  vm_name mAttemptVm;
  /** Number of the current attempt, unique in this process; 0 when none is running. */
  std::uint64_t mAttemptNumber = 0;
  /** Number of attempts so far, including the current one. */
  std::uint32_t mAttempts = 0;
  /** Server of the last finished attempt; empty when unknown. */
  server_name mServer;
  trace_context mTrace;
  std::string mSpanId;
  backend_request mRequest;
};

} // namespace citronpulley

#endif
