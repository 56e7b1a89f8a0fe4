#include "citronpulley/gateway/relay_fields.h"

#include <array>
#include <charconv>

namespace citronpulley {

namespace {

/** Highest number of attempts that is read; routes permit far fewer. */
constexpr std::uint64_t kMaxAttempts = 1'000;

} // namespace

bool IsRelayField(std::string_view aName) noexcept
{
  return IsSameName(aName, kRelayField) || IsSameName(aName, kRelayBackendField) ||
         IsSameName(aName, kRelayStartField);
}

std::string EncodeRelayedRequest(std::uint64_t aToken, const relayed_request& aRequest)
{
  std::string text = std::to_string(aToken);
  text.append(" ").append(std::to_string(aRequest.mConfig));
  text.append(" ").append(std::to_string(aRequest.mAttempts));
  text.append(aRequest.mIsMetered ? " 1" : " 0");
  return text;
}

std::optional<relayed_request> ParseRelayedRequest(std::string_view aValue, std::uint64_t aToken)
{
  // Token, configuration, attempts, whether the request is metered.
  std::array<std::uint64_t, 4> numbers{};
  const char* position = aValue.data();
  const char* end = position + aValue.size();
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && (position == end || *position++ != ' ')) {
      return std::nullopt;
    }
    const auto [last, code] = std::from_chars(position, end, numbers[i]);
    if (code != std::errc{}) {
      return std::nullopt;
    }
    position = last;
  }
  const auto [token, config, attempts, metered] = numbers;
  if (position != end || token == 0 || token != aToken || attempts > kMaxAttempts || metered > 1) {
    return std::nullopt;
  }
  return relayed_request{ static_cast<int>(attempts), metered == 1, config };
}

relay_outcome ReadRelayOutcome(const http_response& aResponse)
{
  const std::string* stated = FindField(aResponse.mFields, kRelayField);
  if (stated == nullptr) {
    return aResponse.mStatus >= 400 ? relay_outcome::Declined : relay_outcome::Lost;
  }
  for (const relay_outcome outcome :
       { relay_outcome::Answered, relay_outcome::Refused, relay_outcome::Declined }) {
    if (*stated == ToString(outcome)) {
      return outcome;
    }
  }
  return relay_outcome::Failed;
}

relay_outcome GetRelayOutcome(refusal_reason aReason) noexcept
{
  switch (aReason) {
    case refusal_reason::NoConfig:
    case refusal_reason::UnknownRoute:
    case refusal_reason::UnknownKey:
    case refusal_reason::NotFresh:
    case refusal_reason::NoBackend:
    case refusal_reason::Stopping:
      return relay_outcome::Declined;
    case refusal_reason::RateExceeded:
    case refusal_reason::Quarantined:
    case refusal_reason::Overloaded:
    case refusal_reason::NoTime:
      return relay_outcome::Refused;
    case refusal_reason::OutcomeUnknown:
    case refusal_reason::TimedOut:
      return relay_outcome::Failed;
  }
  return relay_outcome::Failed;
}

} // namespace citronpulley
