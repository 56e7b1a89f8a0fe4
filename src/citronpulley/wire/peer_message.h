#ifndef CITRONPULLEY_WIRE_PEER_MESSAGE_H
#define CITRONPULLEY_WIRE_PEER_MESSAGE_H

#include "citronpulley/base/result.h"
#include "citronpulley/wire/consensus_messages.h"
#include "citronpulley/wire/membership_messages.h"
#include "citronpulley/wire/poll_messages.h"
#include "citronpulley/wire/request_messages.h"

#include <string>
#include <string_view>
#include <variant>

namespace citronpulley {

/**
 * Message between two processes of a deployment. Add new alternatives at the end only: the index of
 * the alternative is the type number on the wire.
 */
using peer_message = std::variant<poll,
                                  poll_reply,
                                  grant_request,
                                  grant_reply,
                                  forward_request,
                                  forward_response,
                                  forward_cancel,
                                  announce_forward,
                                  backend_update,
                                  claim_request,
                                  claim_reply,
                                  claim_outcome,
                                  claim_outcome_reply,
                                  crash_report,
                                  vote_request,
                                  vote_reply,
                                  append_request,
                                  append_reply,
                                  snapshot_chunk,
                                  snapshot_ack,
                                  read_index_request,
                                  read_index_reply,
                                  swim_ping,
                                  swim_ping_request,
                                  swim_ack,
                                  fleet_report,
                                  link_probe,
                                  link_probe_reply,
                                  join_request,
                                  suspect_lease_request,
                                  suspect_lease_reply>;

/** @return the encoded message, without the authenticated frame of `peer_session` */
std::string EncodeMessage(const peer_message& aMessage);

/**
 * Decodes a message.
 *
 * @param aBytes output of EncodeMessage()
 * @return the message, or `bad_message` when the bytes do not hold exactly one message
 */
result<peer_message> DecodeMessage(std::string_view aBytes);

/** @return the name of the message's type, such as `poll`, for logs and metrics */
std::string_view GetTypeName(const peer_message& aMessage) noexcept;

} // namespace citronpulley

#endif
