#ifndef CITRONPULLEY_BASE_DIGEST_H
#define CITRONPULLEY_BASE_DIGEST_H

#include <array>
#include <compare>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace citronpulley {

/** BLAKE2b digest of 16 bytes; identifies the content of requests and texts. */
struct digest
{
  std::array<std::uint8_t, 16> mBytes{};

  friend auto operator<=>(const digest&, const digest&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBytes);
  }
};

/** @return the unkeyed digest of the bytes */
digest ComputeDigest(std::string_view aBytes) noexcept;

/** @return the unkeyed digest of the parts one after the other */
digest ComputeDigest(std::initializer_list<std::string_view> aParts) noexcept;

/** @return the digest as 32 hexadecimal digits */
std::string ToHex(const digest& aDigest);

/** Keyed BLAKE2b digest, 32 bytes long, of a caller's secret. Secrets are stored in this form only.
 */
struct key_digest
{
  std::array<std::uint8_t, 32> mBytes{};

  /** Compares in constant time. */
  friend bool operator==(const key_digest& aLeft, const key_digest& aRight) noexcept;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBytes);
  }
};

/**
 * Computes the digest of the secret part of a caller's key.
 *
 * @param aSecret secret part of the key
 * @param aDeploymentSecret secret of the deployment, used as key of the digest; of any length
 * @return the digest
 */
key_digest ComputeKeyDigest(std::string_view aSecret, std::string_view aDeploymentSecret) noexcept;

} // namespace citronpulley

#endif
