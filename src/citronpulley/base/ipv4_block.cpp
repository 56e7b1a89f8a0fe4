#include "citronpulley/base/ipv4_block.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/network_v4.hpp>

#include <string>

namespace citronpulley {

namespace {

/** Length of `255.255.255.255/32`. Longer texts are rejected before parsing, because a long prefix
 * length could overflow in the parser of Boost.Asio. */
constexpr std::size_t kMaxBlockLength = 18;

} // namespace

result<ipv4_block> ParseIpv4Block(std::string_view aText)
{
  const auto fail = [&](const std::string& aReason) {
    return MakeError(error_code::BadRequest,
                     step::None,
                     "",
                     "\"" + std::string(aText.substr(0, 2 * kMaxBlockLength)) + "\" " + aReason);
  };
  boost::system::error_code parseError;
  const auto network = aText.size() > kMaxBlockLength
                         ? boost::asio::ip::network_v4()
                         : boost::asio::ip::make_network_v4(std::string(aText), parseError);
  if (parseError || aText.size() > kMaxBlockLength) {
    return fail("is not an IPv4 block in CIDR notation");
  }
  if (network != network.canonical()) {
    return fail("has bits set after its prefix; the block is " + network.canonical().to_string());
  }
  return ipv4_block{ network.address().to_uint(),
                     static_cast<std::uint8_t>(network.prefix_length()) };
}

std::optional<ipv4_address> ParseIpv4Address(std::string_view aText)
{
  boost::system::error_code parseError;
  const auto address = boost::asio::ip::make_address_v4(std::string(aText), parseError);
  return parseError ? std::nullopt : std::optional<ipv4_address>(address.to_uint());
}

} // namespace citronpulley
