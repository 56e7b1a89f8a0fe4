#ifndef CITRONPULLEY_BASE_FRAME_DECODER_H
#define CITRONPULLEY_BASE_FRAME_DECODER_H

#include "citronpulley/base/result.h"
#include "citronpulley/base/stream_compression.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronpulley {

/**
 * Reads the frames that a `frame_encoder` wrote. A frame that is damaged, missing or repeated is an
 * error, since later frames are compressed with it as dictionary and rely on what it said. Not
 * thread-safe.
 */
class frame_decoder
{
public:
  /** @param aMaxFrameBytes maximum size of a frame before and after compression */
  explicit frame_decoder(std::size_t aMaxFrameBytes) noexcept
    : mMaxFrameBytes(aMaxFrameBytes)
  {
  }

  /** Adds received bytes. */
  void Append(std::string_view aBytes) { mBuffer += aBytes; }

  /**
   * @return the payload of the next frame, nothing while it is incomplete, or `bad_message`; after
   * an error the connection must be closed, because no later frame can be read
   */
  result<std::optional<std::string>> Next();

private:
  std::size_t mMaxFrameBytes;
  stream_decompressor mDecompressor;
  std::string mBuffer;
  /** Number of frames decoded so far. */
  std::uint64_t mCount = 0;
  bool mHasPreface = false;
};

} // namespace citronpulley

#endif
