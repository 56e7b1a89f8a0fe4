#include "citronpulley/gateway/backend_channel.h"

#include "citronpulley/gateway/clock.h"
#include "citronpulley/steering/key_hash.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <optional>
#include <utility>

namespace citronpulley {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadChunkBytes = 8'192;
constexpr std::uint32_t kMaxHeaderBytes = 65'536;
/**
 * Maximum size of the bytes between two parts of a chunked body, or after the last one. The parser
 * has no limit for them, searches them again with each read, and throws at a trailer of 64 KB.
 */
constexpr std::size_t kMaxChunkLineBytes = 32'768;
/** Size of a message beside its body that the memory budget counts. */
constexpr std::size_t kMessageOverheadBytes = 1'024;
/** Interim and duplicate responses before the one to a request; a server that sends more is faulty.
 */
constexpr int kMaxSkippedResponses = 16;

http_response ToResponse(http::response<http::string_body>&& aMessage)
{
  http_response response;
  response.mStatus = aMessage.result_int();
  response.mReasonPhrase = std::string(aMessage.reason());
  for (const auto& field : aMessage) {
    response.mFields.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  response.mBody = std::move(aMessage.body());
  return response;
}

/** @return `timeout=N` of a Keep-Alive field, N in seconds up to 3600; nothing when it is absent */
std::optional<microseconds> ParseKeepAliveTimeout(std::string_view aValue)
{
  constexpr std::string_view kName = "timeout=";
  const std::size_t position = aValue.find(kName);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const char* first = aValue.data() + position + kName.size();
  const auto [last, code] = std::from_chars(first, aValue.data() + aValue.size(), seconds);
  if (code != std::errc{} || seconds < 0 || seconds > 3'600) {
    return std::nullopt;
  }
  return microseconds(seconds * 1'000'000);
}

} // namespace

struct backend_channel::parser_state
{
  beast::flat_buffer mBuffer;
  std::optional<http::response_parser<http::string_body>> mMessage;
};

backend_channel::backend_channel(asio::ip::tcp::socket aSocket,
                                 std::shared_ptr<memory_budget> aBudget)
  : mSocket(std::move(aSocket))
  , mReservation(std::move(aBudget))
  , mParser(std::make_unique<parser_state>())
{
}

backend_channel::~backend_channel() = default;

void backend_channel::Connect(const asio::ip::tcp::endpoint& aEndpoint,
                              std::function<void(bool)> aOnConnected)
{
  mOnConnected = std::move(aOnConnected);
  mConnectDeadline = GetBootTime() + kConnectTimeout;
  mSocket.async_connect(aEndpoint, [self = shared_from_this()](const beast::error_code& aError) {
    if (self->mIsClosed || self->mIsConnected) {
      return;
    }
    const auto onConnected = std::exchange(self->mOnConnected, {});
    if (aError) {
      self->Close();
    } else {
      beast::error_code ignored;
      self->mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
      const unsigned timeout = kUnackedTimeoutMs;
      ::setsockopt(
        self->mSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
      self->mIsConnected = true;
      self->mIdleUntil = GetBootTime() + self->mIdleTimeout;
      self->Read();
    }
    if (onConnected) {
      onConnected(!aError);
    }
  });
}

void backend_channel::CheckTimeouts(instant aNow)
{
  if (mIsClosed) {
    return;
  }
  if (!mIsConnected && mConnectDeadline <= aNow) {
    const auto onConnected = std::exchange(mOnConnected, {});
    Close();
    if (onConnected) {
      onConnected(false);
    }
  } else if (mIsConnected && !mOnEnd && !mIsWriting && !mIsReserved && mIdleUntil <= aNow) {
    Close();
  }
}

void backend_channel::Send(channel_request aRequest, on_end aOnEnd)
{
  mRequest = std::move(aRequest);
  mOnEnd = std::move(aOnEnd);
  mIsReserved = false;
  if (mRequest.mMaySend && !mRequest.mMaySend()) {
    mIdleUntil = GetBootTime() + mIdleTimeout;
    std::exchange(mOnEnd, {})(channel_end::Withheld, {});
    return;
  }
  mCarriedIds.push_back(ComputeIdHash(mRequest.mRequestId));
  if (mCarriedIds.size() > kKeptIds) {
    mCarriedIds.pop_front();
  }
  mIsWriting = true;
  // The first write is synchronous: if it fails, no byte was sent and the request can be retried.
  beast::error_code error;
  mSocket.non_blocking(true, error);
  std::size_t written = 0;
  if (!error) {
    written = mSocket.write_some(asio::buffer(mRequest.mEncoded), error);
  }
  if (error && error != asio::error::would_block) {
    mIsWriting = false;
    EndRequest(channel_end::NotSent);
    return;
  }
  if (written == mRequest.mEncoded.size()) {
    mIsWriting = false;
    mRequest.mEncoded.clear();
    return;
  }
  asio::async_write(mSocket,
                    asio::buffer(mRequest.mEncoded) + written,
                    [self = shared_from_this()](const beast::error_code& aError, std::size_t) {
                      self->mIsWriting = false;
                      if (aError && !self->mIsClosed) {
                        self->HandleConnectionEnd(false);
                      }
                    });
}

bool backend_channel::MayAnswer(const std::string& aRequestId) const
{
  return !mCarriedIds.empty() &&
         (aRequestId.empty() ||
          std::ranges::find(mCarriedIds, ComputeIdHash(aRequestId)) != mCarriedIds.end());
}

void backend_channel::Read()
{
  mSocket.async_read_some(
    mParser->mBuffer.prepare(kReadChunkBytes),
    [self = shared_from_this()](const beast::error_code& aError, std::size_t aByteCount) {
      if (self->mIsClosed) {
        return;
      }
      if (aError) {
        self->HandleConnectionEnd(aError == asio::error::eof);
        return;
      }
      self->mParser->mBuffer.commit(aByteCount);
      if (!self->mOnEnd) {
        // Data that arrives while no request is in progress belongs to none.
        self->Close();
        return;
      }
      self->HandleBytes();
      if (!self->mIsClosed) {
        self->Read();
      }
    });
}

void backend_channel::HandleBytes()
{
  parser_state& state = *mParser;
  while (mOnEnd && state.mBuffer.size() > 0) {
    if (!state.mMessage) {
      state.mMessage.emplace();
      state.mMessage->eager(true);
      state.mMessage->header_limit(kMaxHeaderBytes);
      // Refuses a stated length at once; otherwise the parser would allocate it.
      if (const std::optional<std::size_t> maxBytes = mReservation.GetMaxBytes()) {
        state.mMessage->body_limit(*maxBytes);
      }
      state.mMessage->skip(mRequest.mIsHead);
    }
    beast::error_code error;
    const std::size_t used = state.mMessage->put(state.mBuffer.data(), error);
    state.mBuffer.consume(used);
    if (error && error != http::error::need_more) {
      EndRequest(error == http::error::body_limit ? channel_end::TooLarge : channel_end::Malformed);
      return;
    }
    if (!ReserveMemory()) {
      EndRequest(channel_end::TooLarge);
      return;
    }
    if (!state.mMessage->is_done()) {
      if (state.mMessage->is_header_done() && state.mBuffer.size() > kMaxChunkLineBytes) {
        EndRequest(channel_end::Malformed);
        return;
      }
      if (error || used == 0) {
        return;
      }
      continue;
    }
    if (HandleResponse()) {
      return;
    }
  }
}

bool backend_channel::ReserveMemory()
{
  const std::size_t body = mParser->mMessage->get().body().size();
  return mReservation.TryResizeWithinFree(body + mParser->mBuffer.size() + kMessageOverheadBytes);
}

bool backend_channel::HandleResponse()
{
  http::response_parser<http::string_body>& parser = *mParser->mMessage;
  const bool keepsAlive = parser.keep_alive() && !parser.need_eof();
  const std::string_view keepAlive = parser.get()["Keep-Alive"];
  const std::optional<microseconds> announcedTimeout = ParseKeepAliveTimeout(keepAlive);
  http_response response = ToResponse(parser.release());
  mParser->mMessage.reset();
  if (response.mStatus < 200) {
    return SkipResponse();
  }
  const std::string* id = FindField(response.mFields, mRequest.mRequestIdName);
  if (!mRequest.mRequestId.empty() && id != nullptr && *id != mRequest.mRequestId) {
    // Duplicate response to an earlier request; the response to this one follows.
    mIsReusable = false;
    return SkipResponse();
  }
  // Only a successful response has to carry the request id, and the first one on a connection
  // cannot belong to an earlier request.
  const bool mayLackId = response.mStatus >= 300 && !mHasCarriedRequest;
  const bool hasExpectedId = mRequest.mRequestId.empty() || id != nullptr || mayLackId;
  if (announcedTimeout) {
    mIdleTimeout = microseconds(static_cast<microseconds::rep>(
      static_cast<double>(announcedTimeout->count()) * kIdleTimeoutFraction));
  }
  mIsReusable = mIsReusable && keepsAlive && !mIsWriting && mParser->mBuffer.size() == 0;
  EndRequest(hasExpectedId ? channel_end::Answered : channel_end::Malformed, std::move(response));
  return true;
}

bool backend_channel::SkipResponse()
{
  if (++mSkippedResponses <= kMaxSkippedResponses) {
    return false;
  }
  EndRequest(channel_end::Malformed);
  return true;
}

void backend_channel::HandleConnectionEnd(bool aIsClean)
{
  if (!mOnEnd) {
    Close();
    return;
  }
  mIsReusable = false;
  std::optional<http::response_parser<http::string_body>>& message = mParser->mMessage;
  if (aIsClean && message && message->is_header_done() && message->need_eof()) {
    beast::error_code error;
    message->put_eof(error);
    if (!error && message->is_done() && HandleResponse()) {
      return;
    }
  }
  EndRequest(channel_end::Lost);
}

void backend_channel::EndRequest(channel_end aEnd, http_response aResponse)
{
  const auto onEnd = std::exchange(mOnEnd, {});
  mHasCarriedRequest = true;
  mSkippedResponses = 0;
  mReservation.Resize(0);
  if (aEnd != channel_end::Answered || !mIsReusable) {
    Close();
  } else {
    mIdleUntil = GetBootTime() + mIdleTimeout;
  }
  if (onEnd) {
    onEnd(aEnd, std::move(aResponse));
  }
}

void backend_channel::Close()
{
  beast::error_code ignored;
  if (mOnEnd && mIsConnected) {
    // A reset drops what the network still holds of the request; after an ordinary close it would
    // be delivered once a cut has healed.
    mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  mIsClosed = true;
  mOnEnd = {};
  mOnConnected = {};
  mSocket.close(ignored);
}

} // namespace citronpulley
