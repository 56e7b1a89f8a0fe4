#ifndef CITRONPULLEY_BASE_FRAME_ENCODER_H
#define CITRONPULLEY_BASE_FRAME_ENCODER_H

#include "citronpulley/base/stream_compression.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace citronpulley {

/**
 * Writes the frames of one direction of a connection; `frame_decoder` reads them. The direction
 * begins with kFramePreface. Each frame has a header with the length of the compressed payload and
 * a checksum of the plain payload and the number of the frame, both 32 bits in big-endian order.
 * Not thread-safe.
 */
class frame_encoder
{
public:
  /** @return bytes of the next frame; those of the first one begin with the preface */
  std::string Encode(std::string_view aPayload);

private:
  stream_compressor mCompressor;
  /** Number of frames encoded so far. */
  std::uint64_t mCount = 0;
};

} // namespace citronpulley

#endif
