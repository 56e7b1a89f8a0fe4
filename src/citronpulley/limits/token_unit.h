#ifndef CITRONPULLEY_LIMITS_TOKEN_UNIT_H
#define CITRONPULLEY_LIMITS_TOKEN_UNIT_H

#include <cmath>

namespace citronpulley {

/**
 * Smallest fraction of a token that is granted or spent. It is a power of two, so sums and
 * differences are exact and comparisons need no tolerance, which would let holders overspend.
 */
constexpr double kTokenUnit = 1.0 / 1024.0;

/** @return the largest multiple of kTokenUnit that is not greater than aTokens */
inline double RoundTokensDown(double aTokens) noexcept
{
  return std::floor(aTokens / kTokenUnit) * kTokenUnit;
}

/** @return the smallest multiple of kTokenUnit that is not less than aTokens */
inline double RoundTokensUp(double aTokens) noexcept
{
  return std::ceil(aTokens / kTokenUnit) * kTokenUnit;
}

} // namespace citronpulley

#endif
