#ifndef CITRONPULLEY_ROUTING_STEERING_MODEL_H
#define CITRONPULLEY_ROUTING_STEERING_MODEL_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/config/catalogue.h"

#include <cstddef>
#include <span>
#include <vector>

namespace citronpulley {

/** Requests per second for a service that callers send to the entry VMs of a region. */
struct region_demand
{
  service_name mService;
  region_name mSource;
  double mRequestsPerSecond = 0;

  friend auto operator<=>(const region_demand&, const region_demand&) = default;
};

/** Matrix of numbers in one block of memory. */
class number_grid
{
public:
  number_grid() = default;
  number_grid(std::size_t aRows, std::size_t aColumns)
    : mColumns(aColumns)
    , mNumbers(aRows * aColumns)
  {
  }

  /** @return a row */
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

/** What the capacity of regions and the demand of services look like at one moment, by position. */
struct steering_model
{
  std::vector<service_name> mServices;
  std::vector<region_name> mRegions;
  /** Requests per second that a region may get, calls of dependencies included. */
  std::vector<double> mCapacity;
  /** Region that planned work empties, or each of whose zones it empties. */
  std::vector<bool> mIsDraining;
  /** Regions by latency from each region, itself first. */
  std::vector<std::vector<std::size_t>> mRegionsByLatency;
  /** Row per service: calls of each service for one request, direct or not; 1 for itself. */
  number_grid mCalls;
  /** Row per service: slots in each region that can be used. */
  number_grid mSlots;
  /** Row per service: requests per second that the slots of each region can run. */
  number_grid mSlotRate;
  /** Row per service: requests per second from each region. */
  number_grid mDemand;

  /** @return row of a grid of shares for a service and a source region */
  std::size_t GetFlowIndex(std::size_t aService, std::size_t aSource) const noexcept
  {
    return aService * mRegions.size() + aSource;
  }

  /** @return true when a region has slots of a service and of all services that it needs */
  bool HasSlots(std::size_t aService, std::size_t aRegion) const;
};

/**
 * Makes the part of a model that the text states; slots, rates and demand are zero.
 *
 * @param aCatalogue checked catalogue
 */
steering_model MakeSteeringModel(const catalogue& aCatalogue);

/**
 * Sets the demand and derives the rate that slots can run. The mean time in a slot follows from the
 * running requests and the demand; a service without running requests is not limited by its slots.
 *
 * @param aModel model with slots
 * @param aDemands demand; what is not named is zero
 * @param aRunning running requests of each service in all regions
 */
void SetDemand(steering_model& aModel,
               std::span<const region_demand> aDemands,
               std::span<const double> aRunning);

/** @return calls per second in each region under some shares, those of dependencies included */
std::vector<double> ComputeLoads(const steering_model& aModel, const number_grid& aShares);

/**
 * Computes the division of traffic that shifts move towards. Each source prefers its nearest
 * region; what does not fit there goes on to the next ones, in fair proportion where several
 * compete, and what fits nowhere is shed. A drain sheds nothing: what fits nowhere else stays in
 * the draining region up to its present share.
 *
 * @param aModel model
 * @param aCurrent present shares: a row per flow, a column per region
 * @param aFillFraction part of capacities and slots that may be filled
 * @return shares in the same form; the rows sum to 1 or less
 */
number_grid ComputeTarget(const steering_model& aModel,
                          const number_grid& aCurrent,
                          double aFillFraction);

} // namespace citronpulley

#endif
