#include "citronpulley/replay/replay_measures.h"

#include "citronpulley/config/catalogue.h"
#include "citronpulley/replay/outcome_statistics.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace citronpulley {

namespace {

/** Rounds to three decimals, so that the output is the same on every platform. */
double Round(double aValue)
{
  return std::round(aValue * 1e3) / 1e3;
}

/** @return time from the first sending of the request to its end, in milliseconds */
double ComputeLatencyMs(const request_record& aRequest)
{
  return static_cast<double>((aRequest.mEndedAt - aRequest.mSentAt).count()) / 1e3;
}

bool IsCallerRequest(const request_record& aRequest)
{
  return !aRequest.mIsOperation;
}

/** @return rate and burst by workspace, from the first valid text that the trace submits */
std::map<std::string, std::pair<double, double>> ReadRates(const trace& aTrace)
{
  std::map<std::string, std::pair<double, double>> rates;
  for (const trace_entry& event : aTrace.mEvents) {
    if (event.GetKind() != "submit" || !rates.empty()) {
      continue;
    }
    config_faults faults;
    const auto content =
      ParseCatalogue(aTrace.mConfigTexts.at(event.GetText("text")), "text", faults);
    if (content) {
      for (const workspace_entry& workspace : content->mWorkspaces) {
        rates[workspace.mName.mValue] = { workspace.mRatePerSecond, workspace.mBurst };
      }
    }
  }
  return rates;
}

boost::json::object MeasureLatency(const replay_history& aHistory)
{
  std::vector<double> values;
  for (const request_record& request : aHistory.mRequests) {
    if (IsCallerRequest(request) && request.mStatus == 200) {
      values.push_back(ComputeLatencyMs(request));
    }
  }
  return { { "answers", values.size() },
           { "p50", Round(ComputeQuantile(values, 0.5)) },
           { "p90", Round(ComputeQuantile(values, 0.9)) },
           { "p99", Round(ComputeQuantile(values, 0.99)) },
           { "max", Round(ComputeQuantile(values, 1)) } };
}

/**
 * Computes the fraction of free slots of each region: the minimum over all services and
 * seconds, and the mean.
 */
boost::json::object MeasureHeadroom(const trace& aTrace, const replay_history& aHistory)
{
  constexpr std::int64_t kSecond = 1'000'000;
  using pool = std::pair<std::string, std::string>;
  std::map<pool, double> slots;
  for (const trace_server& server : aTrace.mServers) {
    slots[{ server.mRegion, server.mService }] += static_cast<double>(server.mSlots);
  }
  std::map<std::pair<pool, std::int64_t>, double> busy;
  for (const run_record& run : aHistory.mRuns) {
    std::int64_t from = run.mStartedAt.count();
    while (from < run.mEndedAt.count()) {
      const std::int64_t to = std::min(run.mEndedAt.count(), (from / kSecond + 1) * kSecond);
      busy[{ { run.mRegion, run.mService }, from / kSecond }] +=
        static_cast<double>(to - from) / kSecond;
      from = to;
    }
  }
  struct region_sums
  {
    double mSlots = 0;
    double mBusy = 0;
    double mMinFree = 1;
  };
  std::map<std::string, region_sums> regions;
  for (const auto& [key, count] : slots) {
    regions[key.first].mSlots += count;
  }
  for (const auto& [second, used] : busy) {
    region_sums& region = regions[second.first.first];
    region.mBusy += used;
    region.mMinFree = std::min(region.mMinFree, 1 - used / slots[second.first]);
  }
  const double seconds = static_cast<double>(aTrace.mEndsAt.count()) / kSecond;
  boost::json::object headroom;
  for (const auto& [name, region] : regions) {
    headroom[name] =
      boost::json::object{ { "least", Round(region.mMinFree) },
                           { "mean", Round(1 - region.mBusy / seconds / region.mSlots) } };
  }
  return headroom;
}

/**
 * Computes the time from the start of each drain or graceful stop to its end. A drain ends with the
 * last run of the server or region, also when that run started later. The time is null when the end
 * is not within the trace.
 */
boost::json::array MeasureDrains(const trace& aTrace, const replay_history& aHistory)
{
  boost::json::array drains;
  for (const drain_event_record& event : aHistory.mDrainEvents) {
    if (event.mKind == "stopped") {
      continue;
    }
    microseconds end = event.mAt;
    bool isDone = event.mKind == "drain";
    if (event.mKind == "stop") {
      for (const drain_event_record& other : aHistory.mDrainEvents) {
        if (!isDone && other.mKind == "stopped" && other.mSubject == event.mSubject &&
            other.mAt >= event.mAt) {
          end = other.mAt;
          isDone = true;
        }
      }
    }
    for (const run_record& run : aHistory.mRuns) {
      const bool isDrainedRun = run.mServer == event.mSubject || run.mRegion == event.mSubject;
      if (isDrainedRun && run.mEndedAt > end) {
        end = run.mEndedAt;
        isDone = isDone && run.mEndedAt < aTrace.mEndsAt;
      }
    }
    const double time = static_cast<double>((end - event.mAt).count()) / 1e3;
    drains.push_back({ { "place", event.mSubject },
                       { "kind", event.mKind },
                       { "ms", isDone ? boost::json::value(Round(time)) : nullptr } });
  }
  return drains;
}

/** Totals of the requests of one workspace. */
struct workspace_sums
{
  /** Number of requests that found a token in a bucket with the workspace's rate and burst. */
  std::int64_t mInsideRate = 0;
  std::int64_t mAnswered = 0;
  std::int64_t mRefused = 0;
  std::vector<double> mLatencies;
  /** Tokens in the bucket at mRefilledAt. */
  double mTokens = 0;
  microseconds mRefilledAt{ 0 };
};

} // namespace

