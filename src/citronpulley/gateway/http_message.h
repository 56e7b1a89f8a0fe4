#ifndef CITRONPULLEY_GATEWAY_HTTP_MESSAGE_H
#define CITRONPULLEY_GATEWAY_HTTP_MESSAGE_H

#include "citronpulley/base/instant.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * @file
 * HTTP messages as plain values, so that only a few source files include the headers of
 * Boost.Beast.
 */

namespace citronpulley {

/** Header field; the name keeps the spelling of the sender. */
struct http_field
{
  std::string mName;
  std::string mValue;

  friend bool operator==(const http_field&, const http_field&) = default;
};

using http_fields = std::vector<http_field>;

/** Field of a refusal with the time after which the request may be repeated. */
inline constexpr std::string_view kRetryAfterField = "Retry-After";

/** Longest delay that ParseRetryAfter() returns; a faulty value must not last for good. */
inline constexpr microseconds kMaxRetryAfter{ 3'600'000'000 };

/**
 * Parses the values of `Retry-After` in seconds, which may have a fraction. Of several values the
 * longest counts, and a value above `kMaxRetryAfter` counts as that.
 *
 * @return nothing when there is no value, or one is negative, a date or anything else
 */
std::optional<microseconds> ParseRetryAfter(const std::vector<std::string_view>& aValues);

/** @return true when two field names are equal, ignoring case */
bool IsSameName(std::string_view aLeft, std::string_view aRight) noexcept;

/** @return the value of the first field with the name, or null */
const std::string* FindField(const http_fields& aFields, std::string_view aName) noexcept;

/** @return the values of all fields with the name */
std::vector<std::string_view> FindAllFields(const http_fields& aFields, std::string_view aName);

/**
 * @param aFields all fields of the message, whose `Connection` field may name further ones
 * @return true for fields that must not be forwarded: hop-by-hop fields and `Content-Length`
 */
bool IsHopByHopField(const http_fields& aFields, std::string_view aName) noexcept;

/** Complete HTTP request. */
struct http_request
{
  std::string mMethod;
  /** Request target as sent: path and query. */
  std::string mTarget;
  http_fields mFields;
  std::string mBody;

  /** @return the path without the query */
  std::string_view GetPath() const noexcept;

  /** @return the `Host` field without the port; empty when the field is absent */
  std::string_view GetHost() const noexcept;
};

/** Complete HTTP response. */
struct http_response
{
  unsigned mStatus = 0;
  std::string mReasonPhrase;
  http_fields mFields;
  std::string mBody;
};

/** @return a response created by this process; a non-empty body is JSON */
http_response MakeResponse(unsigned aStatus, std::string aBody = {}, http_fields aFields = {});

/** @return the standard reason phrase of a status code, or `Unknown` */
std::string_view GetReasonPhrase(unsigned aStatus) noexcept;

/**
 * Encodes a request. Adds `Content-Length` if there is a body or the method usually has one.
 *
 * @param aFields header fields without `Content-Length` and `Transfer-Encoding`
 */
std::string WriteRequest(std::string_view aMethod,
                         std::string_view aTarget,
                         const http_fields& aFields,
                         std::string_view aBody);

/**
 * Encodes a response. Adds `Content-Length` unless the status permits no body.
 *
 * @param aIsHead true for the response to a HEAD request, which has no body
 * @param aCloses adds `Connection: close`
 */
std::string WriteResponse(const http_response& aResponse, bool aIsHead, bool aCloses);

} // namespace citronpulley

#endif
