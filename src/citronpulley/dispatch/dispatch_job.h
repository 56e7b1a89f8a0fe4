#ifndef CITRONPULLEY_DISPATCH_DISPATCH_JOB_H
#define CITRONPULLEY_DISPATCH_DISPATCH_JOB_H

#include "citronpulley/base/error.h"
#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/wire/request_messages.h"

#include <cstdint>
#include <variant>
#include <vector>

/**
 * @file
 * Input and output types of `backend_dispatcher`.
 */

namespace citronpulley {

/** Request to be run on a backend server homed on this VM. */
struct dispatch_job
{
  /** Number that the submitter chose to identify the job. */
  std::uint64_t mJob = 0;
  service_name mService;
  workspace_name mWorkspace;
  instant mDeadline;
  bool mIsUrgent = false;
  /** The request is a crash suspect; no other request may run on its server at the same time. */
  bool mRunsAlone = false;
  digest mFingerprint;
  backend_request mRequest;
  /** Servers of earlier attempts; used only when no other server has a free slot. */
  std::vector<server_name> mTriedServers;

  friend auto operator<=>(const dispatch_job&, const dispatch_job&) = default;
};

/** Sends a request to a backend server. */
struct send_to_backend
{
  std::uint64_t mDispatch = 0;
  server_name mServer;
  instant mDeadline;
  backend_request mRequest;

  friend auto operator<=>(const send_to_backend&, const send_to_backend&) = default;
};

/** Cancels a request that was sent, by closing its connection. */
struct cancel_backend_request
{
  std::uint64_t mDispatch = 0;

  friend auto operator<=>(const cancel_backend_request&, const cancel_backend_request&) = default;
};

/** Ends a job with the server's answer or a failure. */
struct job_done
{
  std::uint64_t mJob = 0;
  server_name mServer;
  std::variant<http_answer, request_failure> mOutcome;

  friend auto operator<=>(const job_done&, const job_done&) = default;
};

/** Action that the caller of the dispatcher has to execute. */
using dispatcher_action =
  std::variant<send_to_backend, cancel_backend_request, job_done, crash_report>;

/** Failure of a request to a backend server that ended without a complete answer. */
struct backend_failure
{
  error mError;
  /** False only when no byte of the request was sent. */
  bool mMayHaveRun = true;

  friend bool operator==(const backend_failure&, const backend_failure&) = default;
};

/** Complete answer of a backend server, or the failure. */
using backend_outcome = std::variant<http_answer, backend_failure>;

} // namespace citronpulley

#endif
