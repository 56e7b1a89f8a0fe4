#include "citronpulley/gateway/frame_connection.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <utility>

namespace citronpulley {

namespace asio = boost::asio;

frame_connection::frame_connection(asio::ip::tcp::socket aSocket,
                                   on_frame aOnFrame,
                                   on_close aOnClose)
  : mSocket(std::move(aSocket))
  , mOnFrame(std::move(aOnFrame))
  , mOnClose(std::move(aOnClose))
{
}

void frame_connection::Start()
{
  boost::system::error_code ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const unsigned timeout = kUnackedTimeoutMs;
  ::setsockopt(mSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  mIsStarted = true;
  ReadLength();
  Write();
}

void frame_connection::ReadLength()
{
  asio::async_read(
    mSocket,
    asio::buffer(mLength),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t) {
      if (self->mIsClosed) {
        return;
      }
      std::uint32_t length = 0;
      for (const unsigned char byte : self->mLength) {
        length = length << 8U | byte;
      }
      if (aError || length > kMaxFrameBytes) {
        self->Close();
        return;
      }
      self->ReadBody(length);
    });
}

void frame_connection::ReadBody(std::uint32_t aLength)
{
  mBody.resize(aLength);
  asio::async_read(
    mSocket,
    asio::buffer(mBody),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t) {
      if (self->mIsClosed) {
        return;
      }
      if (aError) {
        self->Close();
        return;
      }
      result<std::string> frame =
        self->mDecompressor.Decompress(std::exchange(self->mBody, {}), kMaxFrameBytes);
      if (!frame) {
        self->Close();
        return;
      }
      self->mOnFrame(self, std::move(frame.Get()));
      if (!self->mIsClosed) {
        self->ReadLength();
      }
    });
}

void frame_connection::Send(const std::string& aFrame)
{
  if (mIsClosed) {
    return;
  }
  const std::string compressed = mCompressor.Compress(aFrame);
  if (mPending.size() + compressed.size() > kMaxPendingBytes) {
    Close();
    return;
  }
  const auto length = static_cast<std::uint32_t>(compressed.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    mPending.push_back(static_cast<char>(length >> static_cast<unsigned>(shift) & 0xFFU));
  }
  mPending += compressed;
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

void frame_connection::Close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  boost::system::error_code ignored;
  mSocket.close(ignored);
  if (const auto onClose = std::exchange(mOnClose, {})) {
    onClose();
  }
}

} // namespace citronpulley
