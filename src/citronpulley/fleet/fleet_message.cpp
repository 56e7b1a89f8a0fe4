#include "citronpulley/fleet/fleet_message.h"

#include "citronpulley/base/compression.h"
#include "citronpulley/steering/key_hash.h"
#include "citronpulley/wire/codec.h"

namespace citronpulley {

namespace {

/** Maximum size of a list of backend servers after decompression. */
constexpr std::size_t kMaxListBytes = 16UL * 1024 * 1024;

} // namespace

std::string EncodeBackendList(const std::vector<backend_record>& aBackends)
{
  return Compress(EncodeValue(aBackends));
}

result<std::vector<backend_record>> DecodeBackendList(std::string_view aBytes)
{
  const result<std::string> encoded = Decompress(aBytes, kMaxListBytes);
  if (!encoded) {
    return encoded.GetError();
  }
  return DecodeValue<std::vector<backend_record>>(encoded.Get());
}

std::uint64_t ComputeRelayDigest(const std::vector<relay_vm>& aVms)
{
  return ComputeIdHash(EncodeValue(aVms)) | 1U;
}

std::string EncodeFleetMessage(const fleet_message& aMessage)
{
  return EncodeValue(aMessage);
}

result<fleet_message> DecodeFleetMessage(std::string_view aBytes)
{
  return DecodeValue<fleet_message>(aBytes);
}

} // namespace citronpulley
