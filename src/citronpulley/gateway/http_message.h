#ifndef CITRONPULLEY_GATEWAY_HTTP_MESSAGE_H
#define CITRONPULLEY_GATEWAY_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <vector>

/**
 * @file
 * HTTP messages as plain values, so that only a few sources include the library's headers.
 */

namespace citronpulley {

/** Header field in its original spelling. */
struct http_field
{
  std::string mName;
  std::string mValue;

  friend bool operator==(const http_field&, const http_field&) = default;
};

using http_fields = std::vector<http_field>;

/** @return true when two field names are the same but for case */
bool IsSameName(std::string_view aLeft, std::string_view aRight) noexcept;

/** @return the first field of a name, or null */
const std::string* FindField(const http_fields& aFields, std::string_view aName) noexcept;

/** @return true for fields that concern one connection only, or frame the body */
bool IsHopByHopField(const http_fields& aFields, std::string_view aName) noexcept;

/** Request, whole. */
struct http_request
{
  std::string mMethod;
  /** Path with query, as it was sent. */
  std::string mTarget;
  http_fields mFields;
  std::string mBody;

  /** @return the path without the query */
  std::string_view GetPath() const noexcept;

  /** @return the host without its port; empty without one */
  std::string_view GetHost() const noexcept;
};

/** Response, whole. */
struct http_response
{
  unsigned mStatus = 0;
  std::string mReasonPhrase;
  http_fields mFields;
  std::string mBody;
};

/** @return a response of our own with a JSON body */
http_response MakeResponse(unsigned aStatus, std::string aBody = {}, http_fields aFields = {});

/** @return the usual reason phrase of a status */
std::string_view GetReasonPhrase(unsigned aStatus) noexcept;

/**
 * Writes a request with a length.
 *
 * @param aFields fields without those that frame the body
 */
std::string WriteRequest(std::string_view aMethod,
                         std::string_view aTarget,
                         const http_fields& aFields,
                         std::string_view aBody);

/** Writes a response with a length; `aCloses` announces the end of the connection. */
std::string WriteResponse(const http_response& aResponse, bool aIsHead, bool aCloses);

} // namespace citronpulley

#endif
