#ifndef CITRONPULLEY_STEERING_KEY_HASH_H
#define CITRONPULLEY_STEERING_KEY_HASH_H

#include <cstdint>
#include <string>

namespace citronpulley {

/** @return hash of two strings, uniform in [0, 1) and equal on all VMs */
double HashToUnitInterval(const std::string& aOne, const std::string& aOther) noexcept;

/** @return hash of an identity, equal on all VMs, that stands for it in frequent messages */
std::uint64_t ComputeIdHash(const std::string& aId) noexcept;

} // namespace citronpulley

#endif
