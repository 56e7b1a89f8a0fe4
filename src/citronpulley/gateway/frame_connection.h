#ifndef CITRONPULLEY_GATEWAY_FRAME_CONNECTION_H
#define CITRONPULLEY_GATEWAY_FRAME_CONNECTION_H

#include "citronpulley/base/frame_decoder.h"
#include "citronpulley/base/frame_encoder.h"
#include "citronpulley/base/instant.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace citronpulley {

/**
 * TCP connection that carries the frames of a `frame_encoder` in each direction. Closes itself when
 * a received frame is damaged, missing or repeated. Not thread-safe.
 */
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
  /** Largest frame before and after compression, many times the size of a usual configuration. */
  static constexpr std::size_t kMaxFrameBytes = 32UL * 1024 * 1024;
  /** Buffered bytes for a slow peer beyond which the connection is closed. */
  static constexpr std::size_t kMaxPendingBytes = 48UL * 1024 * 1024;
  /** TCP_USER_TIMEOUT in milliseconds: unacknowledged data for this long ends the connection. */
  static constexpr unsigned kUnackedTimeoutMs = 1'000;

  using on_frame = std::function<void(const std::shared_ptr<frame_connection>&, std::string)>;
  /** Called when received bytes are refused, with the address of the peer and the reason. */
  using on_refused = std::function<void(const std::string& aPeer, const std::string& aReason)>;

  frame_connection(boost::asio::ip::tcp::socket aSocket, on_frame aOnFrame, on_refused aOnRefused);

  /** Starts to read and write; the socket must be connected. */
  void Start();

  /**
   * Compresses and sends a frame; closes the connection if more than kMaxPendingBytes would be
   * buffered.
   */
  void Send(const std::string& aFrame);

  void Close();

  /** Reports bytes that cannot be used, and closes the connection. */
  void Refuse(const std::string& aReason);

  bool IsClosed() const noexcept { return mIsClosed; }

  /** @return time of the last received bytes; they may be part of a frame that is not complete */
  instant GetLastReceivedAt() const noexcept { return mLastReceivedAt; }

private:
  /** Size of the buffer for one read. It is small because a leader has one for each entry VM. */
  static constexpr std::size_t kReadBytes = 2UL * 1024;

  void Read();
  /** Hands on all complete frames. @return false if the connection was closed meanwhile */
  bool HandOnFrames();
  void Write();

  boost::asio::ip::tcp::socket mSocket;
  on_frame mOnFrame;
  on_refused mOnRefused;
  frame_encoder mEncoder;
  frame_decoder mDecoder{ kMaxFrameBytes };
  std::array<char, kReadBytes> mReadBuffer{};
  instant mLastReceivedAt;
  std::string mPending;
  std::string mWriting;
  bool mIsStarted = false;
  bool mIsWriting = false;
  bool mIsClosed = false;
};

} // namespace citronpulley

#endif
