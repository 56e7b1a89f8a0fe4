#include "citronpulley/replay/replay_runner.h"

#include "citronpulley/replay/outcome_checker.h"
#include "citronpulley/replay/replay_measures.h"
#include "citronpulley/runtime/node_runner.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

const std::string kFolder = CITRONPULLEY_SOURCE_DIR;

trace ReadExample()
{
  const std::string file = kFolder + "/traces/example-order-repeated.jsonl";
  std::vector<std::string> faults;
  const std::optional<trace> content = ReadTrace(ReadFile(file).Get(), file, kFolder, faults);
  CHECK(faults.empty());
  return *content;
}

const request_record& Find(const replay_history& aHistory, const std::string& aId)
{
  for (const request_record& request : aHistory.mRequests) {
    if (request.mId == aId) {
      return request;
    }
  }
  FAIL("no such request");
  return aHistory.mRequests.front();
}

} // namespace

TEST_GROUP(replay_runner){};

/** Guards against a replay that depends on anything but its trace. */
TEST(replay_runner, gives_the_same_history_on_every_run)
{
  const trace example = ReadExample();
  const replay_history first = RunTrace(example).Get();
  const replay_history second = RunTrace(example).Get();
  LONGS_EQUAL(first.mRuns.size(), second.mRuns.size());
  STRCMP_EQUAL(MeasureHistory(example, first).c_str(), MeasureHistory(example, second).c_str());
}

/** Guards against a replay that delivers no requests to the nodes or no answers to the callers. */
TEST(replay_runner, delivers_requests_to_servers_and_answers_to_callers)
{
  const trace example = ReadExample();
  const replay_history history = RunTrace(example).Get();
  LONGS_EQUAL(200, Find(history, "first-text").mStatus);
  LONGS_EQUAL(401, Find(history, "no-key").mStatus);
  CHECK(history.mRuns.size() > 20);
  CHECK(history.mVersions.back().mVersion == 1);
}

/** Guards against a request that is delivered to a VM whose process was killed. */
TEST(replay_runner, ends_requests_to_a_killed_vm_without_an_answer)
{
  trace example = ReadExample();
  example.mEvents.emplace_back(
    99,
    "kill",
    boost::json::object{ { "event", "kill" }, { "at_ms", 3'000 }, { "vm", "entry-a-1" } });
  const replay_history history = RunTrace(example).Get();
  STRCMP_EQUAL("no_connection", Find(history, "look-up").mCode.c_str());
  LONGS_EQUAL(0, Find(history, "look-up").mStatus);
}
