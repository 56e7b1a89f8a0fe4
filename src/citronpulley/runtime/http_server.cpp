#include "citronpulley/runtime/http_server.h"

#include "citronpulley/node/caller_request.h"
#include "citronpulley/runtime/event_loop_thread.h"
#include "citronpulley/runtime/http_fields.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <chrono>
#include <optional>
#include <unordered_map>
#include <utility>

namespace citronpulley {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

http_answer MakeRefusal(error_code aCode, std::string aMessage)
{
  return MakeErrorAnswer(MakeError(aCode, step::ReadRequest, "", std::move(aMessage)),
                         request_outcome::NotRun);
}

/**
 * @return refusal of a request that could not be read; nothing if the connection ended or the read
 *         was cancelled
 */
std::optional<http_answer> MakeReadRefusal(const beast::error_code& aFailure)
{
  if (aFailure == http::error::end_of_stream || aFailure == asio::error::connection_reset ||
      aFailure == asio::error::operation_aborted) {
    return std::nullopt;
  }
  if (aFailure == http::error::header_limit || aFailure == http::error::buffer_overflow) {
    return MakeRefusal(error_code::HeadersTooLarge, "the headers exceed the limit");
  }
  if (aFailure == http::error::body_limit) {
    return MakeRefusal(error_code::BodyTooLarge, "the body exceeds the limit");
  }
  if (aFailure == beast::error::timeout) {
    return MakeRefusal(error_code::SlowSender, "the request did not arrive in time");
  }
  return MakeRefusal(error_code::BadRequest, "the request is malformed: " + aFailure.message());
}

} // namespace

struct http_server::impl
{
  impl(asio::io_context& aContext, const caller_limits& aLimits, handlers aHandlers)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mLimits(aLimits)
    , mHandlers(std::move(aHandlers))
  {
  }

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  caller_limits mLimits;
  handlers mHandlers;
  std::unordered_map<std::uint64_t, std::weak_ptr<session>> mPendingSessions;
  std::uint64_t mLastRequestNumber = 0;
  std::int64_t mConnections = 0;
};

/** Connection of one client; processes one request at a time. */
class http_server::session : public std::enable_shared_from_this<session>
{
public:
  session(tcp::socket aSocket, std::shared_ptr<impl> aServer)
    : mStream(std::move(aSocket))
    , mReadTimer(mStream.get_executor())
    , mServer(std::move(aServer))
  {
    ++mServer->mConnections;
  }

  ~session() { --mServer->mConnections; }
  session(const session&) = delete;
  session& operator=(const session&) = delete;

  void Read()
  {
    mParser.emplace();
    mParser->header_limit(static_cast<std::uint32_t>(mServer->mLimits.mMaxHeaderBytes));
    mParser->body_limit(static_cast<std::uint64_t>(mServer->mLimits.mMaxBodyBytes));
    if (mBuffer.size() > 0) {
      ReadRequest();
      return;
    }
    mStream.expires_after(std::chrono::milliseconds(mServer->mLimits.mIdleTimeoutMilliseconds));
    mStream.async_read_some(
      mBuffer.prepare(kReadSize),
      [self = shared_from_this()](beast::error_code aFailure, std::size_t aBytes) {
        if (aFailure) {
          return;
        }
        self->mBuffer.commit(aBytes);
        self->ReadRequest();
      });
  }

  void Reply(http_answer aAnswer, bool aCanKeepAlive)
  {
    mRequest = 0;
    mResponse = {};
    mResponse.result(aAnswer.mStatus);
    mResponse.version(11);
    for (const http_header& header : aAnswer.mHeaders) {
      if (IsEndToEndHeader(header.mName)) {
        mResponse.insert(header.mName, header.mValue);
      }
    }
    mResponse.body() = std::move(aAnswer.mBody);
    mResponse.keep_alive(aCanKeepAlive && mKeepsAlive);
    mResponse.prepare_payload();
    mStream.expires_after(std::chrono::milliseconds(mServer->mLimits.mReadTimeoutMilliseconds));
    http::async_write(
      mStream,
      mResponse,
      [self = shared_from_this()](beast::error_code aFailure, std::size_t /*aBytes*/) {
        if (aFailure) {
          return;
        }
        if (!self->mResponse.keep_alive()) {
          beast::error_code ignored;
          self->mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
          self->DiscardRemainingInput();
          return;
        }
        self->Read();
      });
  }

private:
  static constexpr std::size_t kReadSize = 8192;
  static constexpr std::size_t kMaxDiscardedReads = 256;
  static constexpr std::chrono::seconds kDiscardTimeout{ 1 };

  void ReadRequest()
  {
    // The timeout covers the complete request from its first byte, so that a client cannot occupy a
    // connection by sending single bytes. The timer of the stream is not used because it closes the
    // socket, so that no refusal could be sent.
    mStream.expires_never();
    mReadTimer.expires_after(std::chrono::milliseconds(mServer->mLimits.mReadTimeoutMilliseconds));
    mReadTimer.async_wait([self = shared_from_this()](beast::error_code aFailure) {
      if (!aFailure) {
        self->mIsReadTimedOut = true;
        self->mStream.cancel();
      }
    });
    http::async_read(mStream,
                     mBuffer,
                     *mParser,
                     [self = shared_from_this()](beast::error_code aFailure, std::size_t) {
                       self->mReadTimer.cancel();
                       self->HandleRead(self->mIsReadTimedOut
                                          ? beast::error_code(beast::error::timeout)
                                          : aFailure);
                     });
  }

