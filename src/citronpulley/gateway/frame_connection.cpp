#include "citronpulley/gateway/frame_connection.h"

#include "citronpulley/gateway/clock.h"

#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <utility>

namespace citronpulley {

namespace asio = boost::asio;

frame_connection::frame_connection(asio::ip::tcp::socket aSocket,
                                   on_frame aOnFrame,
                                   on_refused aOnRefused)
  : mSocket(std::move(aSocket))
  , mOnFrame(std::move(aOnFrame))
  , mOnRefused(std::move(aOnRefused))
{
}

void frame_connection::Start()
{
  boost::system::error_code ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const unsigned timeout = kUnackedTimeoutMs;
  ::setsockopt(mSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  mIsStarted = true;
  Read();
  Write();
}

void frame_connection::Read()
{
  mSocket.async_read_some(
    asio::buffer(mReadBuffer),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t aCount) {
      if (self->mIsClosed) {
        return;
      }
      if (aError) {
        self->Close();
        return;
      }
      self->mLastReceivedAt = GetBootTime();
      self->mDecoder.Append({ self->mReadBuffer.data(), aCount });
      if (self->HandOnFrames()) {
        self->Read();
      }
    });
}

bool frame_connection::HandOnFrames()
{
  while (true) {
    result<std::optional<std::string>> frame = mDecoder.Next();
    if (!frame) {
      Refuse(frame.GetError().mMessage);
      return false;
    }
    if (!frame.Get()) {
      return true;
    }
    mOnFrame(shared_from_this(), std::move(*frame.Get()));
    if (mIsClosed) {
      return false;
    }
  }
}

void frame_connection::Send(const std::string& aFrame)
{
  if (mIsClosed) {
    return;
  }
  const std::string encoded = mEncoder.Encode(aFrame);
  if (mPending.size() + encoded.size() > kMaxPendingBytes) {
    Close();
    return;
  }
  mPending += encoded;
  Write();
}

void frame_connection::Write()
{
  if (!mIsStarted || mIsWriting || mIsClosed || mPending.empty()) {
    return;
  }
  mIsWriting = true;
  mWriting = std::exchange(mPending, {});
  asio::async_write(
    mSocket,
    asio::buffer(mWriting),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t) {
      self->mIsWriting = false;
      self->mWriting.clear();
      if (aError) {
        self->Close();
        return;
      }
      self->Write();
    });
}

void frame_connection::Refuse(const std::string& aReason)
{
  if (mIsClosed) {
    return;
  }
  boost::system::error_code failure;
  const asio::ip::tcp::endpoint peer = mSocket.remote_endpoint(failure);
  mOnRefused(failure ? "unknown" : peer.address().to_string(), aReason);
  Close();
}

void frame_connection::Close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  boost::system::error_code ignored;
  mSocket.close(ignored);
}

} // namespace citronpulley
