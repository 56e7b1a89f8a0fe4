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

/** Request that came from a caller over HTTP. */
struct caller_origin
{
  std::uint64_t mRequest = 0;

  friend auto operator<=>(const caller_origin&, const caller_origin&) = default;
};

/** Request that another VM forwarded. */
struct peer_origin
{
  vm_name mVm;
  incarnation mIncarnation = 0;
  std::uint64_t mForwardNumber = 0;
  std::uint8_t mHopsLeft = 0;

  friend auto operator<=>(const peer_origin&, const peer_origin&) = default;
};

/** Stage of a request at this VM. */
enum class request_stage : std::uint8_t
{
  WaitsForTokens,
  WaitsForClaim,
  /** Waits for the lease without which no crash suspect runs. */
  WaitsForLease,
  /** Forwarded to another VM, or given to the dispatcher of this one. */
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
  /** Time until which it may wait for tokens. */
  instant mTokenDeadline;
  /** Time at which the request needs attention next. */
  instant mDueAt;
  bool mIsIdempotent = false;
  bool mIsUrgent = false;
  /** The request is a crash suspect, and this attempt has the lease to run. */
  bool mRunsAlone = false;
  /** An earlier attempt ended with an unknown outcome. */
  bool mMayHaveRun = false;
  /** The caller has gone, but the outcome is still to be recorded with the claim. */
  bool mIsDetached = false;
  /** It got no tokens although the rate of its workspace was not reported as used up. */
  bool mIsRefusedInsideRate = false;
  std::string mIdempotencyKey;
  digest mFingerprint;
  zone_name mZone;
  /** Zones of earlier attempts, which are used only when there is no other. */
  std::set<zone_name> mTriedZones;
  /** Servers of earlier attempts, which are used only when there is no other. */
  std::vector<server_name> mTriedServers;
  /** VM to which the present attempt went; this VM for its own dispatcher. */
  vm_name mAttemptVm;
  std::uint64_t mAttemptNumber = 0;
  std::uint32_t mAttempts = 0;
  server_name mServer;
  trace_context mTrace;
  std::string mSpanId;
  backend_request mRequest;
};

} // namespace citronpulley

#endif