std::string MeasureHistory(const trace& aTrace, const replay_history& aHistory)
{
  const auto rates = ReadRates(aTrace);
  std::map<std::string, workspace_sums> sums;
  for (const request_record& request : aHistory.mRequests) {
    const auto rate = rates.find(request.mWorkspace);
    if (!IsCallerRequest(request) || rate == rates.end()) {
      continue;
    }
    const auto [perSecond, burst] = rate->second;
    workspace_sums& sum = sums.try_emplace(request.mWorkspace).first->second;
    const double elapsedSeconds =
      static_cast<double>((request.mSentAt - sum.mRefilledAt).count()) / 1e6;
    const bool isFirst = sum.mRefilledAt.count() == 0;
    sum.mTokens = isFirst ? burst : std::min(burst, sum.mTokens + elapsedSeconds * perSecond);
    sum.mRefilledAt = request.mSentAt;
    if (sum.mTokens >= 1) {
      sum.mTokens -= 1;
      ++sum.mInsideRate;
    }
    if (request.mStatus == 200) {
      ++sum.mAnswered;
      sum.mLatencies.push_back(ComputeLatencyMs(request));
    }
    const bool isRefused =
      request.mOutcome == "not_run" &&
      (request.mStatus == 429 || request.mStatus == 503 || request.mStatus == 504);
    sum.mRefused += isRefused ? 1 : 0;
  }
  boost::json::object worst;
  double worstFraction = 2;
  double worstLatency = 0;
  std::int64_t refused = 0;
  std::int64_t inside = 0;
  for (const auto& [workspace, sum] : sums) {
    // Any request of a workspace over its rate may be refused, whether a token was left or not.
    // Refusals therefore count only up to the number of requests inside the rate that are not
    // matched by an answer.
    refused += std::min(sum.mRefused, std::max<std::int64_t>(0, sum.mInsideRate - sum.mAnswered));
    inside += sum.mInsideRate;
    const double fraction =
      std::min(1.0, static_cast<double>(sum.mAnswered) / static_cast<double>(sum.mInsideRate));
    const double latency = ComputeQuantile(sum.mLatencies, 0.99);
    if (fraction < worstFraction || (fraction == worstFraction && latency > worstLatency)) {
      worstFraction = fraction;
      worstLatency = latency;
      worst = { { "workspace", workspace },
                { "answered_share", Round(fraction) },
                { "p99_ms", Round(latency) } };
    }
  }
  const boost::json::object document{ { "trace", aTrace.mName },
                                      { "latency_ms", MeasureLatency(aHistory) },
                                      { "headroom", MeasureHeadroom(aTrace, aHistory) },
                                      { "drain_ms", MeasureDrains(aTrace, aHistory) },
                                      { "worst_workspace", worst },
                                      { "refused_inside_rate",
                                        { { "refused", refused }, { "inside_rate", inside } } } };
  return boost::json::serialize(document);
}

} // namespace citronpulley
