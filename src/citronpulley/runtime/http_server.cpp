#include "citronpulley/runtime/http_server.h"

#include "citronpulley/node/caller_request.h"
#include "citronpulley/runtime/duty_thread.h"
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

/** Reply to a request that could not be read, or nothing when the connection just ended. */
std::optional<http_answer> RefuseUnread(const beast::error_code& aFailure)
{
  if (aFailure == http::error::end_of_stream || aFailure == asio::error::connection_reset ||
      aFailure == asio::error::operation_aborted) {
    return std::nullopt;
  }
  if (aFailure == http::error::header_limit) {
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

struct http_server::content
{
  content(asio::io_context& aContext, const caller_limits& aLimits, handlers aHandlers)
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
  std::unordered_map<std::uint64_t, std::weak_ptr<session>> mWaiting;
  std::uint64_t mLastRequest = 0;
  std::int64_t mConnections = 0;
};

/** Connection of one client; handles one request at a time. */
class http_server::session : public std::enable_shared_from_this<session>
{
public:
  session(tcp::socket aSocket, std::shared_ptr<content> aServer)
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

  void Reply(http_answer aAnswer, bool aMayKeepAlive)
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
    mResponse.keep_alive(aMayKeepAlive && mKeepsAlive);
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
          self->DiscardRest();
          return;
        }
        self->Read();
      });
  }

private:
  static constexpr std::size_t kReadSize = 8192;
  static constexpr std::size_t kMaxDiscardedReads = 256;
  static constexpr std::chrono::seconds kDiscardTime{ 1 };

  void ReadRequest()
  {
    // The time runs from the first byte, so that a sender cannot hold a connection byte by byte.
    // The stream's own timer would close the socket, and no refusal could be sent.
    mStream.expires_never();
    mReadTimer.expires_after(std::chrono::milliseconds(mServer->mLimits.mReadTimeoutMilliseconds));
    mReadTimer.async_wait([self = shared_from_this()](beast::error_code aFailure) {
      if (!aFailure) {
        self->mIsLate = true;
        self->mStream.cancel();
      }
    });
    http::async_read(mStream,
                     mBuffer,
                     *mParser,
                     [self = shared_from_this()](beast::error_code aFailure, std::size_t) {
                       self->mReadTimer.cancel();
                       self->HandleRead(self->mIsLate ? beast::error_code(beast::error::timeout)
                                                      : aFailure);
                     });
  }

  /** Reads what the client still sends: closing at once would reset the connection before the reply
   * is read. */
  void DiscardRest()
  {
    mBuffer.clear();
    mStream.expires_after(kDiscardTime);
    mStream.async_read_some(mBuffer.prepare(kReadSize),
                            [self = shared_from_this()](beast::error_code aFailure, std::size_t) {
                              if (!aFailure && ++self->mDiscardedReads < kMaxDiscardedReads) {
                                self->DiscardRest();
                              }
                            });
  }

  void HandleRead(const beast::error_code& aFailure)
  {
    if (aFailure) {
      mKeepsAlive = false;
      if (std::optional<http_answer> refusal = RefuseUnread(aFailure)) {
        Reply(std::move(*refusal), false);
      }
      return;
    }
    auto message = mParser->release();
    mKeepsAlive = message.keep_alive();
    mRequest = ++mServer->mLastRequest;
    mServer->mWaiting.emplace(mRequest, weak_from_this());
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
    WatchForClose();
    mServer->mHandlers.mOnRequest(std::move(request));
  }

  /** Notices that the client closes while its request runs. Half-closing counts as closing. */
  void WatchForClose()
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
          // The next request is there already; closing is noticed when the reply is sent.
          return;
        }
        self->mServer->mWaiting.erase(request);
        self->mServer->mHandlers.mOnGone({ request });
      });
  }

  beast::tcp_stream mStream;
  asio::steady_timer mReadTimer;
  std::shared_ptr<content> mServer;
  beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  http::response<http::string_body> mResponse;
  std::uint64_t mRequest = 0;
  std::size_t mDiscardedReads = 0;
  bool mKeepsAlive = true;
  bool mIsLate = false;
};

http_server::http_server(duty_thread& aThread, const caller_limits& aLimits, handlers aHandlers)
  : mContent(std::make_shared<content>(aThread.GetContext(), aLimits, std::move(aHandlers)))
{
}

http_server::~http_server() = default;

status http_server::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  beast::error_code failure;
  const tcp::endpoint endpoint(asio::ip::make_address(aAddress, failure), aPort);
  tcp::acceptor& acceptor = mContent->mAcceptor;
  const auto run = [&failure](auto&& aStep) {
    if (!failure) {
      aStep();
    }
  };
  run([&] { acceptor.open(endpoint.protocol(), failure); });
  run([&] { acceptor.set_option(asio::socket_base::reuse_address(true), failure); });
  run([&] { acceptor.bind(endpoint, failure); });
  run([&] { acceptor.listen(asio::socket_base::max_listen_connections, failure); });
  if (failure) {
    return error{
      failure, step::ReadRequest, aAddress + ":" + std::to_string(aPort), failure.message()
    };
  }
  struct accept_loop
  {
    static void Run(const std::shared_ptr<content>& aServer)
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
  accept_loop::Run(mContent);
  return std::monostate{};
}

void http_server::Reply(std::uint64_t aRequest, http_answer aAnswer)
{
  const auto found = mContent->mWaiting.find(aRequest);
  if (found == mContent->mWaiting.end()) {
    return;
  }
  const std::shared_ptr<session> waiting = found->second.lock();
  mContent->mWaiting.erase(found);
  if (waiting != nullptr) {
    waiting->Reply(std::move(aAnswer), true);
  }
}

} // namespace citronpulley
