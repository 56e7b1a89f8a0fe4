#ifndef CITRONPULLEY_NODE_CALLER_REQUEST_H
#define CITRONPULLEY_NODE_CALLER_REQUEST_H

#include "citronpulley/base/error.h"
#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/result.h"
#include "citronpulley/node/node_events.h"
#include "citronpulley/wire/request_messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronpulley {

/** Key as a caller shows it: `cpk_<id>_<secret>`. */
struct presented_key
{
  key_id mKey;
  std::string mSecret;
};

/** W3C trace context. */
struct trace_context
{
  /** 32 hexadecimal digits; empty when the caller sent none. */
  std::string mTraceId;
  /** 16 hexadecimal digits. */
  std::string mParentSpanId;

  friend auto operator<=>(const trace_context&, const trace_context&) = default;
};

/** Caller's request after the checks of its frame. */
struct caller_request
{
  service_name mService;
  /** Path below the service without the query. */
  std::string mPath;
  std::optional<presented_key> mKey;
  /** In lower case; empty when the caller sent none. */
  std::string mIdempotencyKey;
  /** Time that the caller gives, in milliseconds; nothing when it gives none. */
  std::optional<std::int64_t> mRemainingMilliseconds;
  bool mIsUrgent = false;
  trace_context mTrace;
  /** Request for the backend server, without credentials and headers of the system. */
  backend_request mRequest;
};

/**
 * Checks a caller's request and separates what is meant for the system from what is meant for the
 * backend server.
 *
 * @param aRequest request to `/svc/<service>/<path>`
 * @return the checked request, or `bad_request` for repeated or malformed headers
 */
result<caller_request> ParseCallerRequest(const http_request_received& aRequest);

/**
 * Makes the reply that reports an error or a refusal.
 *
 * @param aError error with step and peer
 * @param aOutcome whether the request may have run
 * @return JSON reply with the status that fits the code
 */
http_answer MakeErrorAnswer(const error& aError, request_outcome aOutcome);

/** @return the value of a header, or an empty text; names compare without case */
std::string_view FindHeader(const std::vector<http_header>& aHeaders, std::string_view aName);

} // namespace citronpulley

#endif
