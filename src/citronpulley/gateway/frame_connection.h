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
 * TCP connection that carries frames: a length of four bytes, most significant first, and as many
 * bytes, compressed with the earlier frames of the direction as dictionary. Not thread-safe.
 */
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
  /** Largest frame before and after compression; a configuration fits many times. */
  static constexpr std::uint32_t kMaxFrameBytes = 32U * 1024 * 1024;
  /** Bytes that wait for a slow reader before the connection is given up. */
  static constexpr std::size_t kMaxPendingBytes = 48UL * 1024 * 1024;
  /** Sent bytes without an acknowledgement for this time end the connection, in milliseconds. */
  static constexpr unsigned kUnackedTimeoutMs = 1'000;

  using on_frame = std::function<void(const std::shared_ptr<frame_connection>&, std::string)>;
  using on_close = std::function<void()>;

  frame_connection(boost::asio::ip::tcp::socket aSocket, on_frame aOnFrame, on_close aOnClose);

  /** Begins to read and write; the socket is connected. */
  void Start();

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
