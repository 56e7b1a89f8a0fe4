#include "citronpulley/base/frame_encoder.h"

#include "citronpulley/base/frame_format.h"

namespace citronpulley {

namespace {

void AppendNumber(std::uint32_t aNumber, std::string& aBytes)
{
  for (int shift = 24; shift >= 0; shift -= 8) {
    aBytes.push_back(static_cast<char>(aNumber >> static_cast<unsigned>(shift) & 0xFFU));
  }
}

} // namespace

std::string frame_encoder::Encode(std::string_view aPayload)
{
  const std::string compressed = mCompressor.Compress(aPayload);
  std::string bytes(mCount == 0 ? kFramePreface : std::string_view{});
  AppendNumber(static_cast<std::uint32_t>(compressed.size()), bytes);
  AppendNumber(ComputeFrameChecksum(aPayload, mCount), bytes);
  ++mCount;
  return bytes += compressed;
}

} // namespace citronpulley
