#ifndef CITRONPULLEY_NODE_REQUEST_CHECKS_H
#define CITRONPULLEY_NODE_REQUEST_CHECKS_H

#include "citronpulley/base/error.h"
#include "citronpulley/node/active_request.h"
#include "citronpulley/node/caller_request.h"
#include "citronpulley/node/control_link.h"

#include <optional>
#include <string>

namespace citronpulley {

/** State of the entry node that CheckRequest() reads; it must outlive the call. */
struct request_check_context
{
  const vm_name& mSelf;
  /** Secret of the deployment, which keys the digests of API keys. */
  const std::string& mSecret;
  const control_link& mLink;
};

/**
 * Checks a caller's request against the configured services and routes, the API keys and the
 * quarantine list, and fills in the fields of the active request that follow from them.
 *
 * @param aContext state of the entry node
 * @param aCallerRequest parsed request
 * @param aRequest receives service, workspace, trace context, flags, deadline, fingerprint,
 * idempotency key and the request to forward
 * @param aNow current time
 * @return the refusal; nothing when the request may be admitted
 */
std::optional<error> CheckRequest(const request_check_context& aContext,
                                  const caller_request& aCallerRequest,
                                  active_request& aRequest,
                                  instant aNow);

} // namespace citronpulley

#endif
