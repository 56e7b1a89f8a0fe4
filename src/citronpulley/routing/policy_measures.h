#ifndef CITRONPULLEY_ROUTING_POLICY_MEASURES_H
#define CITRONPULLEY_ROUTING_POLICY_MEASURES_H

#include <cstddef>
#include <cstdint>
#include <span>

/**
 * @file
 * Measures and draws that the routing policies share.
 */

namespace citronpulley {

/** @return running requests per slot; 1 without slots */
inline double GetUtilisation(std::uint32_t aRunning, std::uint32_t aSlots) noexcept
{
  return aSlots == 0 ? 1.0 : static_cast<double>(aRunning) / static_cast<double>(aSlots);
}

/** @return a number from 0 up to but not including 1 from the upper bits of a random number */
inline double ToFraction(std::uint64_t aRandom) noexcept
{
  return static_cast<double>(aRandom >> 11U) * 0x1.0p-53;
}

/** @return the next number of a SplitMix64 sequence: independent bits for a second draw */
inline std::uint64_t MixRandom(std::uint64_t aRandom) noexcept
{
  std::uint64_t mixed = aRandom + 0x9E3779B97F4A7C15U;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
  return mixed ^ (mixed >> 31U);
}

/**
 * Chooses an element with a probability in proportion to its weight.
 *
 * @param aElements at least one
 * @param aWeight function of an element; zero or more
 * @param aFraction random number from 0 to 1
 * @return position of the element; 0 when all weights are zero
 */
template<typename Element, typename Weight>
std::size_t PickByWeight(std::span<const Element> aElements,
                         const Weight& aWeight,
                         double aFraction)
{
  double total = 0;
  for (const Element& element : aElements) {
    total += aWeight(element);
  }
  double remaining = aFraction * total;
  std::size_t chosen = 0;
  for (std::size_t position = 0; position < aElements.size(); ++position) {
    const double weight = aWeight(aElements[position]);
    if (weight <= 0) {
      continue;
    }
    chosen = position;
    if (remaining < weight) {
      break;
    }
    remaining -= weight;
  }
  return chosen;
}

} // namespace citronpulley

#endif
