#include "citronpulley/routing/shift_controller.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace citronpulley {

namespace {

/** Seconds over which the cap per minute is spread. It is 62 rather than 60, because a closed
 * window of one minute contains one more step and a commit may be delayed by up to a second. */
constexpr double kCapWindowSeconds = 62;
constexpr double kNegligible = 1e-9;

template<typename Name>
std::size_t FindPosition(const std::vector<Name>& aNames, const Name& aName)
{
  return static_cast<std::size_t>(std::find(aNames.begin(), aNames.end(), aName) - aNames.begin());
}

double Sum(std::span<const double> aNumbers)
{
  return std::accumulate(aNumbers.begin(), aNumbers.end(), 0.0);
}

/** Makes a plan of the planned rows of shares. A planned row without shares gets one entry of zero,
 * which distinguishes it from a row without a plan. */
std::vector<region_share> MakePlan(const steering_model& aModel,
                                   const number_grid& aShares,
                                   const std::vector<bool>& aIsPlanned)
{
  std::vector<region_share> plan;
  const std::size_t regions = aModel.mRegions.size();
  for (std::size_t flow = 0; flow < aIsPlanned.size(); ++flow) {
    if (!aIsPlanned[flow]) {
      continue;
    }
    const service_name& service = aModel.mServices[flow / regions];
    const region_name& source = aModel.mRegions[flow % regions];
    const std::size_t before = plan.size();
    for (std::size_t region = 0; region < regions; ++region) {
      if (aShares[flow][region] > kNegligible) {
        plan.push_back({ service, source, aModel.mRegions[region], aShares[flow][region] });
      }
    }
    if (plan.size() == before) {
      plan.push_back({ service, source, source, 0 });
    }
  }
  return plan;
}

/**
 * Difference between the current row of shares of a flow and its target, split into gains, losses
 * of lost regions and losses of other regions. The element after the last region stands for shed
 * traffic.
 */
struct row_change
{
  std::vector<double> mWantedGains;
  std::vector<double> mLossesOfLostRegions;
  std::vector<double> mOtherLosses;
  double mTotal = 0;
};

row_change ComputeRowChange(const steering_model& aModel,
                            std::size_t aService,
                            std::span<const double> aCurrent,
                            std::span<const double> aTarget)
{
  const std::size_t regions = aCurrent.size();
  row_change change{ std::vector<double>(regions + 1),
                     std::vector<double>(regions + 1),
                     std::vector<double>(regions + 1) };
  for (std::size_t position = 0; position <= regions; ++position) {
    const bool isShed = position == regions;
    const double difference =
      isShed ? Sum(aCurrent) - Sum(aTarget) : aTarget[position] - aCurrent[position];
    const bool isLost = !isShed && !aModel.HasSlots(aService, position);
    change.mWantedGains[position] = std::max(difference, 0.0);
    (isLost ? change.mLossesOfLostRegions : change.mOtherLosses)[position] =
      std::max(-difference, 0.0);
  }
  change.mTotal = Sum(change.mWantedGains);
  return change;
}

/** Movement of one flow in one step. The element after the last region stands for shed traffic. */
struct flow_step
{
  std::vector<double> mGains;
  std::vector<double> mLosses;
};

/**
 * Computes the movement of a row towards its target in one step. Shares of lost regions move first,
 * under the emergency cap; all movement together stays under the larger of the two caps.
 *
 * @param aMinutes time that the step covers, in minutes of the cap window
 */
flow_step MakeStep(const service_entry& aService,
                   const row_change& aChange,
                   const std::vector<bool>& aIsCold,
                   double aMinutes)
{
  const std::size_t positions = aChange.mWantedGains.size();
  flow_step step{ std::vector<double>(positions), std::vector<double>(positions) };
  const double normal = aService.mShiftCapPercentPerMinute / 100 * aMinutes;
  const double emergency = aService.mEmergencyCapPercentPerMinute / 100 * aMinutes;
  const double lost = Sum(aChange.mLossesOfLostRegions);
  const double excess = Sum(aChange.mOtherLosses);
  const double fromLost = std::min(lost, emergency);
  const double fromExcess = std::min(excess, std::max(normal - fromLost, 0.0));
  if (aChange.mTotal <= 0 || fromLost + fromExcess <= 0) {
    return step;
  }
  const double fraction = std::min((fromLost + fromExcess) / aChange.mTotal, 1.0);
  const double coldLimit = shift_controller::kColdCapFraction * (fromLost > 0 ? emergency : normal);
  for (std::size_t position = 0; position < positions; ++position) {
    const bool isCold = position < aIsCold.size() && aIsCold[position];
    const double gain = aChange.mWantedGains[position] * fraction;
    step.mGains[position] = isCold ? std::min(gain, coldLimit) : gain;
    step.mLosses[position] =
      (lost > 0 ? aChange.mLossesOfLostRegions[position] * fromLost / lost : 0) +
      (excess > 0 ? aChange.mOtherLosses[position] * fromExcess / excess : 0);
  }
  return step;
}

/** Cuts the gains of all flows in regions whose load would exceed a fraction of their capacity. */
template<typename Steps>
void LimitGains(const steering_model& aModel,
                const number_grid& aCurrent,
                double aFillFraction,
                Steps& aSteps)
{
  const std::size_t regions = aModel.mRegions.size();
  number_grid gains(aSteps.size(), regions);
  for (std::size_t flow = 0; flow < aSteps.size(); ++flow) {
    std::copy_n(aSteps[flow].mGains.begin(), regions, gains[flow].begin());
  }
  // Losses of a region in the same step are not counted, because they depend on the cut gains of
  // other regions.
  const std::vector<double> loads = ComputeLoads(aModel, aCurrent);
  const std::vector<double> addedLoads = ComputeLoads(aModel, gains);
  for (std::size_t region = 0; region < regions; ++region) {
    const double headroom = std::max(aFillFraction * aModel.mCapacity[region] - loads[region], 0.0);
    const double fraction = addedLoads[region] > headroom ? headroom / addedLoads[region] : 1;
    for (auto& step : aSteps) {
      step.mGains[region] *= fraction;
    }
  }
}

/** Fills shares from the plan in effect. Rows that sum to more than 1 are scaled down.
 *
 * @return for each flow whether the plan has a row for it
 */
std::vector<bool> FillShares(const steering_model& aModel,
                             std::span<const region_share> aPlan,
                             number_grid& aShares)
{
  const std::size_t regions = aModel.mRegions.size();
  std::vector<bool> isPlanned(aModel.mServices.size() * regions);
  for (const region_share& share : aPlan) {
    const std::size_t service = FindPosition(aModel.mServices, share.mService);
    const std::size_t source = FindPosition(aModel.mRegions, share.mSource);
    const std::size_t region = FindPosition(aModel.mRegions, share.mTarget);
    if (service == aModel.mServices.size() || source == regions) {
      continue;
    }
    const std::size_t flow = aModel.GetFlowIndex(service, source);
    isPlanned[flow] = true;
    // A share of a region that is no longer in the catalogue counts as shed.
    if (region < regions && share.mShare > 0) {
      aShares[flow][region] += share.mShare;
    }
  }
  for (std::size_t flow = 0; flow < isPlanned.size(); ++flow) {
    const double sum = Sum(aShares[flow]);
    for (double& share : aShares[flow]) {
      share /= std::max(sum, 1.0);
    }
  }
  return isPlanned;
}

/** Makes the progress reports of all regions that are being drained. */
std::vector<drain_progress> MakeDrainProgress(const steering_model& aModel,
                                              const catalogue& aCatalogue,
                                              const number_grid& aCurrent,
                                              const number_grid& aTarget,
                                              const std::vector<std::vector<bool>>& aIsCold,
                                              instant aNow)
{
  const std::size_t regions = aModel.mRegions.size();
  std::vector<drain_progress> drains;
  for (std::size_t region = 0; region < regions; ++region) {
    if (!aModel.mIsDraining[region]) {
      continue;
    }
    drain_progress drain{ aModel.mRegions[region] };
    double total = 0;
    double seconds = 0;
    for (std::size_t flow = 0; flow < aModel.mServices.size() * regions; ++flow) {
      const std::size_t service = flow / regions;
      const double demand = aModel.mDemand[service][flow % regions] + kNegligible;
      total += demand;
      drain.mRemainingShare += demand * aCurrent[flow][region];
      drain.mIsBlocked = drain.mIsBlocked || aTarget[flow][region] > kNegligible;
      if (aCurrent[flow][region] - aTarget[flow][region] <= kNegligible) {
        continue;
      }
      const row_change change = ComputeRowChange(aModel, service, aCurrent[flow], aTarget[flow]);
      const double capPerSecond =
        aCatalogue.mServices[service].mShiftCapPercentPerMinute / 100 / kCapWindowSeconds;
      seconds = std::max(seconds, change.mTotal / capPerSecond);
      for (std::size_t receiver = 0; receiver < regions; ++receiver) {
        if (aIsCold[service][receiver]) {
          seconds = std::max(seconds,
                             change.mWantedGains[receiver] / capPerSecond /
                               shift_controller::kColdCapFraction);
        }
      }
    }
    drain.mRemainingShare /= std::max(total, kNegligible);
    if (seconds > 0) {
      drain.mExpectedEnd = aNow + microseconds(static_cast<std::int64_t>(seconds * 1e6));
    }
    drains.push_back(std::move(drain));
  }
  return drains;
}

} // namespace

