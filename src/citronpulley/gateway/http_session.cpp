#include "citronpulley/gateway/http_session.h"

#include "citronpulley/gateway/clock.h"
#include "citronpulley/gateway/memory_budget.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace citronpulley {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadChunkBytes = 4'096;
/** A request is held twice: as received, and as sent to a backend server. */
constexpr std::size_t kRequestCopies = 2;
/**
 * Maximum size of the bytes between two parts of a chunked body, or after the last one. Neither
 * limit of the parser covers them, and it searches them again with each read.
 */
constexpr std::size_t kMaxChunkLineBytes = 16'384;
/** Delay after which a caller may repeat a request that found no memory, in seconds. */
constexpr const char* kMemoryRetryAfter = "0.5";

unsigned GetHttpStatus(const beast::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return 431;
  }
  if (aError == http::error::body_limit) {
    return 413;
  }
  return 400;
}

using request_parser = http::request_parser<http::string_body>;

/**
 * Passes bytes to the parser.
 *
 * @param aError `header_limit` also for a field that is too large for the parser to store, at which
 * it throws
 * @return number of bytes that the parser used
 */
std::size_t Parse(request_parser& aParser,
                  const asio::const_buffer& aBytes,
                  beast::error_code& aError)
{
  try {
    return aParser.put(aBytes, aError);
  } catch (const std::length_error&) {
    aError = http::error::header_limit;
    return 0;
  }
}

http_request ToRequest(http::request<http::string_body>&& aMessage)
{
  http_request request;
  request.mMethod = std::string(aMessage.method_string());
  request.mTarget = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.mFields.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  request.mBody = std::move(aMessage.body());
  return request;
}

} // namespace

void inbound_request::Respond(const http_response& aResponse)
{
  const std::shared_ptr<http_session> session = mSession.lock();
  if (mIsSettled || !session) {
    return;
  }
  mIsSettled = true;
  mOnCallerLeft = {};
  // Flush() adds `Connection: close`, because it is decided only when the response is sent.
  mEncoded = WriteResponse(aResponse, mMessage.mMethod == "HEAD", false);
  mReservation.Resize(mEncoded.size());
  session->Flush();
}

void inbound_request::Break()
{
  const std::shared_ptr<http_session> session = mSession.lock();
  if (!mIsSettled && session) {
    session->Close();
  }
}

struct http_session::parser_state
{
  beast::flat_buffer mBuffer;
  std::optional<request_parser> mMessage;
  bool mHasSentContinue = false;
  bool mWantsClose = false;
};

http_session::http_session(asio::ip::tcp::socket aSocket,
                           std::shared_ptr<http_session_context> aContext)
  : mSocket(std::move(aSocket))
  , mContext(std::move(aContext))
  , mParser(std::make_unique<parser_state>())
  , mInputReservation(mContext->mBudget)
  , mOutputReservation(mContext->mBudget)
  , mLastActivityAt(GetBootTime())
{
}

http_session::~http_session() = default;

void http_session::Start()
{
  beast::error_code ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  Read();
}

void http_session::Read()
{
  if (mIsReading || mIsClosed) {
    return;
  }
  if (mQueue.size() >= kMaxPipelined) {
    mMayHaveWaited = true;
    return;
  }
  mIsReading = true;
  mSocket.async_read_some(
    mParser->mBuffer.prepare(kReadChunkBytes),
    [self = shared_from_this()](const beast::error_code& aError, std::size_t aByteCount) {
      self->mIsReading = false;
      if (self->mIsClosed) {
        return;
      }
      if (aError) {
        self->Close();
        return;
      }
      if (std::exchange(self->mMayHaveWaited, false) && self->HasClientLeft()) {
        self->Close();
        return;
      }
      if (!self->mHasFinalResponse) {
        self->mParser->mBuffer.commit(aByteCount);
        self->mLastActivityAt = GetBootTime();
        self->HandleBytes();
      }
      self->Read();
    });
}

