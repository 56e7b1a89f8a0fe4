#include "citronpulley/replay/outcome_checker.h"

#include "citronpulley/replay/outcome_statistics.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <map>
#include <set>

namespace citronpulley {

namespace {

std::string FormatNumber(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", aValue);
  return text;
}

std::string FormatTime(microseconds aTime)
{
  return FormatNumber(static_cast<double>(aTime.count()) / 1e3) + " ms";
}

std::string Quote(const std::string& aText)
{
  return "\"" + aText + "\"";
}

class history_checker
{
public:
  history_checker(const trace& aTrace, const replay_history& aHistory)
    : mTrace(aTrace)
    , mHistory(aHistory)
  {
    for (const request_record& request : aHistory.mRequests) {
      if (!request.mId.empty()) {
        mRequests.emplace(request.mId, &request);
      }
    }
  }

  check_result Check()
  {
    CheckRunInvariants();
    CheckAnswerInvariants();
    CheckVersionInvariants();
    for (const trace_entry& outcome : mTrace.mOutcomes) {
      mLine = outcome.GetLine();
      ++mResult.mOutcomes;
      CheckOutcome(outcome);
    }
    return std::move(mResult);
  }

private:
  void ReportDifference(const std::string& aDifference)
  {
    mResult.mDifferences.push_back(mTrace.mFile + ":" + std::to_string(mLine) + ": " + aDifference);
  }

  const request_record* FindRequest(const std::string& aId) const
  {
    const auto found = mRequests.find(aId);
    return found == mRequests.end() ? nullptr : found->second;
  }

  /** Checks invariants I2, I3, I4, I8 and I9: what servers ran, for whom and how often. */
  void CheckRunInvariants()
  {
    std::map<std::string, std::size_t> runsOfKey;
    std::set<std::string> ran;
    for (const run_record& run : mHistory.mRuns) {
      const std::string location = " at " + run.mServer + " at " + FormatTime(run.mStartedAt);
      ran.insert(run.mRequest);
      if (run.mHasCallerKey) {
        ReportDifference("I4: the server saw the caller's key" + location);
      }
      const request_record* request = FindRequest(run.mRequest);
      if (request == nullptr) {
        ReportDifference("I3: a run belongs to no request" + location);
        continue;
      }
      if (!run.mWorkspace.empty() && run.mWorkspace != request->mWorkspace) {
        ReportDifference("I3: " + request->mId + " ran for " + Quote(run.mWorkspace) +
                         " and not for " + Quote(request->mWorkspace) + location);
      }
      if (!request->mIdempotencyKey.empty() &&
          ++runsOfKey[request->mWorkspace + "/" + request->mIdempotencyKey] == 2) {
        ReportDifference("I9: idempotency key " + Quote(request->mIdempotencyKey) + " ran twice" +
                         location);
      }
    }
    for (const request_record& request : mHistory.mRequests) {
      if (request.mOutcome == "not_run" && ran.contains(request.mId)) {
        ReportDifference("I8: " + request.mId + " was rejected as not_run (" + request.mCode +
                         ") but has run");
      }
    }
    for (const trace_server& server : mTrace.mServers) {
      const std::int64_t maximum =
        ComputeMaxConcurrency([&](const run_record& aRun) { return aRun.mServer == server.mName; });
      if (maximum > server.mSlots) {
        ReportDifference("I2: " + server.mName + " ran " + std::to_string(maximum) +
                         " requests at once with " + std::to_string(server.mSlots) + " slots");
      }
    }
  }

  /** Checks I7: each answer is for its request or one of the same workspace and idempotency key. */
  void CheckAnswerInvariants()
  {
    for (const request_record& request : mHistory.mRequests) {
      if (request.mIsOperation || request.mStatus != 200) {
        continue;
      }
      const request_record* answered = FindRequest(request.mAnsweredRequest);
      const bool isOwn = request.mAnsweredRequest == request.mId;
      const bool isRepeated = answered != nullptr && !request.mIdempotencyKey.empty() &&
                              answered->mIdempotencyKey == request.mIdempotencyKey &&
                              answered->mWorkspace == request.mWorkspace;
      if (!isOwn && !isRepeated) {
        ReportDifference("I7: " + request.mId + " got the answer of " +
                         Quote(request.mAnsweredRequest));
      }
    }
  }

