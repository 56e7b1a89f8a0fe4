#ifndef CITRONPULLEY_GATEWAY_RELAY_FIELDS_H
#define CITRONPULLEY_GATEWAY_RELAY_FIELDS_H

#include "citronpulley/fleet/entry_steering.h"
#include "citronpulley/gateway/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/**
 * @file
 * Header fields of requests that one entry VM sends on to another one. They are accepted on the
 * internal port only; callers and backend servers neither set nor see them.
 */

namespace citronpulley {

/** In a request, what EncodeRelayedRequest() returns; in a response, the name of the outcome. */
inline constexpr std::string_view kRelayField = "Citronpulley-Relay";
/** Identity of the backend server that responded. */
inline constexpr std::string_view kRelayBackendField = "Citronpulley-Relay-Backend";
/** Start of that backend server in Unix milliseconds. */
inline constexpr std::string_view kRelayStartField = "Citronpulley-Relay-Start";

/** @return true for each field of this file */
bool IsRelayField(std::string_view aName) noexcept;

/** @param aToken proof that the sender is an entry VM of this deployment */
std::string EncodeRelayedRequest(std::uint64_t aToken, const relayed_request& aRequest);

/** @return nothing when the value is malformed or has another token */
std::optional<relayed_request> ParseRelayedRequest(std::string_view aValue, std::uint64_t aToken);

/**
 * @return outcome that a complete response of another entry VM states. Without a statement, an
 * error comes from the reading of the request, which has not run then.
 */
relay_outcome ReadRelayOutcome(const http_response& aResponse);

/** @return outcome by which a VM reports its refusal to the VM that sent the request on */
relay_outcome GetRelayOutcome(refusal_reason aReason) noexcept;

} // namespace citronpulley

#endif
