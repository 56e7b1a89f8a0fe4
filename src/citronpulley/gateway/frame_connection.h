#ifndef CITRONPULLEY_GATEWAY_FRAME_CONNECTION_H
#define CITRONPULLEY_GATEWAY_FRAME_CONNECTION_H

#include "citronpulley/base/stream_compression.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace citronpulley {

/**
 * TCP connection that carries length-prefixed frames: a 32-bit big-endian length, then the
 * compressed payload. Each direction is one compression stream, so that earlier frames serve as the
 * dictionary of later ones. Not thread-safe.
 */
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
  /** Largest frame before and after compression, many times the size of a usual configuration. */
  static constexpr std::uint32_t kMaxFrameBytes = 32U * 1024 * 1024;
  /** Buffered bytes for a slow peer beyond which the connection is closed. */
  static constexpr std::size_t kMaxPendingBytes = 48UL * 1024 * 1024;
  /** TCP_USER_TIMEOUT in milliseconds: unacknowledged data for this long ends the connection. */
  static constexpr unsigned kUnackedTimeoutMs = 1'000;

  using on_frame = std::function<void(const std::shared_ptr<frame_connection>&, std::string)>;
  using on_close = std::function<void()>;

  frame_connection(boost::asio::ip::tcp::socket aSocket, on_frame aOnFrame, on_close aOnClose);

  /** Starts to read and write; the socket must be connected. */
  void Start();

  /**
   * Compresses and sends a frame; closes the connection if more than kMaxPendingBytes would be
   * buffered.
   */
  void Send(const std::string& aFrame);

  void Close();

  bool IsClosed() const noexcept { return mIsClosed; }

private:
  void ReadLength();
  void ReadBody(std::uint32_t aLength);
  void Write();

  boost::asio::ip::tcp::socket mSocket;
  on_frame mOnFrame;
  on_close mOnClose;
  stream_compressor mCompressor;
  stream_decompressor mDecompressor;
  std::array<unsigned char, 4> mLength{};
  std::string mBody;
  std::string mPending;
  std::string mWriting;
  bool mIsStarted = false;
  bool mIsWriting = false;
  bool mIsClosed = false;
};

} // namespace citronpulley

#endif
