#ifndef CITRONPULLEY_ROUTING_SHIFT_CONTROLLER_H
#define CITRONPULLEY_ROUTING_SHIFT_CONTROLLER_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/config/catalogue.h"
#include "citronpulley/routing/steering_model.h"
#include "citronpulley/state/command.h"
#include "citronpulley/wire/poll_messages.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace citronpulley {

/** What the shift controller decides from. */
struct shift_input
{
  const catalogue& mCatalogue;
  std::span<const zone_summary> mZones;
  std::span<const region_demand> mDemands;
  /** Plan in effect: the last one that the control group committed. */
  std::span<const region_share> mPlan;
};

/** How far the drain of a region has come. */
struct drain_progress
{
  region_name mRegion;
  /** Fraction of all traffic that the plan still sends to the region, from 0 to 1. */
  double mRemainingShare = 0;
  /** The other regions lack headroom for the rest, which stays where it is. */
  bool mIsBlocked = false;
  /** Time at which the rest that is not blocked has left; nothing when it has. */
  std::optional<instant> mExpectedEnd;

  friend auto operator<=>(const drain_progress&, const drain_progress&) = default;
};

/** Next plan with what operators want to know of it. */
struct shift_outcome
{
  std::vector<region_share> mPlan;
  /** The plan differs from the present one and should be proposed. */
  bool mIsChanged = false;
  /** Division towards which the plan moves. */
  std::vector<region_share> mTarget;
  std::vector<drain_progress> mDrains;
};

/**
 * Moves the shares of traffic among regions towards what health, capacity, drains and dependencies
 * allow, under the cap of each service. Pure: the time is passed in.
 *
 * A step never makes up for time before it: it covers at most `kMaxStep`, and the first call of a
 * controller moves nothing. Restarts and late calls therefore only slow a shift down. All movement
 * of a service and source counts against the cap, to and fro, so that a change of mind does not
 * exceed it. The cap holds for plans in effect when the caller keeps at most one proposal in flight
 * and passes the committed plan; a delay of up to a second between call and commit is allowed for.
 *
 * Shares of a lost region stay in the plan until survivors have taken them or the target sheds
 * them. A region that returns soon therefore serves at once, and until then its draws are refused.
 */
class shift_controller
{
public:
  /** Longest time that one step covers. */
  static constexpr microseconds kMaxStep{ 1'000'000 };
  /** Time without slots after which a region counts as lost for a service. */
  static constexpr microseconds kLossTimeout{ 2'000'000 };
  /** Time for which a region that returned counts as cold. */
  static constexpr microseconds kColdDuration{ 300'000'000 };
  /** Share of a service's traffic below which the caches of a region are cold for it. */
  static constexpr double kWarmShare = 0.1;
  /** Part of the cap at which traffic moves into a cold region. */
  static constexpr double kColdCapFraction = 0.25;
  /** Part of capacities and slots that a target fills. */
  static constexpr double kTargetFillFraction = 0.85;
  /** Part of a region's capacity that a step does not exceed; the ledger grants as much. */
  static constexpr double kStepFillFraction = 0.9;
  /** Distance from the target at which a shift begins; smaller ones are the noise of reports. */
  static constexpr double kMinShift = 0.01;

  /**
   * Computes the next plan. Call it about once a second, at the leader alone. A service whose slots
   * no summary shows keeps its plan, because measurements have stopped then.
   *
   * @param aInput present state
   * @param aNow present time
   * @return the next plan; equal to the present one for the first `kLossTimeout` after the first
   * call
   */
  shift_outcome Advance(const shift_input& aInput, instant aNow);

private:
  struct slot_observation
  {
    /** Usable slots in the last summary that had any. */
    double mSlots = 0;
    instant mSeenAt;
    /** Last time at which slots came back after a loss. */
    std::optional<instant> mReturnedAt;
  };

  steering_model MakeModel(const shift_input& aInput, instant aNow);
  std::vector<bool> FindColdRegions(const steering_model& aModel,
                                    const number_grid& aShares,
                                    std::size_t aService,
                                    instant aNow) const;
  bool UpdateIsMoving(const steering_model& aModel,
                      std::size_t aFlow,
                      const number_grid& aCurrent,
                      const number_grid& aTarget);

  std::optional<instant> mStartedAt;
  std::optional<instant> mLastStepAt;
  std::map<std::pair<service_name, region_name>, slot_observation> mSlotObservations;
  /** Services and sources whose shares are on the way to their target. */
  std::set<std::pair<service_name, region_name>> mMovingFlows;
};

} // namespace citronpulley

#endif
