#ifndef CITRONPULLEY_NODE_NODE_EVENTS_H
#define CITRONPULLEY_NODE_NODE_EVENTS_H

#include "citronpulley/dispatch/backend_dispatcher.h"
#include "citronpulley/wire/peer_message.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * Events that a node handles.
 */

namespace citronpulley {

/** Complete HTTP request of a caller, a backend server or an operator. */
struct http_request_received
{
  /** Number that identifies the request in reply_to_client; unique in the process. */
  std::uint64_t mRequest = 0;
  std::string mMethod;
  std::string mTarget;
  std::vector<http_header> mHeaders;
  std::string mBody;
  /** IP address of the client. */
  std::string mClientAddress;

  friend auto operator<=>(const http_request_received&, const http_request_received&) = default;
};

/** The client of an HTTP request closed its connection before the response was sent. */
struct http_client_disconnected
{
  std::uint64_t mRequest = 0;

  friend auto operator<=>(const http_client_disconnected&,
                          const http_client_disconnected&) = default;
};

/** Outcome of a request that was sent to a backend server. */
struct backend_finished
{
  /** Number from send_to_backend. */
  std::uint64_t mDispatch = 0;
  backend_outcome mOutcome;

  friend bool operator==(const backend_finished&, const backend_finished&) = default;
};

/** Message of another process, whose sender has been authenticated. */
struct peer_message_received
{
  vm_name mSender;
  peer_message mMessage;

  friend auto operator<=>(const peer_message_received&, const peer_message_received&) = default;
};

/** The connection to another process was closed or timed out. */
struct peer_disconnected
{
  vm_name mPeer;

  friend auto operator<=>(const peer_disconnected&, const peer_disconnected&) = default;
};

/** Periodic timer event, sent every few milliseconds. */
struct timer_ticked
{
  friend auto operator<=>(const timer_ticked&, const timer_ticked&) = default;
};

/** The process is asked to stop gracefully. */
struct stop_requested
{
  friend auto operator<=>(const stop_requested&, const stop_requested&) = default;
};

/** The disk thread has stored all batches up to a number, or storing failed. */
struct batch_stored
{
  std::uint64_t mNumber = 0;
  bool mIsFailed = false;
  /** Description of the failure. */
  std::string mMessage;

  friend auto operator<=>(const batch_stored&, const batch_stored&) = default;
};

/** Event for a node. */
using node_event = std::variant<http_request_received,
                                http_client_disconnected,
                                backend_finished,
                                peer_message_received,
                                peer_disconnected,
                                timer_ticked,
                                stop_requested,
                                batch_stored>;

} // namespace citronpulley

#endif