steering_model shift_controller::MakeModel(const shift_input& aInput, instant aNow)
{
  steering_model model = MakeSteeringModel(aInput.mCatalogue);
  const std::size_t regions = model.mRegions.size();
  std::vector<double> running(model.mServices.size());
  for (const zone_summary& zone : aInput.mZones) {
    const region_entry* region = aInput.mCatalogue.FindRegionOfZone(zone.mZone);
    const std::size_t service = FindPosition(model.mServices, zone.mService);
    if (region == nullptr || service == model.mServices.size()) {
      continue;
    }
    running[service] += zone.mRunning;
    const std::size_t position = FindPosition(model.mRegions, region->mName);
    const std::vector<zone_name>& drained = aInput.mCatalogue.mDrainedZones;
    const bool isDrained = !model.mIsDraining[position] &&
                           std::find(drained.begin(), drained.end(), zone.mZone) != drained.end();
    model.mSlots[service][position] += isDrained ? 0 : zone.mSlots;
  }
  for (std::size_t service = 0; service < model.mServices.size(); ++service) {
    for (std::size_t region = 0; region < regions; ++region) {
      double& slots = model.mSlots[service][region];
      const std::pair key{ model.mServices[service], model.mRegions[region] };
      if (slots > 0) {
        const auto [entry, isNew] =
          mSlotObservations.try_emplace(key, slot_observation{ slots, aNow, {} });
        slot_observation& seen = entry->second;
        if (!isNew && seen.mSeenAt + kLossTimeout < aNow) {
          seen.mReturnedAt = aNow;
        }
        seen.mSlots = slots;
        seen.mSeenAt = aNow;
      } else if (const auto found = mSlotObservations.find(key);
                 found != mSlotObservations.end() && found->second.mSeenAt + kLossTimeout >= aNow) {
        slots = found->second.mSlots;
      }
    }
  }
  SetDemand(model, aInput.mDemands, running);
  return model;
}

