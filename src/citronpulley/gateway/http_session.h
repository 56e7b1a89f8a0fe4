#ifndef CITRONPULLEY_GATEWAY_HTTP_SESSION_H
#define CITRONPULLEY_GATEWAY_HTTP_SESSION_H

#include "citronpulley/base/instant.h"
#include "citronpulley/gateway/http_message.h"
#include "citronpulley/gateway/memory_reservation.h"
#include "citronpulley/steering/traffic_config.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace citronpulley {

class http_session;

/** Received request that awaits its response; only the first call of Respond() has an effect. */
class inbound_request
{
public:
  inbound_request(std::weak_ptr<http_session> aSession,
                  http_request aRequest,
                  memory_reservation aReservation,
                  instant aReceivedAt)
    : mMessage(std::move(aRequest))
    , mReceivedAt(aReceivedAt)
    , mSession(std::move(aSession))
    , mReservation(std::move(aReservation))
  {
  }

  /** Sets the response; the session sends responses in the order of the requests. */
  void Respond(const http_response& aResponse);

  /** Closes the connection without a response. */
  void Break();

  /** @return true once there is a response or the caller has disconnected */
  bool IsSettled() const noexcept { return mIsSettled; }

  http_request mMessage;
  instant mReceivedAt;
  /** Another entry VM sends the request on. */
  bool mIsRelayed = false;
  /** Name of the call in the metrics. */
  std::string_view mCallName = "unknown";
  /** Called once if the caller disconnects before the response. */
  std::function<void()> mOnCallerLeft;

private:
  friend class http_session;

  std::weak_ptr<http_session> mSession;
  std::string mEncoded;
  /** Memory of the request, then of its response. */
  memory_reservation mReservation;
  bool mIsSettled = false;
};

/** Callbacks and state that all sessions of one listener share. */
struct http_session_context
{
  /** @return the limits in force; called for each request and each check of the time limits */
  std::function<caller_limits()> mLimits;
  std::function<void(const std::shared_ptr<inbound_request>&)> mOnRequest;
  /** Memory for requests and responses; null for no limit. */
  std::shared_ptr<memory_budget> mBudget;
  /**
   * True during shutdown: each connection is closed after its next response that leaves no request
   * in progress.
   */
  bool mIsStopping = false;
  /** Called with the status when a request is refused before it was read completely. */
  std::function<void(unsigned aStatus)> mOnRejected{};
};

/**
 * Server side of an HTTP/1.1 connection: reads requests, which may be pipelined, and writes the
 * responses in order. Not thread-safe.
 */
class http_session : public std::enable_shared_from_this<http_session>
{
public:
  /** Requests in progress on one connection at which reading pauses. */
  static constexpr std::size_t kMaxPipelined = 32;
  /** Time for which input is read and discarded after the final response. */
  static constexpr microseconds kLingerTimeout{ 1'000'000 };
  /** Time limit for writing responses to a client, and for each pause while it sends a request. */
  static constexpr microseconds kTransferTimeout{ 10'000'000 };

  http_session(boost::asio::ip::tcp::socket aSocket,
               std::shared_ptr<http_session_context> aContext);
  ~http_session();
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  void Start();

  /**
   * Closes idle and stalled connections, and those whose client left while reading pauses, and
   * responds 408 to requests that arrive too slowly; call it a few times per second.
   */
  void CheckTimeouts(instant aNow);

  /** Closes the connection at once. */
  void Close();

  bool IsClosed() const noexcept { return mIsClosed; }

  /** @return true while no request is in progress or being received */
  bool IsIdle() const noexcept;

  /** @return time of the last transfer on the connection */
  instant GetLastActivityAt() const noexcept { return mLastActivityAt; }

  /** @return true while a request waits for its response or a response is being written */
  bool IsBusy() const noexcept { return !mQueue.empty() || mIsWriting; }

  /** Writes all responses that are next in order; called by requests when they are answered. */
  void Flush();

private:
  struct parser_state;

  void Read();
  /**
   * @return true when the client has closed its side, although not everything it sent was read.
   * Bytes of a connection that waited before it was accepted or read may be followed by its end.
   */
  bool HasClientLeft();
  /** @return true when reading pauses and the client has closed its side meanwhile */
  bool HasClientLeftUnread();
  void HandleBytes();
  /** @return true when a further request may be parsed from the buffer */
  bool ParseRequest();
  /** @return true while the request that is being received fits into the memory budget */
  bool ReserveMemory();
  void RejectRequest(unsigned aStatus, http_fields aFields = {});
  void Write();
  void HandleWritten();
  void AbandonRequests();

  boost::asio::ip::tcp::socket mSocket;
  std::shared_ptr<http_session_context> mContext;
  std::unique_ptr<parser_state> mParser;
  std::deque<std::shared_ptr<inbound_request>> mQueue;
  std::string mOutput;
  /** Memory of the request that is being received, and of the output. */
  memory_reservation mInputReservation;
  memory_reservation mOutputReservation;
  bool mIsReading = false;
  /** What is read next may have waited: it is the first, or reading was paused. */
  bool mMayHaveWaited = true;
  bool mIsWriting = false;
  /** No further requests are parsed; the connection is closed after the pending responses. */
  bool mIsClosing = false;
  /** The final response is being written or has been written. */
  bool mHasFinalResponse = false;
  bool mIsClosed = false;
  instant mLastActivityAt;
  instant mRequestStartedAt;
  instant mCloseAt;
};

} // namespace citronpulley

#endif