  /**
   * Reads and discards what the client still sends, within a limit: closing at once would reset the
   * connection before the client has read the reply.
   */
  void DiscardRemainingInput()
  {
    mBuffer.clear();
    mStream.expires_after(kDiscardTimeout);
    mStream.async_read_some(mBuffer.prepare(kReadSize),
                            [self = shared_from_this()](beast::error_code aFailure, std::size_t) {
                              if (!aFailure && ++self->mDiscardedReads < kMaxDiscardedReads) {
                                self->DiscardRemainingInput();
                              }
                            });
  }

  void HandleRead(const beast::error_code& aFailure)
  {
    if (aFailure) {
      mKeepsAlive = false;
      if (std::optional<http_answer> refusal = MakeReadRefusal(aFailure)) {
        Reply(std::move(*refusal), false);
      }
      return;
    }
    auto message = mParser->release();
    mKeepsAlive = message.keep_alive();
    mRequest = ++mServer->mLastRequestNumber;
    mServer->mPendingSessions.emplace(mRequest, weak_from_this());
    http_request_received request;
    request.mRequest = mRequest;
    request.mMethod = std::string(message.method_string());
    request.mTarget = std::string(message.target());
    for (const auto& field : message) {
      request.mHeaders.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    request.mBody = std::move(message.body());
    beast::error_code ignored;
    request.mClientAddress = mStream.socket().remote_endpoint(ignored).address().to_string();
    mStream.expires_never();
    WatchForDisconnect();
    mServer->mHandlers.mOnRequest(std::move(request));
  }

  /**
   * Calls `mOnDisconnected` if the client closes the connection while its request is processed.
   * Half-closing counts as closing.
   */
  void WatchForDisconnect()
  {
    mStream.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), request = mRequest](beast::error_code aFailure) {
        if (aFailure || self->mRequest != request) {
          return;
        }
        char byte = 0;
        const ssize_t read =
          ::recv(self->mStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (read > 0) {
          // The client has already sent its next request. If it disconnects, writing the reply
          // detects that.
          return;
        }
        self->mServer->mPendingSessions.erase(request);
        self->mServer->mHandlers.mOnDisconnected({ request });
      });
  }

  beast::tcp_stream mStream;
  asio::steady_timer mReadTimer;
  std::shared_ptr<impl> mServer;
  beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
  std::optional<http::request_parser<http::string_body>> mParser;
  http::response<http::string_body> mResponse;
  std::uint64_t mRequest = 0;
  std::size_t mDiscardedReads = 0;
  bool mKeepsAlive = true;
  bool mIsReadTimedOut = false;
};

http_server::http_server(event_loop_thread& aThread,
                         const caller_limits& aLimits,
                         handlers aHandlers)
  : mImpl(std::make_shared<impl>(aThread.GetContext(), aLimits, std::move(aHandlers)))
{
}

http_server::~http_server() = default;

status http_server::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  beast::error_code failure;
  const tcp::endpoint endpoint(asio::ip::make_address(aAddress, failure), aPort);
  tcp::acceptor& acceptor = mImpl->mAcceptor;
  const auto runUnlessFailed = [&failure](auto&& aStep) {
    if (!failure) {
      aStep();
    }
  };
  runUnlessFailed([&] { acceptor.open(endpoint.protocol(), failure); });
  runUnlessFailed([&] { acceptor.set_option(asio::socket_base::reuse_address(true), failure); });
  runUnlessFailed([&] { acceptor.bind(endpoint, failure); });
  runUnlessFailed([&] { acceptor.listen(asio::socket_base::max_listen_connections, failure); });
  if (failure) {
    return error{
      failure, step::ReadRequest, aAddress + ":" + std::to_string(aPort), failure.message()
    };
  }
  struct accept_loop
  {
    static void Run(const std::shared_ptr<impl>& aServer)
    {
      aServer->mAcceptor.async_accept([aServer](beast::error_code aFailure, tcp::socket aSocket) {
        if (aFailure == asio::error::operation_aborted) {
          return;
        }
        if (!aFailure && aServer->mConnections < aServer->mLimits.mMaxConnections) {
          beast::error_code ignored;
          aSocket.set_option(tcp::no_delay(true), ignored);
          std::make_shared<session>(std::move(aSocket), aServer)->Read();
        }
        Run(aServer);
      });
    }
  };
  accept_loop::Run(mImpl);
  return std::monostate{};
}

void http_server::Reply(std::uint64_t aRequest, http_answer aAnswer)
{
  const auto found = mImpl->mPendingSessions.find(aRequest);
  if (found == mImpl->mPendingSessions.end()) {
    return;
  }
  const std::shared_ptr<session> pendingSession = found->second.lock();
  mImpl->mPendingSessions.erase(found);
  if (pendingSession != nullptr) {
    pendingSession->Reply(std::move(aAnswer), true);
  }
}

} // namespace citronpulley