  /** Checks invariant I12: the configuration version of an entry VM never decreases. */
  void CheckVersionInvariants()
  {
    std::map<std::string, std::uint64_t> highest;
    for (const version_record& version : mHistory.mVersions) {
      std::uint64_t& known = highest[version.mVm];
      // A restarted VM reports version 0 until it has a configuration.
      if (version.mVersion != 0 && version.mVersion < known) {
        ReportDifference("I12: " + version.mVm + " went back from version " +
                         std::to_string(known) + " to " + std::to_string(version.mVersion) +
                         " at " + FormatTime(version.mAt));
      }
      known = std::max(known, version.mVersion);
    }
  }

  /** @return maximum number of runs at the same time among those that pass the filter */
  template<typename Filter>
  std::int64_t ComputeMaxConcurrency(const Filter& aFilter) const
  {
    std::vector<std::pair<microseconds, int>> changes;
    for (const run_record& run : mHistory.mRuns) {
      if (aFilter(run)) {
        changes.emplace_back(run.mStartedAt, 1);
        changes.emplace_back(run.mEndedAt, -1);
      }
    }
    std::sort(changes.begin(), changes.end());
    std::int64_t running = 0;
    std::int64_t maximum = 0;
    for (const auto& [time, change] : changes) {
      running += change;
      maximum = std::max(maximum, running);
    }
    return maximum;
  }

  static bool IsServerNamed(const trace_server& aServer, const std::string& aName)
  {
    return aServer.mName == aName || aServer.mDeclaredName == aName;
  }

  bool IsRunSelected(const run_record& aRun, const trace_entry& aOutcome) const
  {
    const request_record* request = FindRequest(aRun.mRequest);
    const auto differs = [&](const char* aKey, const std::string& aValue) {
      return aOutcome.Has(aKey) && aOutcome.GetText(aKey) != aValue;
    };
    if (differs("request", aRun.mRequest) || differs("service", aRun.mService) ||
        differs("workspace", aRun.mWorkspace) || differs("zone", aRun.mZone) ||
        differs("region", aRun.mRegion) ||
        differs("idempotency_key", request == nullptr ? "" : request->mIdempotencyKey)) {
      return false;
    }
    if (aOutcome.Has("path") && !aRun.mPath.starts_with(aOutcome.GetText("path"))) {
      return false;
    }
    if (aOutcome.Has("server")) {
      const bool isServer =
        std::any_of(mTrace.mServers.begin(), mTrace.mServers.end(), [&](const auto& aServer) {
          return aServer.mName == aRun.mServer &&
                 IsServerNamed(aServer, aOutcome.GetText("server"));
        });
      if (!isServer) {
        return false;
      }
    }
    return IsInTimeRange(aRun.mStartedAt, aOutcome);
  }

  static bool IsInTimeRange(microseconds aTime, const trace_entry& aOutcome)
  {
    return aTime >= aOutcome.GetTime("after_ms") &&
           (!aOutcome.Has("before_ms") || aTime < aOutcome.GetTime("before_ms"));
  }

  std::vector<const run_record*> ListSelectedRuns(const trace_entry& aOutcome) const
  {
    std::vector<const run_record*> runs;
    for (const run_record& run : mHistory.mRuns) {
      if (IsRunSelected(run, aOutcome)) {
        runs.push_back(&run);
      }
    }
    return runs;
  }

