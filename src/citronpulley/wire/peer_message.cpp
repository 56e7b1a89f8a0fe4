#include "citronpulley/wire/peer_message.h"

#include "citronpulley/wire/codec.h"

#include <array>

namespace citronpulley {

namespace {

constexpr std::array<std::string_view, std::variant_size_v<peer_message>> kTypeNames{
  "poll",
  "poll_reply",
  "grant_request",
  "grant_reply",
  "forward_request",
  "forward_response",
  "forward_cancel",
  "announce_forward",
  "backend_update",
  "claim_request",
  "claim_reply",
  "claim_outcome",
  "claim_outcome_reply",
  "crash_report",
  "vote_request",
  "vote_reply",
  "append_request",
  "append_reply",
  "snapshot_chunk",
  "snapshot_ack",
  "read_index_request",
  "read_index_reply",
  "swim_ping",
  "swim_ping_request",
  "swim_ack",
  "fleet_report",
  "link_probe",
  "link_probe_reply",
  "join_request",
  "suspect_lease_request",
  "suspect_lease_reply",
};

} // namespace

digest ComputeDigest(const std::vector<vm_record>& aVms)
{
  return ComputeDigest(std::string_view(EncodeValue(aVms)));
}

std::string EncodeMessage(const peer_message& aMessage)
{
  return EncodeValue(aMessage);
}

result<peer_message> DecodeMessage(std::string_view aBytes)
{
  return DecodeValue<peer_message>(aBytes);
}

std::string_view GetTypeName(const peer_message& aMessage) noexcept
{
  return aMessage.valueless_by_exception() ? "none" : kTypeNames[aMessage.index()];
}

} // namespace citronpulley
