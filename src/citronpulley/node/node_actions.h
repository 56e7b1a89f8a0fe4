#ifndef CITRONPULLEY_NODE_NODE_ACTIONS_H
#define CITRONPULLEY_NODE_NODE_ACTIONS_H

#include "citronpulley/dispatch/backend_dispatcher.h"
#include "citronpulley/storage/member_storage.h"
#include "citronpulley/wire/peer_message.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * Actions that a node returns for the runtime to execute.
 */

namespace citronpulley {

/** Sends the response to an HTTP request. */
struct reply_to_client
{
  /** Number from http_request_received. */
  std::uint64_t mRequest = 0;
  http_answer mAnswer;

  friend auto operator<=>(const reply_to_client&, const reply_to_client&) = default;
};

/** Sends a message to another process. */
struct send_peer_message
{
  vm_name mReceiver;
  peer_message mMessage;

  friend auto operator<=>(const send_peer_message&, const send_peer_message&) = default;
};

/** Sets the address of another process, so that messages can be sent to it. */
struct connect_peer
{
  vm_name mPeer;
  std::string mAddress;
  std::uint16_t mPeerPort = 0;

  friend auto operator<=>(const connect_peer&, const connect_peer&) = default;
};

/** Severity of a log line. */
enum class log_level : std::uint8_t
{
  Information,
  Warning,
  Error,
};

/** Writes a log line. */
struct write_log
{
  log_level mLevel = log_level::Information;
  std::string mMessage;
  /** VM or address that the line is about; may be empty. */
  std::string mPeer;

  friend auto operator<=>(const write_log&, const write_log&) = default;
};

/** Records a finished request of this VM in the metrics and as a trace span. */
struct record_request
{
  std::string mTraceId;
  std::string mParentSpanId;
  std::string mSpanId;
  /**
   * Role of this VM: `entry` for a caller's request, `gateway` for a forwarded request that it may
   * forward once more, `home` for one that it must run itself.
   */
  std::string mHop;
  service_name mService;
  workspace_name mWorkspace;
  server_name mServer;
  /** HTTP status of the response. */
  std::uint16_t mStatus = 0;
  /** Error code, or `ok` when a backend server answered. */
  std::string mCode;
  instant mStartedAt;
  instant mEndedAt;
  std::uint32_t mAttempts = 0;
  /** Refused for lack of tokens although, as far as this VM knows, its rate was not used up. */
  bool mIsRefusedInsideRate = false;

  friend auto operator<=>(const record_request&, const record_request&) = default;
};

/** Sets a gauge of the metrics endpoint. */
struct set_gauge
{
  std::string mName;
  /** Labels in Prometheus text format, such as `zone="a"`; may be empty. */
  std::string mLabels;
  double mValue = 0;

  friend auto operator<=>(const set_gauge&, const set_gauge&) = default;
};

/**
 * Ends the process. An entry VM returns it after a stop request, when no request is pending and no
 * cached list contains it any more; a control VM at once after a stop request, a failed write or an
 * unreadable snapshot.
 */
struct stop_process
{
  friend auto operator<=>(const stop_process&, const stop_process&) = default;
};

/** Action of a node. The runtime reports a completed `storage_batch` by `batch_stored`. */
using node_action = std::variant<reply_to_client,
                                 send_peer_message,
                                 connect_peer,
                                 send_to_backend,
                                 cancel_backend_request,
                                 write_log,
                                 record_request,
                                 set_gauge,
                                 stop_process,
                                 storage_batch>;

using node_actions = std::vector<node_action>;

} // namespace citronpulley

#endif
