#include "citronpulley/base/digest.h"

#include <sodium.h>

namespace citronpulley {

namespace {

const unsigned char* ToBytes(std::string_view aText) noexcept
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

} // namespace

digest ComputeDigest(std::string_view aBytes) noexcept
{
  digest value;
  crypto_generichash(
    value.mBytes.data(), value.mBytes.size(), ToBytes(aBytes), aBytes.size(), nullptr, 0);
  return value;
}

digest ComputeDigest(std::initializer_list<std::string_view> aParts) noexcept
{
  digest value;
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, value.mBytes.size());
  for (const std::string_view part : aParts) {
    crypto_generichash_update(&state, ToBytes(part), part.size());
  }
  crypto_generichash_final(&state, value.mBytes.data(), value.mBytes.size());
  return value;
}

std::string ToHex(const digest& aDigest)
{
  std::string text(aDigest.mBytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), aDigest.mBytes.data(), aDigest.mBytes.size());
  text.pop_back();
  return text;
}

bool operator==(const key_digest& aLeft, const key_digest& aRight) noexcept
{
  return sodium_memcmp(aLeft.mBytes.data(), aRight.mBytes.data(), aLeft.mBytes.size()) == 0;
}

key_digest ComputeKeyDigest(std::string_view aSecret, std::string_view aDeploymentSecret) noexcept
{
  // The deployment secret may have any length, but BLAKE2b accepts keys of at most 64 bytes only.
  std::array<std::uint8_t, crypto_generichash_KEYBYTES> key{};
  crypto_generichash(
    key.data(), key.size(), ToBytes(aDeploymentSecret), aDeploymentSecret.size(), nullptr, 0);
  key_digest value;
  crypto_generichash(value.mBytes.data(),
                     value.mBytes.size(),
                     ToBytes(aSecret),
                     aSecret.size(),
                     key.data(),
                     key.size());
  sodium_memzero(key.data(), key.size());
  return value;
}

} // namespace citronpulley
