#include "citronpulley/runtime/backend_client.h"

#include "citronpulley/runtime/event_loop_thread.h"
#include "citronpulley/runtime/http_fields.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <charconv>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace citronpulley {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxIdleConnectionsPerServer = 64;

tcp::endpoint ToEndpoint(const server_name& aServer)
{
  const std::string& text = aServer.mValue;
  const std::size_t colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon != std::string::npos) {
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  }
  boost::system::error_code ignored;
  return { asio::ip::make_address(text.substr(0, colon), ignored), port };
}

/**
 * @return whether an idle connection can carry another request: the backend server has neither
 *         closed it nor sent bytes that belong to no request
 */
bool IsReusable(beast::tcp_stream& aStream) noexcept
{
  char byte = 0;
  return ::recv(aStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

struct backend_client::impl
{
  impl(asio::io_context& aContext,
       std::string aLocalAddress,
       const caller_limits& aLimits,
       std::function<void(backend_finished)> aOnFinished)
    : mContext(aContext)
    , mLocalAddress(std::move(aLocalAddress))
    , mLimits(aLimits)
    , mOnFinished(std::move(aOnFinished))
  {
  }

  asio::io_context& mContext;
  std::string mLocalAddress;
  caller_limits mLimits;
  std::function<void(backend_finished)> mOnFinished;
  std::map<server_name, std::vector<std::unique_ptr<beast::tcp_stream>>> mIdleConnections;
  std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> mExchanges;
};

/** Sends one request on one connection and reads its answer. */
class backend_client::exchange : public std::enable_shared_from_this<exchange>
{
public:
  exchange(std::shared_ptr<impl> aClient, send_to_backend aRequest, microseconds aRemaining)
    : mClient(std::move(aClient))
    , mDispatch(aRequest.mDispatch)
    , mServer(std::move(aRequest.mServer))
    , mRemaining(aRemaining)
    , mStartedAt(std::chrono::steady_clock::now())
  {
    mRequest.method_string(aRequest.mRequest.mMethod);
    mRequest.target(aRequest.mRequest.mTarget);
    mRequest.version(11);
    for (const http_header& header : aRequest.mRequest.mHeaders) {
      mRequest.insert(header.mName, header.mValue);
    }
    mRequest.set(http::field::host, mServer.mValue);
    mRequest.set("Citronpulley-Deadline-Ms", std::to_string(mRemaining.count() / 1'000));
    mRequest.body() = std::move(aRequest.mRequest.mBody);
    mRequest.prepare_payload();
  }

  void Start()
  {
    if (mRemaining <= microseconds(0)) {
      // The process was suspended between the decision to send and this call.
      Fail(error_code::DeadlineExceeded, step::Connect, "the deadline is over", false);
      return;
    }
    std::vector<std::unique_ptr<beast::tcp_stream>>& idleConnections =
      mClient->mIdleConnections[mServer];
    while (!idleConnections.empty()) {
      mStream = std::move(idleConnections.back());
      idleConnections.pop_back();
      if (IsReusable(*mStream)) {
        Write();
        return;
      }
    }
    Connect();
  }

  void Close()
  {
    mIsClosed = true;
    if (mStream != nullptr) {
      mStream->close();
    }
  }

private:
  /**
   * @return timeout of the socket: the time left until the deadline and a margin, so that the
   *         decision logic detects a missed deadline before the socket does
   */
  std::chrono::microseconds GetTimeout() const
  {
    constexpr std::chrono::milliseconds kTimeoutMargin{ 500 };
    const auto used = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - mStartedAt);
    return std::max(std::chrono::microseconds(mRemaining) - used, std::chrono::microseconds(0)) +
           kTimeoutMargin;
  }

  void Connect()
  {
    mStream = std::make_unique<beast::tcp_stream>(mClient->mContext);
    beast::error_code failure;
    tcp::socket& socket = mStream->socket();
    socket.open(tcp::v4(), failure);
    if (!failure) {
      socket.bind({ asio::ip::make_address(mClient->mLocalAddress), 0 }, failure);
    }
    if (failure) {
      Fail(error_code::Internal, step::Connect, failure.message(), false);
      return;
    }
    mStream->expires_after(GetTimeout());
    mStream->async_connect(
      ToEndpoint(mServer), [self = shared_from_this()](beast::error_code aFailure) {
        if (aFailure) {
          self->Fail(error_code::ConnectionLost, step::Connect, aFailure.message(), false);
          return;
        }
        beast::error_code ignored;
        self->mStream->socket().set_option(tcp::no_delay(true), ignored);
        self->Write();
      });
  }

  void Write()
  {
    mStream->expires_after(GetTimeout());
    http::async_write(*mStream,
                      mRequest,
                      [self = shared_from_this()](beast::error_code aFailure, std::size_t aBytes) {
                        if (aFailure) {
                          self->Fail(error_code::ConnectionLost,
                                     step::SendToBackend,
                                     aFailure.message(),
                                     aBytes > 0);
                          return;
                        }
                        self->Read();
                      });
  }

  void Read()
  {
    mParser.emplace();
    mParser->body_limit(static_cast<std::uint64_t>(mClient->mLimits.mMaxAnswerBytes));
    mParser->skip(mRequest.method() == http::verb::head);
    http::async_read(*mStream,
                     mBuffer,
                     *mParser,
                     [self = shared_from_this()](beast::error_code aFailure, std::size_t) {
                       self->HandleRead(aFailure);
                     });
  }

  void HandleRead(const beast::error_code& aFailure)
  {
    if (aFailure == http::error::body_limit || aFailure == http::error::header_limit ||
        aFailure == http::error::buffer_overflow) {
      Fail(
        error_code::BadBackendAnswer, step::ReadFromBackend, "the answer exceeds the limit", true);
      return;
    }
    if (aFailure) {
      Fail(error_code::ConnectionLost, step::ReadFromBackend, aFailure.message(), true);
      return;
    }
    if (mParser->need_eof() && !mParser->keep_alive() && !mParser->get().has_content_length() &&
        !mParser->chunked() && mParser->get().body().size() > 0) {
      // Without a length, a complete answer cannot be distinguished from one that a lost connection
      // has truncated.
      Fail(error_code::BadBackendAnswer,
           step::ReadFromBackend,
           "the answer has no length, so that a cut would go unnoticed",
           true);
      return;
    }
    const bool keepsAlive = mParser->keep_alive() && mBuffer.size() == 0;
    auto message = mParser->release();
    http_answer answer;
    answer.mStatus = static_cast<std::uint16_t>(message.result_int());
    for (const auto& field : message) {
      answer.mHeaders.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    answer.mBody = std::move(message.body());
    std::vector<std::unique_ptr<beast::tcp_stream>>& idleConnections =
      mClient->mIdleConnections[mServer];
    if (keepsAlive && !mIsClosed && idleConnections.size() < kMaxIdleConnectionsPerServer) {
      mStream->expires_never();
      idleConnections.push_back(std::move(mStream));
    }
    Finish(std::move(answer));
  }

  void Fail(error_code aCode, step aStep, std::string aMessage, bool aMayHaveRun)
  {
    Finish(
      backend_failure{ MakeError(aCode, aStep, mServer.mValue, std::move(aMessage)), aMayHaveRun });
  }

  void Finish(backend_outcome aOutcome)
  {
    if (mIsClosed) {
      return;
    }
    mIsClosed = true;
    mClient->mExchanges.erase(mDispatch);
    mClient->mOnFinished({ mDispatch, std::move(aOutcome) });
  }

  std::shared_ptr<impl> mClient;
  std::uint64_t mDispatch;
  server_name mServer;
  microseconds mRemaining;
  std::chrono::steady_clock::time_point mStartedAt;
  std::unique_ptr<beast::tcp_stream> mStream;
  beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
  http::request<http::string_body> mRequest;
  std::optional<http::response_parser<http::string_body>> mParser;
  bool mIsClosed = false;
};

backend_client::backend_client(event_loop_thread& aThread,
                               std::string aLocalAddress,
                               const caller_limits& aLimits,
                               std::function<void(backend_finished)> aOnFinished)
  : mImpl(std::make_shared<impl>(aThread.GetContext(),
                                 std::move(aLocalAddress),
                                 aLimits,
                                 std::move(aOnFinished)))
{
}

backend_client::~backend_client() = default;

void backend_client::Send(send_to_backend aRequest, microseconds aRemaining)
{
  const std::uint64_t dispatch = aRequest.mDispatch;
  const auto started = std::make_shared<exchange>(mImpl, std::move(aRequest), aRemaining);
  mImpl->mExchanges.emplace(dispatch, started);
  started->Start();
}

void backend_client::Cancel(std::uint64_t aDispatch)
{
  const auto found = mImpl->mExchanges.find(aDispatch);
  if (found == mImpl->mExchanges.end()) {
    return;
  }
  const std::shared_ptr<exchange> cancelled = found->second;
  mImpl->mExchanges.erase(found);
  cancelled->Close();
}

} // namespace citronpulley
