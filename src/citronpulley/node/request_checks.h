#ifndef CITRONPULLEY_NODE_REQUEST_CHECKS_H
#define CITRONPULLEY_NODE_REQUEST_CHECKS_H

#include "citronpulley/base/error.h"
#include "citronpulley/node/active_request.h"
#include "citronpulley/node/caller_request.h"
#include "citronpulley/node/control_link.h"

#include <optional>
#include <string>

namespace citronpulley {

/** What the checks of a caller's request need; the parts outlive the call. */
struct request_check_context
{
  const vm_name& mSelf;
  /** Secret of the deployment, which keys the digests of callers' keys. */
  const std::string& mSecret;
  const control_link& mLink;
};

/**
 * Checks a caller's request against the operators' text, its key and the quarantine, and fills in
 * what follows from them.
 *
 * @param aContext parts of the node
 * @param aCallerRequest request after the checks of its frame
 * @param aRequest gets route, workspace, deadline, fingerprint and idempotency key
 * @param aNow present time
 * @return the refusal, or nothing
 */
std::optional<error> CheckRequest(const request_check_context& aContext,
                                  const caller_request& aCallerRequest,
                                  active_request& aRequest,
                                  instant aNow);

} // namespace citronpulley

#endif
