#ifndef CITRONPULLEY_BASE_FRAME_FORMAT_H
#define CITRONPULLEY_BASE_FRAME_FORMAT_H

#include <cstddef>
#include <cstdint>
#include <string_view>

/**
 * @file
 * Format that frame_encoder and frame_decoder share.
 */

namespace citronpulley {

/** First bytes of each direction: the protocol and its version. */
constexpr std::string_view kFramePreface = "cpf3";
/** Length and checksum. */
constexpr std::size_t kFrameHeaderBytes = 8;

/** @return checksum of the frame with this number, which detects damage, gaps and repeats */
std::uint32_t ComputeFrameChecksum(std::string_view aPayload, std::uint64_t aNumber) noexcept;

} // namespace citronpulley

#endif
