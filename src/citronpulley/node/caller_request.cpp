#include "citronpulley/node/caller_request.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace citronpulley {

namespace {

constexpr std::string_view kServicePrefix = "/svc/";
constexpr std::string_view kReservedHeaderPrefix = "citronpulley-";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kKeyPrefix = "cpk_";
constexpr std::int64_t kMaxDeadlineMilliseconds = 86'400'000;

/** Headers that a request may contain at most once. */
constexpr std::array<std::string_view, 9> kSingleHeaders{
  "authorization",
  "content-length",
  "content-type",
  "host",
  "idempotency-key",
  "traceparent",
  "citronpulley-deadline-ms",
  "citronpulley-priority",
  "transfer-encoding",
};

/** Headers that are not forwarded: hop-by-hop headers, credentials, and headers that are set anew.
 */
constexpr std::array<std::string_view, 13> kNotForwardedHeaders{
  "authorization", "connection",          "content-length",   "expect", "host",
  "keep-alive",    "proxy-authorization", "proxy-connection", "te",     "traceparent",
  "trailer",       "transfer-encoding",   "upgrade",
};

std::string ToLower(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return lower;
}

error MakeBadRequestError(std::string aMessage)
{
  return MakeError(error_code::BadRequest, step::ReadRequest, "", std::move(aMessage));
}

bool IsHexadecimal(std::string_view aText) noexcept
{
  return std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
    return (aCharacter >= '0' && aCharacter <= '9') || (aCharacter >= 'a' && aCharacter <= 'f');
  });
}

/**
 * Parses `00-<trace>-<span>-<flags>`. A malformed value counts as absent, as W3C Trace Context
 * requires.
 */
trace_context ParseTraceContext(std::string_view aText)
{
  constexpr std::size_t kLength = 55;
  const bool isWellFormed = aText.size() == kLength && aText[2] == '-' && aText[35] == '-' &&
                            aText[52] == '-' && IsHexadecimal(aText.substr(3, 32)) &&
                            IsHexadecimal(aText.substr(36, 16));
  if (!isWellFormed) {
    return {};
  }
  return { std::string(aText.substr(3, 32)), std::string(aText.substr(36, 16)) };
}

result<std::optional<presented_key>> ParseAuthorization(std::string_view aText)
{
  if (aText.empty()) {
    return std::optional<presented_key>();
  }
  const error refusal = MakeError(error_code::Unauthorized,
                                  step::Authenticate,
                                  "",
                                  "the Authorization header holds no valid key");
  if (!aText.starts_with(kBearerPrefix)) {
    return refusal;
  }
  std::string_view key = aText.substr(kBearerPrefix.size());
  if (!key.starts_with(kKeyPrefix)) {
    return refusal;
  }
  key.remove_prefix(kKeyPrefix.size());
  const std::size_t separator = key.find('_');
  if (separator == std::string_view::npos || separator == 0 || separator + 1 == key.size()) {
    return refusal;
  }
  return std::optional<presented_key>(presented_key{ key_id(std::string(key.substr(0, separator))),
                                                     std::string(key.substr(separator + 1)) });
}

result<std::optional<std::int64_t>> ParseDeadline(std::string_view aText)
{
  if (aText.empty()) {
    return std::optional<std::int64_t>();
  }
  std::int64_t value = 0;
  const auto [end, failure] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (failure != std::errc{} || end != aText.data() + aText.size() || value < 1 ||
      value > kMaxDeadlineMilliseconds) {
    return MakeBadRequestError("Citronpulley-Deadline-Ms must be an integer from 1 to 86400000");
  }
  return std::optional<std::int64_t>(value);
}

std::optional<error> CheckHeaders(const std::vector<http_header>& aHeaders)
{
  std::array<std::size_t, kSingleHeaders.size()> counts{};
  for (const http_header& header : aHeaders) {
    const std::string name = ToLower(header.mName);
    const auto found = std::find(kSingleHeaders.begin(), kSingleHeaders.end(), name);
    if (found == kSingleHeaders.end()) {
      continue;
    }
    if (++counts[static_cast<std::size_t>(found - kSingleHeaders.begin())] > 1) {
      return MakeBadRequestError("the header " + name + " is repeated");
    }
  }
  const bool hasLength = !FindHeader(aHeaders, "content-length").empty();
  const bool hasEncoding = !FindHeader(aHeaders, "transfer-encoding").empty();
  if (hasLength && hasEncoding) {
    return MakeBadRequestError("content-length and transfer-encoding contradict each other");
  }
  return std::nullopt;
}

/**
 * @return true when a header is forwarded to the backend server. Reserved headers of a caller are
 * removed, because a backend server trusts them to be set by an entry VM.
 */
bool IsForwarded(std::string_view aLowerName)
{
  return !aLowerName.starts_with(kReservedHeaderPrefix) &&
         std::find(kNotForwardedHeaders.begin(), kNotForwardedHeaders.end(), aLowerName) ==
           kNotForwardedHeaders.end();
}

