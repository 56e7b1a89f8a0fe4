#ifndef CITRONPULLEY_GATEWAY_BACKEND_CHANNEL_H
#define CITRONPULLEY_GATEWAY_BACKEND_CHANNEL_H

#include "citronpulley/base/instant.h"
#include "citronpulley/gateway/http_message.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace citronpulley {

/** How an exchange on a connection to a backend server ended. */
enum class channel_end : std::uint8_t
{
  /** A whole response with the id of the request. */
  Answered,
  /** Not a byte of the request was sent. */
  NotSent,
  /** The connection ended before the whole response. */
  Lost,
  /** Bytes that are no response. */
  Malformed,
};

/** Request on its way to a backend server. */
struct channel_request
{
  /** Whole message. */
  std::string mEncoded;
  bool mIsHead = false;
  /** Id that the response must repeat; empty when it need not. */
  std::string mRequestId;
  std::string mRequestIdName;
};

/**
 * Connection to a backend server, which carries one request at a time. It reads also while it is
 * idle: whatever arrives then belongs to no request, and the connection is not used again.
 */
class backend_channel : public std::enable_shared_from_this<backend_channel>
{
public:
  /** Time for a new connection. */
  static constexpr microseconds kConnectTimeout{ 250'000 };
  /** Sent bytes without an acknowledgement for this time end the connection, in milliseconds. */
  static constexpr unsigned kUnackedTimeoutMs = 700;
  /** Idle time after which a backend server that states none may close, with a margin. */
  static constexpr microseconds kDefaultIdleTimeout{ 4'000'000 };
  /** Part of the idle time that a backend server states that is used. */
  static constexpr double kIdleTimeoutFraction = 0.6;

  using on_end = std::function<void(channel_end aEnd, http_response aResponse)>;

  explicit backend_channel(boost::asio::ip::tcp::socket aSocket);
  ~backend_channel();
  backend_channel(const backend_channel&) = delete;
  backend_channel& operator=(const backend_channel&) = delete;

  /** Connects; without a query the connection is then idle. */
  void Connect(const boost::asio::ip::tcp::endpoint& aEndpoint,
               std::function<void(bool)> aOnConnected);

  /** Keeps an idle connection for the request that is sent next. */
  void Reserve() noexcept { mIsReserved = true; }

  /** Sends a request on an idle connection. */
  void Send(channel_request aRequest, on_end aOnEnd);

  /** Closes the connection; a request in progress gets no callback any more. */
  void Close();

  /** Ends a connection attempt that takes too long. */
  void CheckTimeouts(instant aNow);

  bool IsClosed() const noexcept { return mIsClosed; }

  /** @return true when a request may be sent */
  bool IsIdle(instant aNow) const noexcept
  {
    return mIsConnected && !mIsClosed && !mOnEnd && !mIsWriting && !mIsReserved &&
           aNow < mIdleUntil;
  }

private:
  struct parser_state;

  void Read();
  void HandleBytes();
  void HandleConnectionEnd(bool aIsClean);
  /** @return true when the response belongs to the request in progress */
  bool HandleResponse();
  void EndRequest(channel_end aEnd, http_response aResponse = {});

  boost::asio::ip::tcp::socket mSocket;
  std::unique_ptr<parser_state> mParser;
  channel_request mRequest;
  on_end mOnEnd;
  std::function<void(bool)> mOnConnected;
  bool mIsConnected = false;
  bool mIsWriting = false;
  bool mIsClosed = false;
  bool mIsReusable = true;
  bool mIsReserved = false;
  instant mConnectDeadline;
  instant mIdleUntil;
  microseconds mIdleTimeout{ kDefaultIdleTimeout };
};

} // namespace citronpulley

#endif
