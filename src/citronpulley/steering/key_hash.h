#ifndef CITRONPULLEY_STEERING_KEY_HASH_H
#define CITRONPULLEY_STEERING_KEY_HASH_H

#include <string>

namespace citronpulley {

/** @return hash of two texts from 0 to 1, the same at every VM */
double HashToUnitInterval(const std::string& aOne, const std::string& aOther) noexcept;

} // namespace citronpulley

#endif
