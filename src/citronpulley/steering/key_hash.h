#ifndef CITRONPULLEY_STEERING_KEY_HASH_H
#define CITRONPULLEY_STEERING_KEY_HASH_H

#include <string>

namespace citronpulley {

/** @return hash of two strings, uniform in [0, 1) and equal on all VMs */
double HashToUnitInterval(const std::string& aOne, const std::string& aOther) noexcept;

} // namespace citronpulley

#endif