  void CheckOutcome(const trace_entry& aOutcome)
  {
    const std::string& kind = aOutcome.GetKind();
    if (kind == "answer") {
      CheckAnswer(aOutcome);
    } else if (kind == "runs") {
      const std::vector<const run_record*> runs = ListSelectedRuns(aOutcome);
      const std::string last =
        runs.empty() ? "" : ", the last one at " + FormatTime(runs.back()->mStartedAt);
      CheckCount("runs", static_cast<std::int64_t>(runs.size()), aOutcome, last);
    } else if (kind == "group") {
      CheckGroup(aOutcome);
    } else if (kind == "running") {
      CheckRunning(aOutcome);
    } else if (kind == "rate") {
      CheckRate(aOutcome);
    } else if (kind == "spend") {
      CheckSpend(aOutcome);
    } else if (kind == "latency") {
      CheckLatency(aOutcome);
    } else if (kind == "version") {
      CheckVersion(aOutcome);
    } else {
      CheckStopped(aOutcome);
    }
  }

  void CheckCount(const std::string& aWhat,
                  std::int64_t aCount,
                  const trace_entry& aOutcome,
                  const std::string& aDetail = "")
  {
    const std::string found = std::to_string(aCount) + " " + aWhat + aDetail;
    if (aOutcome.Has("at_most") && aCount > aOutcome.GetInteger("at_most", 0)) {
      ReportDifference(found + "; at most " + std::to_string(aOutcome.GetInteger("at_most", 0)) +
                       " expected");
    }
    if (aOutcome.Has("at_least") && aCount < aOutcome.GetInteger("at_least", 0)) {
      ReportDifference(found + "; at least " + std::to_string(aOutcome.GetInteger("at_least", 0)) +
                       " expected");
    }
  }

  void CheckAnswer(const trace_entry& aOutcome)
  {
    const std::string id = aOutcome.GetText("request");
    const request_record* request = FindRequest(id);
    if (request == nullptr || !request->mIsEnded) {
      ReportDifference(id + " has not ended");
      return;
    }
    const std::string status = std::to_string(request->mStatus);
    if (aOutcome.Has("status") && aOutcome.GetInteger("status", 0) != request->mStatus) {
      ReportDifference(id + " got status " + status + " (" + request->mCode + " " +
                       request->mOutcome + ") and not " +
                       std::to_string(aOutcome.GetInteger("status", 0)));
    }
    const auto compare = [&](const char* aKey, const std::string& aFound) {
      if (aOutcome.Has(aKey) && aOutcome.GetText(aKey) != aFound) {
        ReportDifference(id + ": " + aKey + " is " + Quote(aFound) + " and not " +
                         Quote(aOutcome.GetText(aKey)));
      }
    };
    compare("code", request->mCode);
    compare("outcome", request->mOutcome);
    compare("server", request->mServer);
    compare("zone", request->mZone);
    compare("region", request->mRegion);
    compare("body", request->mAnswer);
    if (aOutcome.Has("body_contains") &&
        request->mAnswer.find(aOutcome.GetText("body_contains")) == std::string::npos) {
      ReportDifference(id + ": the answer does not contain " +
                       Quote(aOutcome.GetText("body_contains")));
    }
    if (aOutcome.Has("same_body_as")) {
      const request_record* other = FindRequest(aOutcome.GetText("same_body_as"));
      if (other == nullptr || other->mAnswer != request->mAnswer) {
        ReportDifference(id + " got another answer than " + aOutcome.GetText("same_body_as"));
      }
    }
    if (aOutcome.Has("by_ms") && request->mEndedAt > aOutcome.GetTime("by_ms")) {
      ReportDifference(id + " ended at " + FormatTime(request->mEndedAt) + "; at most " +
                       FormatTime(aOutcome.GetTime("by_ms")));
    }
  }

