#ifndef CITRONPULLEY_GATEWAY_HTTP_SESSION_H
#define CITRONPULLEY_GATEWAY_HTTP_SESSION_H

#include "citronpulley/base/instant.h"
#include "citronpulley/gateway/http_message.h"
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

/** Request that waits for its response, which may be given later but only once. */
class inbound_request
{
public:
  inbound_request(std::weak_ptr<http_session> aSession, http_request aRequest, instant aReceivedAt)
    : mMessage(std::move(aRequest))
    , mReceivedAt(aReceivedAt)
    , mSession(std::move(aSession))
  {
  }

  /** Gives the response; the connection sends responses in the order of the requests. */
  void Respond(const http_response& aResponse);

  /** Ends the connection without a response. */
  void Break();

  /** @return true once there is a response, or the caller has left */
  bool IsSettled() const noexcept { return mIsSettled; }

  http_request mMessage;
  instant mReceivedAt;
  /** Kind of call, for metrics. */
  std::string_view mCallName = "unknown";
  /** Called once if the caller leaves before the response. */
  std::function<void()> mOnCallerLeft;

private:
  friend class http_session;

  std::weak_ptr<http_session> mSession;
  std::string mEncoded;
  bool mIsSettled = false;
};

/** What all connections of one listener share. */
struct http_session_context
{
  std::function<caller_limits()> mLimits;
  std::function<void(const std::shared_ptr<inbound_request>&)> mOnRequest;
  /** True while the process stops: connections end with their next response. */
  bool mIsStopping = false;
};

/**
 * Connection of a client: reads requests, also several before the first response, and writes the
 * responses in order. Not thread-safe.
 */
class http_session : public std::enable_shared_from_this<http_session>
{
public:
  /** Requests of one connection that are in progress before reading pauses. */
  static constexpr std::size_t kMaxPipelined = 32;
  /** Time for which the last bytes of a client are read after the final response. */
  static constexpr microseconds kLingerTimeout{ 1'000'000 };
  /** Time for which a client may take to read a response or send a body. */
  static constexpr microseconds kTransferTimeout{ 10'000'000 };

  http_session(boost::asio::ip::tcp::socket aSocket,
               std::shared_ptr<http_session_context> aContext);
  ~http_session();
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  void Start();

  /** Ends connections that are idle or too slow; call it a few times a second. */
  void CheckTimeouts(instant aNow);

  /** Closes the connection at once. */
  void Close();

  bool IsClosed() const noexcept { return mIsClosed; }

  /** @return true while a request waits for its response or a response is being written */
  bool IsBusy() const noexcept { return !mQueue.empty() || mIsWriting; }

  /** Called by requests when they have their response. */
  void Flush();

private:
  struct parser_state;

  void Read();
  void HandleBytes();
  bool ParseRequest();
  void RejectRequest(unsigned aStatus);
  void Write();
  void HandleWritten();
  void AbandonRequests();

  boost::asio::ip::tcp::socket mSocket;
  std::shared_ptr<http_session_context> mContext;
  std::unique_ptr<parser_state> mParser;
  std::deque<std::shared_ptr<inbound_request>> mQueue;
  std::string mOutput;
  bool mIsReading = false;
  bool mIsWriting = false;
  /** No further request is read. */
  bool mIsClosing = false;
  /** The final response is being written or was. */
  bool mHasFinalResponse = false;
  bool mIsClosed = false;
  instant mLastActivityAt;
  instant mRequestStartedAt;
  instant mCloseAt;
};

} // namespace citronpulley

#endif