std::vector<bool> shift_controller::FindColdRegions(const steering_model& aModel,
                                                    const number_grid& aShares,
                                                    std::size_t aService,
                                                    instant aNow) const
{
  const std::size_t regions = aModel.mRegions.size();
  std::vector<bool> isCold(regions);
  for (std::size_t region = 0; region < regions; ++region) {
    const auto seen =
      mSlotObservations.find({ aModel.mServices[aService], aModel.mRegions[region] });
    const bool hasReturned = seen != mSlotObservations.end() && seen->second.mReturnedAt &&
                             aNow < *seen->second.mReturnedAt + kColdDuration;
    double served = 0;
    double total = 0;
    for (std::size_t source = 0; source < regions; ++source) {
      // The small addend gives all sources equal weight when no demand is known.
      const double demand = aModel.mDemand[aService][source] + kNegligible;
      served += demand * aShares[aModel.GetFlowIndex(aService, source)][region];
      total += demand;
    }
    isCold[region] = hasReturned || served < kWarmShare * total;
  }
  return isCold;
}

bool shift_controller::UpdateIsMoving(const steering_model& aModel,
                                      std::size_t aFlow,
                                      const number_grid& aCurrent,
                                      const number_grid& aTarget)
{
  const std::size_t regions = aModel.mRegions.size();
  const std::pair key{ aModel.mServices[aFlow / regions], aModel.mRegions[aFlow % regions] };
  const double distance =
    ComputeRowChange(aModel, aFlow / regions, aCurrent[aFlow], aTarget[aFlow]).mTotal;
  if (distance >= kMinShift) {
    mMovingFlows.insert(key);
  } else if (distance <= kNegligible) {
    mMovingFlows.erase(key);
  }
  return mMovingFlows.contains(key);
}