  void CheckGroup(const trace_entry& aOutcome)
  {
    std::int64_t all = 0;
    std::int64_t matching = 0;
    std::map<std::string, std::int64_t> others;
    for (const request_record& request : mHistory.mRequests) {
      const bool isInGroup =
        request.mGroup == aOutcome.GetText("group") && IsInTimeRange(request.mSentAt, aOutcome) &&
        (!aOutcome.Has("vm") || request.mVm == aOutcome.GetText("vm")) &&
        (!aOutcome.Has("workspace") || request.mWorkspace == aOutcome.GetText("workspace"));
      if (!isInGroup) {
        continue;
      }
      ++all;
      const auto agrees = [&](const char* aKey, const std::string& aValue) {
        return !aOutcome.Has(aKey) || aOutcome.GetText(aKey) == aValue;
      };
      const bool isMatching =
        request.mIsEnded &&
        (!aOutcome.Has("status") || aOutcome.GetInteger("status", 0) == request.mStatus) &&
        agrees("code", request.mCode) && agrees("outcome", request.mOutcome) &&
        agrees("zone", request.mZone) && agrees("region", request.mRegion);
      if (isMatching) {
        ++matching;
      } else {
        ++others[request.mIsEnded ? std::to_string(request.mStatus) + " " + request.mCode + " " +
                                      request.mOutcome + request.mRegion
                                  : "no end"];
      }
    }
    std::string detail = " of " + std::to_string(all);
    for (const auto& [code, count] : others) {
      detail += "; " + std::to_string(count) + " " + code;
    }
    CheckCount("matching requests", matching, aOutcome, detail);
    const double ratio = all == 0 ? 0 : static_cast<double>(matching) / static_cast<double>(all);
    const std::string found =
      "ratio " + FormatNumber(ratio) + " (" + std::to_string(matching) + detail + ")";
    if (aOutcome.Has("at_least_ratio") && ratio < aOutcome.GetNumber("at_least_ratio", 0)) {
      ReportDifference(found + " is below " +
                       FormatNumber(aOutcome.GetNumber("at_least_ratio", 0)));
    }
    if (aOutcome.Has("at_most_ratio") && ratio > aOutcome.GetNumber("at_most_ratio", 0)) {
      ReportDifference(found + " is above " + FormatNumber(aOutcome.GetNumber("at_most_ratio", 0)));
    }
  }

  void CheckRunning(const trace_entry& aOutcome)
  {
    for (const trace_server& server : mTrace.mServers) {
      const std::int64_t maximum = ComputeMaxConcurrency([&](const run_record& aRun) {
        return aRun.mServer == server.mName && IsRunSelected(aRun, aOutcome);
      });
      if (maximum > aOutcome.GetInteger("at_most", 0)) {
        ReportDifference(server.mName + " ran " + std::to_string(maximum) +
                         " requests at once; at most " +
                         std::to_string(aOutcome.GetInteger("at_most", 0)));
      }
    }
  }

