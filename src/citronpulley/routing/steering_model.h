#ifndef CITRONPULLEY_ROUTING_STEERING_MODEL_H
#define CITRONPULLEY_ROUTING_STEERING_MODEL_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/config/catalogue.h"

#include <cstddef>
#include <span>
#include <vector>

namespace citronpulley {

/** Rate of requests for a service that callers send to the entry VMs of a region. */
struct region_demand
{
  service_name mService;
  region_name mSource;
  double mRequestsPerSecond = 0;

  friend auto operator<=>(const region_demand&, const region_demand&) = default;
};

/** Matrix of numbers in row-major order in one block of memory. */
class number_grid
{
public:
  number_grid() = default;
  number_grid(std::size_t aRows, std::size_t aColumns)
    : mColumns(aColumns)
    , mNumbers(aRows * aColumns)
  {
  }

  std::span<double> operator[](std::size_t aRow)
  {
    return { mNumbers.data() + aRow * mColumns, mColumns };
  }
  std::span<const double> operator[](std::size_t aRow) const
  {
    return { mNumbers.data() + aRow * mColumns, mColumns };
  }

private:
  std::size_t mColumns = 0;
  std::vector<double> mNumbers;
};

/** Capacity of regions and demand for services at one moment. Services and regions are identified
 * by their index in `mServices` and `mRegions`. */
struct steering_model
{
  std::vector<service_name> mServices;
  std::vector<region_name> mRegions;
  /** Maximum rate of each region in requests per second, calls of dependencies included. */
  std::vector<double> mCapacity;
  /** Whether each region is drained for planned work, or all of its zones are. */
  std::vector<bool> mIsDraining;
  /** For each region all regions ordered by latency from it, itself first. */
  std::vector<std::vector<std::size_t>> mRegionsByLatency;
  /** Row per service: number of calls of each service, direct and indirect, that one request
   * causes; the request itself counts as one call of its service. */
  number_grid mCalls;
  /** Row per service: usable slots in each region. */
  number_grid mSlots;
  /** Row per service: requests per second that the slots of each region can sustain. */
  number_grid mSlotRate;
  /** Row per service: requests per second from each source region. */
  number_grid mDemand;

  /** @return index of the flow from a source region to a service: its row in a grid of shares */
  std::size_t GetFlowIndex(std::size_t aService, std::size_t aSource) const noexcept
  {
    return aService * mRegions.size() + aSource;
  }

  /** @return true when a region has slots of a service and of all services that it depends on */
  bool HasSlots(std::size_t aService, std::size_t aRegion) const;
};

/**
 * Makes a model with the data that a catalogue gives; slots, slot rates and demand are zero.
 *
 * @param aCatalogue validated catalogue; its dependencies have no cycles
 */
steering_model MakeSteeringModel(const catalogue& aCatalogue);

/**
 * Sets the demand and derives the rate that the slots can sustain. The mean time that a request
 * occupies a slot follows from the running requests and the demand by Little's law. A service
 * without running requests is not limited by its slots.
 *
 * @param aModel model whose slots are set
 * @param aDemands demand by service and source; pairs that are not listed have none
 * @param aRunning number of running requests of each service, summed over all regions
 */
void SetDemand(steering_model& aModel,
               std::span<const region_demand> aDemands,
               std::span<const double> aRunning);

/** @return calls per second in each region for given shares, calls of dependencies included */
std::vector<double> ComputeLoads(const steering_model& aModel, const number_grid& aShares);

/**
 * Computes the division of traffic that shifts move towards. Each source prefers its nearest
 * region. Traffic that does not fit there spills to the next regions by latency, where competing
 * flows are cut by the same fraction, and traffic that fits nowhere is shed. A drain sheds nothing:
 * traffic that fits nowhere else stays in the draining region, up to its current share.
 *
 * @param aModel capacity and demand
 * @param aCurrent current shares: a row per flow, a column per region
 * @param aFillFraction fraction of capacities and slots that may be filled
 * @return shares in the same form; each row sums to 1 or less, and the rest is shed
 */
number_grid ComputeTarget(const steering_model& aModel,
                          const number_grid& aCurrent,
                          double aFillFraction);

} // namespace citronpulley

#endif
