#include "citronpulley/gateway/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <utility>

namespace citronpulley {

namespace {

constexpr std::array<std::string_view, 10> kHopByHopFields{
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
};

constexpr std::array<std::pair<unsigned, std::string_view>, 20> kReasonPhrases{ {
  { 200, "OK" },
  { 204, "No Content" },
  { 307, "Temporary Redirect" },
  { 400, "Bad Request" },
  { 401, "Unauthorized" },
  { 403, "Forbidden" },
  { 404, "Not Found" },
  { 405, "Method Not Allowed" },
  { 408, "Request Timeout" },
  { 409, "Conflict" },
  { 412, "Precondition Failed" },
  { 413, "Payload Too Large" },
  { 421, "Misdirected Request" },
  { 422, "Unprocessable Entity" },
  { 429, "Too Many Requests" },
  { 431, "Request Header Fields Too Large" },
  { 500, "Internal Server Error" },
  { 502, "Bad Gateway" },
  { 503, "Service Unavailable" },
  { 504, "Gateway Timeout" },
} };

bool ExpectsBody(std::string_view aMethod)
{
  return aMethod == "POST" || aMethod == "PUT" || aMethod == "PATCH";
}

void AppendFields(std::string& aText, const http_fields& aFields)
{
  for (const http_field& field : aFields) {
    aText.append(field.mName).append(": ").append(field.mValue).append("\r\n");
  }
}

} // namespace

std::optional<microseconds> ParseRetryAfter(const std::vector<std::string_view>& aValues)
{
  std::optional<microseconds> longest;
  for (const std::string_view value : aValues) {
    double seconds = 0;
    const char* end = value.data() + value.size();
    const auto [last, code] = std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
    if (code != std::errc{} || last != end || !std::isfinite(seconds) || seconds < 0) {
      return std::nullopt;
    }
    const double limited = std::min(seconds * 1e6, static_cast<double>(kMaxRetryAfter.count()));
    const microseconds delay(static_cast<microseconds::rep>(limited));
    longest = std::max(longest.value_or(delay), delay);
  }
  return longest;
}

bool IsSameName(std::string_view aLeft, std::string_view aRight) noexcept
{
  return std::ranges::equal(aLeft, aRight, [](unsigned char aLeftByte, unsigned char aRightByte) {
    return std::tolower(aLeftByte) == std::tolower(aRightByte);
  });
}

const std::string* FindField(const http_fields& aFields, std::string_view aName) noexcept
{
  const auto found = std::ranges::find_if(
    aFields, [aName](const http_field& aField) { return IsSameName(aField.mName, aName); });
  return found == aFields.end() ? nullptr : &found->mValue;
}

std::vector<std::string_view> FindAllFields(const http_fields& aFields, std::string_view aName)
{
  std::vector<std::string_view> values;
  for (const http_field& field : aFields) {
    if (IsSameName(field.mName, aName)) {
      values.emplace_back(field.mValue);
    }
  }
  return values;
}

bool IsHopByHopField(const http_fields& aFields, std::string_view aName) noexcept
{
  if (std::ranges::any_of(kHopByHopFields,
                          [aName](std::string_view aField) { return IsSameName(aField, aName); })) {
    return true;
  }
  const std::string* connectionField = FindField(aFields, "Connection");
  if (connectionField == nullptr) {
    return false;
  }
  std::string_view rest = *connectionField;
  while (!rest.empty()) {
    const std::size_t end = rest.find(',');
    std::string_view token = rest.substr(0, end);
    token.remove_prefix(std::min(token.find_first_not_of(" \t"), token.size()));
    token = token.substr(0, token.find_last_not_of(" \t") + 1);
    if (IsSameName(token, aName)) {
      return true;
    }
    rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  }
  return false;
}

std::string_view http_request::GetPath() const noexcept
{
  return std::string_view(mTarget).substr(0, mTarget.find('?'));
}

std::string_view http_request::GetHost() const noexcept
{
  const std::string* host = FindField(mFields, "Host");
  if (host == nullptr) {
    return {};
  }
  return std::string_view(*host).substr(0, host->find(':'));
}

http_response MakeResponse(unsigned aStatus, std::string aBody, http_fields aFields)
{
  http_response response;
  response.mStatus = aStatus;
  response.mReasonPhrase = GetReasonPhrase(aStatus);
  response.mFields = std::move(aFields);
  if (!aBody.empty()) {
    response.mFields.push_back({ "Content-Type", "application/json" });
  }
  response.mBody = std::move(aBody);
  return response;
}

std::string_view GetReasonPhrase(unsigned aStatus) noexcept
{
  const auto found =
    std::ranges::find(kReasonPhrases, aStatus, &decltype(kReasonPhrases)::value_type::first);
  return found == kReasonPhrases.end() ? std::string_view("Unknown") : found->second;
}

std::string WriteRequest(std::string_view aMethod,
                         std::string_view aTarget,
                         const http_fields& aFields,
                         std::string_view aBody)
{
  std::string text;
  text.reserve(512 + aBody.size());
  text.append(aMethod).append(" ").append(aTarget).append(" HTTP/1.1\r\n");
  AppendFields(text, aFields);
  if (!aBody.empty() || ExpectsBody(aMethod)) {
    text.append("Content-Length: ").append(std::to_string(aBody.size())).append("\r\n");
  }
  text.append("\r\n").append(aBody);
  return text;
}

std::string WriteResponse(const http_response& aResponse, bool aIsHead, bool aCloses)
{
  std::string text;
  text.reserve(512 + aResponse.mBody.size());
  text.append("HTTP/1.1 ").append(std::to_string(aResponse.mStatus)).append(" ");
  text.append(aResponse.mReasonPhrase).append("\r\n");
  AppendFields(text, aResponse.mFields);
  const bool hasBody =
    aResponse.mStatus >= 200 && aResponse.mStatus != 204 && aResponse.mStatus != 304;
  if (hasBody) {
    text.append("Content-Length: ").append(std::to_string(aResponse.mBody.size())).append("\r\n");
  }
  if (aCloses) {
    text.append("Connection: close\r\n");
  }
  text.append("\r\n");
  if (hasBody && !aIsHead) {
    text.append(aResponse.mBody);
  }
  return text;
}

} // namespace citronpulley