  void CheckRate(const trace_entry& aOutcome)
  {
    const std::vector<const run_record*> runs = ListSelectedRuns(aOutcome);
    const microseconds window = aOutcome.GetTime("window_ms", 1'000);
    std::size_t first = 0;
    std::size_t maximum = 0;
    microseconds at{ 0 };
    for (std::size_t last = 0; last < runs.size(); ++last) {
      while (runs[first]->mStartedAt + window <= runs[last]->mStartedAt) {
        ++first;
      }
      if (last - first + 1 > maximum) {
        maximum = last - first + 1;
        at = runs[first]->mStartedAt;
      }
    }
    CheckCount("runs in a window",
               static_cast<std::int64_t>(maximum),
               aOutcome,
               " that begins at " + FormatTime(at));
  }

  void CheckSpend(const trace_entry& aOutcome)
  {
    std::vector<microseconds> times;
    std::set<std::string> counted;
    for (const run_record& run : mHistory.mRuns) {
      // Retries of one request count once against the workspace's rate.
      if (run.mWorkspace == aOutcome.GetText("workspace") && counted.insert(run.mRequest).second) {
        times.push_back(run.mStartedAt);
      }
    }
    const double rate = aOutcome.GetNumber("rate_per_second", 0);
    const double allowance = rate * aOutcome.GetNumber("jitter_ms", 0) / 1e3;
    const double excess =
      ComputeWorstExcess(times, rate, aOutcome.GetNumber("burst", 0) + allowance);
    if (excess > 0) {
      ReportDifference("a window has " + FormatNumber(excess) + " requests of " +
                       Quote(aOutcome.GetText("workspace")) + " more than rate (" +
                       FormatNumber(rate) + " per second), burst (" +
                       FormatNumber(aOutcome.GetNumber("burst", 0)) + ") and jitter (" +
                       FormatNumber(aOutcome.GetNumber("jitter_ms", 0)) + " ms) allow");
    }
  }

  void CheckLatency(const trace_entry& aOutcome)
  {
    std::vector<double> values;
    for (const request_record& request : mHistory.mRequests) {
      if (request.mGroup == aOutcome.GetText("group") && request.mStatus == 200 &&
          IsInTimeRange(request.mSentAt, aOutcome)) {
        values.push_back(static_cast<double>((request.mEndedAt - request.mSentAt).count()) / 1e3);
      }
    }
    const double found = ComputeQuantile(values, aOutcome.GetNumber("quantile", 0.5));
    const std::string text = "the quantile is " + FormatNumber(found) + " ms over " +
                             std::to_string(values.size()) + " answers";
    if (values.empty() ||
        (aOutcome.Has("at_most_ms") && found > aOutcome.GetNumber("at_most_ms", 0))) {
      ReportDifference(
        text + (values.empty()
                  ? "; expected at least one answer"
                  : "; at most " + FormatNumber(aOutcome.GetNumber("at_most_ms", 0)) + " ms"));
    }
    if (aOutcome.Has("at_least_ms") && found < aOutcome.GetNumber("at_least_ms", 0)) {
      ReportDifference(text + "; at least " + FormatNumber(aOutcome.GetNumber("at_least_ms", 0)) +
                       " ms");
    }
  }

  void CheckVersion(const trace_entry& aOutcome)
  {
    const auto required = static_cast<std::uint64_t>(aOutcome.GetInteger("version", 0));
    const microseconds by = aOutcome.GetTime("by_ms");
    std::vector<std::string> names = aOutcome.GetList("vms");
    if (names.empty()) {
      names.emplace_back("*");
    }
    std::set<std::string> vms;
    for (const std::string& name : names) {
      for (const std::string& vm : mTrace.ListEntryVms(name)) {
        vms.insert(vm);
      }
    }
    std::map<std::string, std::uint64_t> latest;
    for (const version_record& version : mHistory.mVersions) {
      if (version.mAt <= by) {
        latest[version.mVm] = version.mVersion;
      }
    }
    for (const std::string& vm : vms) {
      if (latest[vm] < required) {
        ReportDifference(vm + " has version " + std::to_string(latest[vm]) +
                         " in force; at least " + std::to_string(required) + " by " +
                         FormatTime(by));
      }
    }
  }

  void CheckStopped(const trace_entry& aOutcome)
  {
    for (const drain_event_record& event : mHistory.mDrainEvents) {
      if (event.mKind == "stopped" && event.mSubject == aOutcome.GetText("vm") &&
          event.mAt <= aOutcome.GetTime("by_ms")) {
        return;
      }
    }
    ReportDifference(aOutcome.GetText("vm") + " has not stopped by " +
                     FormatTime(aOutcome.GetTime("by_ms")));
  }

  const trace& mTrace;
  const replay_history& mHistory;
  std::map<std::string, const request_record*> mRequests;
  check_result mResult;
  /** Line of the outcome under check; 0 for invariants. */
  std::size_t mLine = 0;
};

} // namespace

check_result CheckHistory(const trace& aTrace, const replay_history& aHistory)
{
  return history_checker(aTrace, aHistory).Check();
}

} // namespace citronpulley
