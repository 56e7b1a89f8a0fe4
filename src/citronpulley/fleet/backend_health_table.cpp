#include "citronpulley/fleet/backend_health_table.h"

#include <algorithm>
#include <cmath>

namespace citronpulley {

namespace {

/** Weight of one outcome in the moving averages: ten outcomes show 80% of a change. */
constexpr double kOutcomeWeight = 0.15;
/** Maximum number of outcomes of one report that count, so that no single VM decides alone. */
constexpr std::uint32_t kMaxOutcomes = 6;
/** Half-life of the averages without new outcomes, so that the backend server is tried again. */
constexpr double kHalfLifeUs = 4'000'000;
/** Time without outcomes after which a backend server is evicted from the table. */
constexpr microseconds kEvictAfter{ 30'000'000 };
/** Maximum age of the outcomes of a backend server that counts for the median of its service. */
constexpr microseconds kMedianAge{ 4'000'000 };
/**
 * Failure rate and slowness at which a backend server is listed; a single failure gives a failure
 * rate of 0.15.
 */
constexpr double kListedFailureRate = 0.1;
constexpr double kListedSlowness = 1.8;

double ComputeDecayFactor(microseconds aAge)
{
  return std::exp2(-static_cast<double>(aAge.count()) / kHalfLifeUs);
}

} // namespace

void backend_health_table::RecordOutcomes(const std::string& aBackend,
                                          const service_name& aService,
                                          const outcome_tally& aTally,
                                          instant aNow)
{
  const auto [position, isNew] = mBackends.try_emplace(aBackend);
  backend& backend = position->second;
  backend.mService = aService;
  if (!isNew) {
    const double decay = ComputeDecayFactor(aNow - backend.mSeenAt);
    backend.mFailureRate *= decay;
    backend.mMeanLogSlowness *= decay;
  }
  backend.mSeenAt = aNow;
  const std::uint32_t outcomes = std::min(aTally.mAnswers + aTally.mFailures, kMaxOutcomes);
  const double kept = std::pow(1 - kOutcomeWeight, outcomes);
  const double failed = static_cast<double>(aTally.mFailures) /
                        std::max(1.0, static_cast<double>(aTally.mAnswers + aTally.mFailures));
  backend.mFailureRate = backend.mFailureRate * kept + failed * (1 - kept);
  if (aTally.mAnswers > 0) {
    const double answersKept =
      std::pow(1 - kOutcomeWeight, std::min(aTally.mAnswers, kMaxOutcomes));
    const double slowness = aTally.mLogSlownessSum / aTally.mAnswers;
    backend.mMeanLogSlowness =
      backend.mMeanLogSlowness * answersKept + slowness * (1 - answersKept);
  }
}

std::map<service_name, double> backend_health_table::ComputeMedians(instant aNow) const
{
  std::map<service_name, std::vector<double>> values;
  for (const auto& [id, backend] : mBackends) {
    if (backend.mSeenAt + kMedianAge > aNow) {
      values[backend.mService].push_back(backend.mMeanLogSlowness);
    }
  }
  std::map<service_name, double> medians;
  for (auto& [service, list] : values) {
    const auto middle = list.begin() + std::ssize(list) / 2;
    std::ranges::nth_element(list, middle);
    medians[service] = *middle;
  }
  return medians;
}

const std::vector<backend_health>& backend_health_table::List(instant aNow)
{
  if (aNow < mNextComputeAt) {
    return mList;
  }
  mNextComputeAt = aNow + kInterval;
  std::erase_if(mBackends,
                [aNow](const auto& aEntry) { return aEntry.second.mSeenAt + kEvictAfter <= aNow; });
  const std::map<service_name, double> medians = ComputeMedians(aNow);
  mList.clear();
  for (const auto& [id, backend] : mBackends) {
    const double kept = ComputeDecayFactor(aNow - backend.mSeenAt);
    const auto median = medians.find(backend.mService);
    const double slowness =
      median == medians.end() ? 1 : std::exp((backend.mMeanLogSlowness - median->second) * kept);
    const double failureRate = backend.mFailureRate * kept;
    if (failureRate >= kListedFailureRate || slowness >= kListedSlowness) {
      mList.push_back({ id, failureRate, std::max(1.0, slowness) });
    }
  }
  return mList;
}

} // namespace citronpulley
