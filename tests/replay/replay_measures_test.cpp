#include "citronpulley/replay/replay_measures.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(replay_measures){};

/**
 * Guards against counting all refusals of a workspace that exceeds its rate: only as many count as
 * answers are missing for the requests inside the rate.
 */
TEST(replay_measures, counts_refusals_inside_the_rate_only)
{
  trace content;
  content.mName = "t";
  content.mEndsAt = microseconds(10'000'000);
  content.mConfigTexts["base"] =
    "deployment = \"d\"\n[[regions]]\nname = \"r\"\nzones = [\"a\"]\n"
    "capacity_per_second = 9\n[[services]]\nname = \"s\"\n"
    "shift_cap_percent_per_minute = 1\n[[services.routes]]\npath = \"/\"\n"
    "[[workspaces]]\nname = \"w\"\nrate_per_second = 1\nburst = 2\n";
  content.mEvents.emplace_back(
    1, "submit", boost::json::object{ { "event", "submit" }, { "text", "base" } });
  replay_history history;
  for (int number = 0; number < 6; ++number) {
    request_record request;
    request.mWorkspace = "w";
    request.mIsEnded = true;
    request.mSentAt = microseconds(1'000'000 + number);
    request.mEndedAt = request.mSentAt + microseconds(5'000);
    request.mStatus = number == 5 ? 200 : 429;
    request.mOutcome = number == 5 ? "" : "not_run";
    history.mRequests.push_back(request);
  }
  const std::string measures = MeasureHistory(content, history);
  STRCMP_CONTAINS(R"("refused_inside_rate":{"refused":1,"inside_rate":2})", measures.c_str());
  STRCMP_CONTAINS(R"("answered_share":5E-1,"p99_ms":5E0)", measures.c_str());
}