std::uint16_t GetHttpStatus(const std::error_code& aCode) noexcept
{
  if (aCode.category() != GetErrorCategory()) {
    return 500;
  }
  switch (static_cast<error_code>(aCode.value())) {
    case error_code::BadRequest:
    case error_code::KeyExpired:
    case error_code::InvalidText:
      return 400;
    case error_code::Unauthorized:
      return 401;
    case error_code::UnknownService:
    case error_code::UnknownRoute:
    case error_code::NotFound:
      return 404;
    case error_code::SlowSender:
      return 408;
    case error_code::InProgress:
    case error_code::OutcomeUnknown:
    case error_code::VersionConflict:
      return 409;
    case error_code::BodyTooLarge:
      return 413;
    case error_code::KeyReused:
    case error_code::Quarantined:
      return 422;
    case error_code::RateExceeded:
      return 429;
    case error_code::HeadersTooLarge:
      return 431;
    case error_code::ConnectionLost:
    case error_code::BadBackendAnswer:
      return 502;
    case error_code::DeadlineExceeded:
      return 504;
    case error_code::NotFresh:
    case error_code::NotReady:
    case error_code::RegionFull:
    case error_code::NoBackendServer:
    case error_code::Overloaded:
    case error_code::Draining:
    case error_code::NotLeader:
      return 503;
    default:
      return 500;
  }
}

} // namespace

std::string_view FindHeader(const std::vector<http_header>& aHeaders, std::string_view aName)
{
  const auto equal = [](unsigned char aLeft, unsigned char aRight) {
    return std::tolower(aLeft) == std::tolower(aRight);
  };
  for (const http_header& header : aHeaders) {
    if (std::equal(header.mName.begin(), header.mName.end(), aName.begin(), aName.end(), equal)) {
      return header.mValue;
    }
  }
  return {};
}

result<caller_request> ParseCallerRequest(const http_request_received& aRequest)
{
  if (const std::optional<error> refusal = CheckHeaders(aRequest.mHeaders)) {
    return *refusal;
  }
  std::string_view target = aRequest.mTarget;
  if (!target.starts_with(kServicePrefix)) {
    return MakeError(error_code::NotFound, step::ReadRequest, "", "the path names no service");
  }
  target.remove_prefix(kServicePrefix.size());
  const std::size_t nameEnd = std::min(target.find_first_of("/?"), target.size());
  caller_request request;
  request.mService = service_name(std::string(target.substr(0, nameEnd)));
  request.mRequest.mTarget = std::string(target.substr(nameEnd));
  if (request.mRequest.mTarget.empty() || request.mRequest.mTarget.front() != '/') {
    request.mRequest.mTarget.insert(0, "/");
  }
  request.mPath = request.mRequest.mTarget.substr(0, request.mRequest.mTarget.find('?'));
  const auto key = ParseAuthorization(FindHeader(aRequest.mHeaders, "authorization"));
  if (!key) {
    return key.GetError();
  }
  request.mKey = key.Get();
  const auto remaining = ParseDeadline(FindHeader(aRequest.mHeaders, "citronpulley-deadline-ms"));
  if (!remaining) {
    return remaining.GetError();
  }
  request.mRemainingMilliseconds = remaining.Get();
  request.mIdempotencyKey = ToLower(FindHeader(aRequest.mHeaders, "idempotency-key"));
  const std::string_view priority = FindHeader(aRequest.mHeaders, "citronpulley-priority");
  if (!priority.empty() && priority != "urgent" && priority != "normal") {
    return MakeBadRequestError("Citronpulley-Priority must be urgent or normal");
  }
  request.mIsUrgent = priority == "urgent";
  request.mTrace = ParseTraceContext(FindHeader(aRequest.mHeaders, "traceparent"));
  request.mRequest.mMethod = aRequest.mMethod;
  request.mRequest.mBody = aRequest.mBody;
  for (const http_header& header : aRequest.mHeaders) {
    if (IsForwarded(ToLower(header.mName))) {
      request.mRequest.mHeaders.push_back(header);
    }
  }
  return request;
}

http_answer MakeErrorAnswer(const error& aError, request_outcome aOutcome)
{
  const std::string code = aError.mCode.category() == GetErrorCategory()
                             ? aError.mCode.message()
                             : std::string(ToString(error_code::Internal));
  const boost::json::object body{
    { "error",
      { { "code", code },
        { "message", aError.mMessage },
        { "step", std::string(ToString(aError.mStep)) },
        { "peer", aError.mPeer },
        { "outcome", aOutcome == request_outcome::NotRun ? "not_run" : "unknown" } } }
  };
  return { GetHttpStatus(aError.mCode),
           { { "Content-Type", "application/json" } },
           boost::json::serialize(body) + "\n" };
}

} // namespace citronpulley
