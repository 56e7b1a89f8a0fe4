#include "citronpulley/base/frame_decoder.h"

#include "citronpulley/base/frame_format.h"

#include <algorithm>

namespace citronpulley {

namespace {

std::uint32_t ReadBigEndian(std::string_view aBytes)
{
  std::uint32_t number = 0;
  for (int i = 0; i < 4; ++i) {
    number = number << 8U | static_cast<unsigned char>(aBytes[static_cast<std::size_t>(i)]);
  }
  return number;
}

error MakeFault(const std::string& aMessage)
{
  return MakeError(error_code::BadMessage, step::Decode, "", aMessage);
}

} // namespace

result<std::optional<std::string>> frame_decoder::Next()
{
  if (!mHasPreface) {
    const std::size_t received = std::min(mBuffer.size(), kFramePreface.size());
    if (!kFramePreface.starts_with(std::string_view(mBuffer).substr(0, received))) {
      return MakeFault("the connection does not begin with the preface of this protocol version");
    }
    if (received < kFramePreface.size()) {
      return std::optional<std::string>();
    }
    mBuffer.erase(0, kFramePreface.size());
    mHasPreface = true;
  }
  if (mBuffer.size() < kFrameHeaderBytes) {
    return std::optional<std::string>();
  }
  const std::size_t length = ReadBigEndian(mBuffer);
  if (length > mMaxFrameBytes) {
    return MakeFault("frame " + std::to_string(mCount) + " is " + std::to_string(length) +
                     " bytes long; at most " + std::to_string(mMaxFrameBytes) + " are accepted");
  }
  if (mBuffer.size() < kFrameHeaderBytes + length) {
    return std::optional<std::string>();
  }
  const std::uint32_t checksum = ReadBigEndian(std::string_view(mBuffer).substr(4));
  result<std::string> payload = mDecompressor.Decompress(
    std::string_view(mBuffer).substr(kFrameHeaderBytes, length), mMaxFrameBytes);
  if (!payload) {
    return payload.GetError();
  }
  if (checksum != ComputeFrameChecksum(payload.Get(), mCount)) {
    return MakeFault("frame " + std::to_string(mCount) +
                     " is damaged, or frames before it are missing or repeated");
  }
  mBuffer.erase(0, kFrameHeaderBytes + length);
  if (mBuffer.empty()) {
    mBuffer.shrink_to_fit();
  }
  ++mCount;
  return std::optional<std::string>(std::move(payload.Get()));
}

} // namespace citronpulley
