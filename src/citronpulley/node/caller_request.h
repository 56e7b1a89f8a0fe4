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

/** API key from the Authorization header: `cpk_<id>_<secret>`. */
struct presented_key
{
  key_id mKey;
  std::string mSecret;
};

/** W3C trace context of a request. */
struct trace_context
{
  /** 32 hexadecimal digits; empty when the caller sent no valid `traceparent`. */
  std::string mTraceId;
  /** 16 hexadecimal digits. */
  std::string mParentSpanId;

  friend auto operator<=>(const trace_context&, const trace_context&) = default;
};

/** Parsed request of a caller, with the control headers separated from the forwarded request. */
struct caller_request
{
  service_name mService;
  /** Path after `/svc/<service>`, without the query. */
  std::string mPath;
  /** Absent when the caller sent no Authorization header. */
  std::optional<presented_key> mKey;
  /** Idempotency-Key header in lower case; empty when the caller sent none. */
  std::string mIdempotencyKey;
  /** Time limit from Citronpulley-Deadline-Ms; absent when the caller set none. */
  std::optional<std::int64_t> mRemainingMilliseconds;
  bool mIsUrgent = false;
  trace_context mTrace;
  /** Request for the backend server, without credentials, hop-by-hop and reserved headers. */
  backend_request mRequest;
};

/**
 * Checks the headers of a caller's request and separates the control headers from the request that
 * is forwarded to the backend server.
 *
 * @param aRequest request to `/svc/<service>/<path>`
 * @return the parsed request; or `bad_request` for repeated, contradictory or malformed headers,
 * `unauthorized` for a malformed key, `not_found` for another path
 */
result<caller_request> ParseCallerRequest(const http_request_received& aRequest);

/**
 * Makes the HTTP response that reports an error or a refusal.
 *
 * @param aError error with step and peer
 * @param aOutcome whether the request may have run
 * @return response with a JSON body and the HTTP status of the error code
 */
http_answer MakeErrorAnswer(const error& aError, request_outcome aOutcome);

/** @return the value of the first header of this name, compared without case; else an empty text */
std::string_view FindHeader(const std::vector<http_header>& aHeaders, std::string_view aName);

} // namespace citronpulley

#endif