bool http_session::HasClientLeft()
{
  char next = 0;
  const ssize_t count =
    ::recv(mSocket.native_handle(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
  return count == 0;
}

bool http_session::HasClientLeftUnread()
{
  if (mIsReading || mQueue.size() < kMaxPipelined) {
    return false;
  }
  // Requests that were not read yet hide the end of the connection from a read.
  pollfd state{ mSocket.native_handle(), POLLRDHUP, 0 };
  return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool http_session::IsIdle() const noexcept
{
  return !mIsClosed && !mIsWriting && !mHasFinalResponse && mQueue.empty() &&
         !mParser->mMessage.has_value() && mParser->mBuffer.size() == 0;
}

void http_session::HandleBytes()
{
  while (!mIsClosing && !mIsClosed && mParser->mBuffer.size() > 0 &&
         mQueue.size() < kMaxPipelined && ParseRequest()) {
  }
}

bool http_session::ParseRequest()
{
  parser_state& state = *mParser;
  if (!state.mMessage) {
    const caller_limits limits = mContext->mLimits();
    state.mMessage.emplace();
    state.mMessage->eager(true);
    state.mMessage->header_limit(limits.mMaxHeaderBytes);
    state.mMessage->body_limit(limits.mMaxBodyBytes);
    if (const std::optional<std::size_t> maxBytes = mInputReservation.GetMaxBytes()) {
      state.mMessage->body_limit(
        std::min<std::uint64_t>(limits.mMaxBodyBytes, *maxBytes / kRequestCopies));
    }
    state.mHasSentContinue = false;
    mRequestStartedAt = mLastActivityAt;
  }
  beast::error_code error;
  const std::size_t used = Parse(*state.mMessage, state.mBuffer.data(), error);
  state.mBuffer.consume(used);
  if (error && error != http::error::need_more) {
    RejectRequest(GetHttpStatus(error));
    return false;
  }
  const bool isChunkLineTooLong = error == http::error::need_more &&
                                  state.mMessage->is_header_done() &&
                                  state.mBuffer.size() > kMaxChunkLineBytes;
  if (isChunkLineTooLong) {
    RejectRequest(GetHttpStatus(http::error::header_limit));
    return false;
  }
  if (!ReserveMemory()) {
    return false;
  }
  if (!state.mMessage->is_done()) {
    const bool isContinueExpected = state.mMessage->is_header_done() && !state.mHasSentContinue &&
                                    state.mMessage->get()[http::field::expect] == "100-continue";
    if (isContinueExpected && mQueue.empty() && !mIsWriting) {
      state.mHasSentContinue = true;
      mOutput = "HTTP/1.1 100 Continue\r\n\r\n";
      Write();
    }
    return used > 0 && state.mBuffer.size() > 0 && !error;
  }
  state.mWantsClose = !state.mMessage->get().keep_alive();
  mIsClosing = state.mWantsClose;
  auto request = std::make_shared<inbound_request>(
    weak_from_this(),
    ToRequest(state.mMessage->release()),
    std::exchange(mInputReservation, memory_reservation(mContext->mBudget)),
    mLastActivityAt);
  state.mMessage.reset();
  mQueue.push_back(request);
  mContext->mOnRequest(request);
  return true;
}

bool http_session::ReserveMemory()
{
  const std::size_t needed =
    kRequestCopies * mParser->mMessage->get().body().size() + mParser->mBuffer.size();
  if (mInputReservation.TryResize(needed)) {
    return true;
  }
  if (needed > mContext->mBudget->GetMaxMessageBytes()) {
    RejectRequest(413);
  } else {
    RejectRequest(503, { { std::string(kRetryAfterField), kMemoryRetryAfter } });
  }
  return false;
}

void http_session::RejectRequest(unsigned aStatus, http_fields aFields)
{
  if (mContext->mOnRejected) {
    mContext->mOnRejected(aStatus);
  }
  mIsClosing = true;
  mParser->mBuffer.consume(mParser->mBuffer.size());
  mParser->mMessage.reset();
  auto request = std::make_shared<inbound_request>(
    weak_from_this(),
    http_request{},
    std::exchange(mInputReservation, memory_reservation(mContext->mBudget)),
    mLastActivityAt);
  mQueue.push_back(request);
  request->Respond(MakeResponse(aStatus, {}, std::move(aFields)));
}

void http_session::Flush()
{
  if (mIsWriting || mIsClosed) {
    return;
  }
  while (!mQueue.empty() && mQueue.front()->mIsSettled) {
    std::string encoded = std::move(mQueue.front()->mEncoded);
    mQueue.pop_front();
    const bool isPartial = mParser->mMessage.has_value() || mParser->mBuffer.size() > 0;
    // Only the last response may close the connection, because requests behind it may be in
    // progress.
    const bool isLast = mQueue.empty() && (mIsClosing || (mContext->mIsStopping && !isPartial));
    if (isLast) {
      encoded.insert(encoded.find("\r\n\r\n") + 2, "Connection: close\r\n");
      mIsClosing = true;
      mHasFinalResponse = true;
    }
    if (mOutput.empty()) {
      mOutput = std::move(encoded);
    } else {
      mOutput += encoded;
    }
  }
  mOutputReservation.Resize(mOutput.size());
  if (!mOutput.empty()) {
    Write();
  }
}

void http_session::Write()
{
  mIsWriting = true;
  mLastActivityAt = GetBootTime();
  asio::async_write(mSocket,
                    asio::buffer(mOutput),
                    [self = shared_from_this()](const beast::error_code& aError, std::size_t) {
                      self->mIsWriting = false;
                      // A large response leaves no buffer behind on a kept connection.
                      self->mOutput = {};
                      self->mOutputReservation.Resize(0);
                      if (self->mIsClosed) {
                        return;
                      }
                      if (aError) {
                        self->Close();
                        return;
                      }
                      self->HandleWritten();
                    });
}

void http_session::HandleWritten()
{
  mLastActivityAt = GetBootTime();
  if (mHasFinalResponse && mQueue.empty()) {
    beast::error_code ignored;
    mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    mCloseAt = mLastActivityAt + kLingerTimeout;
    // Unread input at close would make the kernel send a reset, which can destroy the response in
    // transit.
    mParser->mBuffer.consume(mParser->mBuffer.size());
    Read();
    return;
  }
  Flush();
  if (!mIsWriting) {
    HandleBytes();
    Read();
  }
}

void http_session::CheckTimeouts(instant aNow)
{
  if (mIsClosed) {
    return;
  }
  if (mHasFinalResponse && !mIsWriting) {
    if (mCloseAt <= aNow) {
      Close();
    }
    return;
  }
  if (HasClientLeftUnread()) {
    Close();
    return;
  }
  const caller_limits limits = mContext->mLimits();
  if (mIsWriting) {
    if (mLastActivityAt + kTransferTimeout <= aNow) {
      Close();
    }
    return;
  }
  if (mParser->mMessage) {
    const bool isHeaderLate =
      !mParser->mMessage->is_header_done() && mRequestStartedAt + limits.mHeaderTimeout <= aNow;
    if (isHeaderLate || mLastActivityAt + kTransferTimeout <= aNow) {
      RejectRequest(408);
    }
    return;
  }
  if (mQueue.empty() && mLastActivityAt + limits.mIdleTimeout <= aNow) {
    Close();
  }
}

void http_session::Close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  beast::error_code ignored;
  mSocket.close(ignored);
  AbandonRequests();
}

void http_session::AbandonRequests()
{
  for (const std::shared_ptr<inbound_request>& request : std::exchange(mQueue, {})) {
    if (!request->mIsSettled) {
      request->mIsSettled = true;
      if (request->mOnCallerLeft) {
        std::exchange(request->mOnCallerLeft, {})();
      }
    }
  }
}

} // namespace citronpulley
