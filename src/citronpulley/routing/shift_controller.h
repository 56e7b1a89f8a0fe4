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

/** Input of one step of the shift controller. */
struct shift_input
{
  const catalogue& mCatalogue;
  std::span<const zone_summary> mZones;
  std::span<const region_demand> mDemands;
  /** Plan in effect, which is the last one that the control group committed. */
  std::span<const region_share> mPlan;
};

/** Progress of the drain of a region. */
struct drain_progress
{
  region_name mRegion;
  /** Fraction of all traffic that the current plan still sends to the region, from 0 to 1. */
  double mRemainingShare = 0;
  /** The other regions lack headroom for some of the traffic, which stays in the region. */
  bool mIsBlocked = false;
  /** Expected time at which all traffic that is not blocked has moved away; nothing once it has. */
  std::optional<instant> mExpectedEnd;

  friend auto operator<=>(const drain_progress&, const drain_progress&) = default;
};

/** Next plan with the target and the drain progress that are reported to operators. */
struct shift_outcome
{
  std::vector<region_share> mPlan;
  /** The plan differs from the one in effect and should be proposed. */
  bool mIsChanged = false;
  /** Shares towards which the plan moves. */
  std::vector<region_share> mTarget;
  std::vector<drain_progress> mDrains;
};

/**
 * Moves the shares of traffic among regions step by step towards a target that fits health,
 * capacity, drains and dependencies, under the shift cap of each service. The class reads no clock;
 * the time is passed in.
 *
 * A step does not make up for missed time: it covers at most `kMaxStep`, and the first call of a
 * controller moves nothing. Restarts and late calls therefore only slow a shift down. All movement
 * of a service and source region counts against the cap in both directions, so that a reversal of
 * the target does not exceed it. The cap holds for the plans in effect if the caller keeps at most
 * one proposal in flight and passes the committed plan; a delay of up to one second between call
 * and commit is allowed for.
 *
 * Shares of a lost region stay in the plan until the surviving regions have taken them over or the
 * target sheds them. A region that returns soon therefore serves at once; until then, requests that
 * the plan assigns to it are refused.
 */
class shift_controller
{
public:
  /** Maximum time that one step covers. */
  static constexpr microseconds kMaxStep{ 1'000'000 };
  /** Time without any slots after which a region counts as lost for a service. */
  static constexpr microseconds kLossTimeout{ 2'000'000 };
  /** Time for which the caches of a region that returned count as cold. */
  static constexpr microseconds kColdDuration{ 300'000'000 };
  /** Share of a service's traffic below which the caches of a region count as cold for it. */
  static constexpr double kWarmShare = 0.1;
  /** Fraction of the cap to which traffic that moves into a cold region is limited. */
  static constexpr double kColdCapFraction = 0.25;
  /** Fraction of capacities and slots that the target fills. */
  static constexpr double kTargetFillFraction = 0.85;
  /** Fraction of a region's capacity that a step does not exceed; the ledger grants as much. */
  static constexpr double kStepFillFraction = 0.9;
  /** Distance from the target at which a shift starts; smaller distances are report noise. */
  static constexpr double kMinShift = 0.01;

  /**
   * Computes the next plan. Call it about once a second, on the leader only. A service for which no
   * region has slots, those of its dependencies included, keeps its plan, because this indicates
   * that measurements have stopped.
   *
   * @param aInput current state
   * @param aNow current time
   * @return the next plan; it equals the current one for `kLossTimeout` after the first call
   */
  shift_outcome Advance(const shift_input& aInput, instant aNow);

private:
  struct slot_observation
  {
    /** Usable slots in the last summary that reported any. */
    double mSlots = 0;
    instant mSeenAt;
    /** Last time at which slots were reported again after a loss. */
    std::optional<instant> mReturnedAt;
  };

  steering_model MakeModel(const shift_input& aInput, instant aNow);
  std::vector<bool> FindColdRegions(const steering_model& aModel,
                                    const number_grid& aShares,
                                    std::size_t aService,
                                    instant aNow) const;
  /** Starts the movement of a flow that is at least kMinShift from its target, and ends it at the
   * target. @return true while the flow moves */
  bool UpdateIsMoving(const steering_model& aModel,
                      std::size_t aFlow,
                      const number_grid& aCurrent,
                      const number_grid& aTarget);

  std::optional<instant> mStartedAt;
  std::optional<instant> mLastStepAt;
  std::map<std::pair<service_name, region_name>, slot_observation> mSlotObservations;
  /** Services and source regions whose shares are moving towards their target. */
  std::set<std::pair<service_name, region_name>> mMovingFlows;
};

} // namespace citronpulley

#endif
