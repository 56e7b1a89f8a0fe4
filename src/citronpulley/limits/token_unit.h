#ifndef CITRONPULLEY_LIMITS_TOKEN_UNIT_H
#define CITRONPULLEY_LIMITS_TOKEN_UNIT_H

#include <cmath>

namespace citronpulley {

/**
 * Smallest part of a token that is lent or spent. It is a power of two, so that sums and
 * differences of tokens are exact and a comparison needs no tolerance by which holders could
 * overspend.
 */
constexpr double kTokenUnit = 1.0 / 1024.0;

/** @return the largest multiple of kTokenUnit that is not above a number of tokens */
inline double RoundTokensDown(double aTokens) noexcept
{
  return std::floor(aTokens / kTokenUnit) * kTokenUnit;
}

/** @return the smallest multiple of kTokenUnit that is not below a number of tokens */
inline double RoundTokensUp(double aTokens) noexcept
{
  return std::ceil(aTokens / kTokenUnit) * kTokenUnit;
}

} // namespace citronpulley

#endif
