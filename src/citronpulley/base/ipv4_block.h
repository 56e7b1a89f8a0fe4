#ifndef CITRONPULLEY_BASE_IPV4_BLOCK_H
#define CITRONPULLEY_BASE_IPV4_BLOCK_H

#include "citronpulley/base/result.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace citronpulley {

/** IPv4 address as a number in host byte order. */
using ipv4_address = std::uint32_t;

/** Block of IPv4 addresses with a common prefix. */
struct ipv4_block
{
  /** First address of the block; the bits after the prefix are zero. */
  ipv4_address mFirst = 0;
  /** Number of leading bits that all addresses have in common, from 0 to 32. */
  std::uint8_t mPrefixLength = 0;

  /** @return the last address of the block */
  constexpr ipv4_address GetLast() const noexcept
  {
    return mPrefixLength == 0 ? ~ipv4_address{ 0 }
                              : mFirst | ((ipv4_address{ 1 } << (32U - mPrefixLength)) - 1);
  }

  friend constexpr auto operator<=>(const ipv4_block&, const ipv4_block&) = default;
};

/**
 * Parses a block in CIDR notation, such as `10.2.0.0/16`. Bits after the prefix must be zero: a
 * text that sets them usually has a wrong prefix length.
 *
 * @param aText text without spaces
 * @return the block, or `bad_request` with a message that describes the fault
 */
result<ipv4_block> ParseIpv4Block(std::string_view aText);

/** @return the address in dotted-decimal notation, such as `10.2.0.1`, or nothing when the text is
 * not a valid address */
std::optional<ipv4_address> ParseIpv4Address(std::string_view aText);

} // namespace citronpulley

#endif
