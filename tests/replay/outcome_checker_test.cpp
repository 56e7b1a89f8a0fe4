#include "citronpulley/replay/outcome_checker.h"
#include "citronpulley/replay/outcome_statistics.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

microseconds Milliseconds(std::int64_t aValue)
{
  return microseconds(aValue * 1'000);
}

request_record MakeRequest(const std::string& aId)
{
  request_record request;
  request.mId = aId;
  request.mGroup = "g";
  request.mWorkspace = "boats";
  request.mIsEnded = true;
  request.mStatus = 200;
  request.mCode = "ok";
  request.mAnsweredRequest = aId;
  return request;
}

run_record MakeRun(const std::string& aRequest, std::int64_t aFrom, std::int64_t aTo)
{
  run_record run;
  run.mRequest = aRequest;
  run.mServer = "s";
  run.mRegion = "r";
  run.mWorkspace = "boats";
  run.mStartedAt = Milliseconds(aFrom);
  run.mEndedAt = Milliseconds(aTo);
  return run;
}

} // namespace

TEST_GROUP(outcome_checker)
{
  trace mTrace;
  replay_history mHistory;

  void setup() override
  {
    mTrace.mFile = "file";
    mTrace.mServers.push_back({ "s", "s", "stock", "a", "r", 1 });
    mHistory.mRequests.push_back(MakeRequest("one"));
    mHistory.mRuns.push_back(MakeRun("one", 10, 20));
  }

  void Expect(const boost::json::object& aFields)
  {
    mTrace.mOutcomes.emplace_back(7, std::string(aFields.at("expect").as_string()), aFields);
  }

  std::size_t CountDifferences() const
  {
    return CheckHistory(mTrace, mHistory).mDifferences.size();
  }
};

/** Guards against differences reported for a correct history. */
TEST(outcome_checker, accepts_a_correct_history)
{
  Expect({ { "expect", "answer" }, { "request", "one" }, { "status", 200 } });
  Expect({ { "expect", "runs" }, { "request", "one" }, { "at_most", 1 }, { "at_least", 1 } });
  LONGS_EQUAL(0, CountDifferences());
  LONGS_EQUAL(2, CheckHistory(mTrace, mHistory).mOutcomes);
}

/** Guards against a checker that misses the second run of a request with an idempotency key. */
TEST(outcome_checker, finds_an_idempotency_key_that_ran_twice)
{
  mHistory.mRequests[0].mIdempotencyKey = "order";
  mHistory.mRuns.push_back(MakeRun("one", 30, 40));
  LONGS_EQUAL(1, CountDifferences());
}

/**
 * Guards against a checker that accepts the outcome `not_run` for a request that a server has run.
 */
TEST(outcome_checker, finds_a_rejected_request_that_has_run)
{
  mHistory.mRequests[0].mStatus = 503;
  mHistory.mRequests[0].mOutcome = "not_run";
  LONGS_EQUAL(1, CountDifferences());
}

/**
 * Guards against a checker that misses an answer of another request, a run for another workspace or
 * a caller's key that was forwarded to the server.
 */
TEST(outcome_checker, finds_mixed_up_answers_workspaces_and_leaked_keys)
{
  mHistory.mRequests[0].mAnsweredRequest = "two";
  mHistory.mRuns[0].mWorkspace = "nets";
  mHistory.mRuns[0].mHasCallerKey = true;
  LONGS_EQUAL(3, CountDifferences());
}

/**
 * Guards against a checker that misses a server with more runs than slots or an entry VM whose
 * configuration version decreases.
 */
TEST(outcome_checker, finds_exceeded_slots_and_version_rollback)
{
  mHistory.mRequests.push_back(MakeRequest("two"));
  mHistory.mRuns.push_back(MakeRun("two", 19, 30));
  mHistory.mVersions = { { "vm", 2, Milliseconds(1) },
                         { "vm", 0, Milliseconds(2) },
                         { "vm", 1, Milliseconds(3) } };
  LONGS_EQUAL(2, CountDifferences());
}

/** Guards against kinds of expected outcomes whose check passes for every history. */
TEST(outcome_checker, finds_each_kind_of_stated_difference)
{
  Expect({ { "expect", "answer" }, { "request", "one" }, { "status", 429 } });
  Expect({ { "expect", "runs" }, { "region", "r" }, { "after_ms", 5 }, { "at_most", 0 } });
  Expect({ { "expect", "group" }, { "group", "g" }, { "status", 503 }, { "at_least_ratio", 0.5 } });
  Expect({ { "expect", "running" }, { "at_most", 0 } });
  Expect({ { "expect", "rate" }, { "region", "r" }, { "at_most", 0 } });
  Expect(
    { { "expect", "spend" }, { "workspace", "boats" }, { "rate_per_second", 1 }, { "burst", 0 } });
  Expect({ { "expect", "latency" }, { "group", "g" }, { "quantile", 0.5 }, { "at_least_ms", 1 } });
  Expect({ { "expect", "stopped" }, { "vm", "vm" }, { "by_ms", 10 } });
  LONGS_EQUAL(8, CountDifferences());
}

/**
 * Guards against missing an exceeded rate that only a window in the middle of the history shows.
 */
TEST(outcome_checker, computes_the_excess_of_the_worst_window)
{
  const std::vector<microseconds> times{
    Milliseconds(0), Milliseconds(5'000), Milliseconds(5'100), Milliseconds(5'200)
  };
  DOUBLES_EQUAL(3 - 0.2 - 2, ComputeWorstExcess(times, 1, 2), 1e-9);
  CHECK(ComputeWorstExcess(times, 1, 3) <= 0);
  DOUBLES_EQUAL(2, ComputeQuantile({ 3, 1, 2 }, 0.5), 1e-9);
}