shift_outcome shift_controller::Advance(const shift_input& aInput, instant aNow)
{
  const steering_model model = MakeModel(aInput, aNow);
  const std::size_t regions = model.mRegions.size();
  const std::size_t flows = model.mServices.size() * regions;
  const microseconds sinceLast = mLastStepAt ? aNow - *mLastStepAt : microseconds{ 0 };
  const auto stepTime = std::clamp(sinceLast, microseconds{ 0 }, kMaxStep);
  const double minutes = static_cast<double>(stepTime.count()) / 1e6 / kCapWindowSeconds;
  mLastStepAt = aNow;
  mStartedAt = mStartedAt.value_or(aNow);

  number_grid current(flows, regions);
  std::vector<bool> isPlanned = FillShares(model, aInput.mPlan, current);
  const number_grid target = ComputeTarget(model, current, kTargetFillFraction);
  std::vector<std::vector<bool>> isCold;
  for (std::size_t service = 0; service < model.mServices.size(); ++service) {
    isCold.push_back(FindColdRegions(model, current, service, aNow));
  }
  shift_outcome outcome;
  outcome.mTarget = MakePlan(model, target, std::vector<bool>(flows, true));
  outcome.mDrains = MakeDrainProgress(model, aInput.mCatalogue, current, target, isCold, aNow);
  outcome.mPlan.assign(aInput.mPlan.begin(), aInput.mPlan.end());
  if (aNow < *mStartedAt + kLossTimeout) {
    return outcome;
  }

  number_grid next = current;
  std::vector<flow_step> steps(
    flows, { std::vector<double>(regions + 1), std::vector<double>(regions + 1) });
  for (std::size_t flow = 0; flow < flows; ++flow) {
    const std::size_t service = flow / regions;
    bool hasSlots = false;
    for (std::size_t region = 0; region < regions; ++region) {
      hasSlots = hasSlots || model.HasSlots(service, region);
    }
    if (!hasSlots) {
      continue;
    }
    if (!isPlanned[flow]) {
      isPlanned[flow] = true;
      std::copy_n(target[flow].begin(), regions, next[flow].begin());
    } else if (UpdateIsMoving(model, flow, current, target)) {
      steps[flow] = MakeStep(aInput.mCatalogue.mServices[service],
                             ComputeRowChange(model, service, current[flow], target[flow]),
                             isCold[service],
                             minutes);
    }
  }
  LimitGains(model, next, kStepFillFraction, steps);
  for (std::size_t flow = 0; flow < flows; ++flow) {
    const double gained = Sum(steps[flow].mGains);
    const double lost = Sum(steps[flow].mLosses);
    for (std::size_t region = 0; region < regions && lost > 0; ++region) {
      const double change =
        steps[flow].mGains[region] - steps[flow].mLosses[region] * gained / lost;
      next[flow][region] = std::max(next[flow][region] + change, 0.0);
    }
  }
  outcome.mPlan = MakePlan(model, next, isPlanned);
  outcome.mIsChanged = !std::equal(
    outcome.mPlan.begin(), outcome.mPlan.end(), aInput.mPlan.begin(), aInput.mPlan.end());
  return outcome;
}

} // namespace citronpulley
