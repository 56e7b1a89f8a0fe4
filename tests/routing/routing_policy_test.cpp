#include "citronpulley/routing/routing_policy.h"

#include "citronpulley/node/control_node.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

const std::vector<zone_candidate> kZones{ { 0, 0, 20, 10, -1 },
                                          { 1, 1.5, 20, 2, -1 },
                                          { 2, 21.5, 60, 0, -1 } };

std::vector<int> CountZones(const char* aPolicy,
                            const std::vector<zone_candidate>& aZones,
                            const steering_weights& aWeights)
{
  const auto policy = routing_policy_registry::Instance().Make(aPolicy);
  std::mt19937_64 random(7);
  std::vector<int> counts(aZones.size());
  for (int count = 0; count < 3'000; ++count) {
    ++counts[policy->ChooseZone(aZones, aWeights, random())];
  }
  return counts;
}

} // namespace

TEST_GROUP(routing_policy){};

/** Guards against a self-registering policy that the linker drops, or that has a wrong name. */
TEST(routing_policy, all_policies_register_themselves)
{
  const std::vector<std::string> expected{
    "least_reported_load", "nearest_zone", "round_robin", "weighted"
  };
  CHECK(routing_policy_registry::Instance().ListNames() == expected);
}

/** Guards against baseline policies that deviate from their criterion, which would invalidate
 * comparisons with them. */
TEST(routing_policy, baselines_follow_their_single_criterion)
{
  LONGS_EQUAL(3'000, CountZones("nearest_zone", kZones, {})[0]);
  LONGS_EQUAL(3'000, CountZones("least_reported_load", kZones, {})[2]);
  for (const int count : CountZones("round_robin", kZones, {})) {
    LONGS_EQUAL(1'000, count);
  }
}

/** Guards against herding: all VMs that hold the same report choose the same zone. */
TEST(routing_policy, weighted_splits_requests_among_zones_of_equal_cost)
{
  const std::vector<zone_candidate> alike{ { 0, 1.5, 20, 0, -1 }, { 1, 1.5, 10, 0, -1 } };
  const std::vector<int> counts = CountZones("weighted", alike, {});
  DOUBLES_EQUAL(2'000, counts[0], 150);
}

/** Guards against weights of the deployment that have no effect on the choice. */
TEST(routing_policy, weighted_follows_latency_or_headroom_by_the_weights)
{
  const std::vector<int> fast = CountZones("weighted", kZones, { 3, 1, 1, 0 });
  const std::vector<int> safe = CountZones("weighted", kZones, { 0, 1, 1, 3 });
  CHECK(fast[0] > safe[0]);
  LONGS_EQUAL(0, fast[2]);
  CHECK(safe[2] > safe[0] + safe[1]);
  const std::vector<zone_candidate> full{ { 0, 0, 20, 20, -1 }, { 1, 1.5, 20, 0, -1 } };
  CHECK(CountZones("weighted", full, { 1, 1, 1, 1 })[1] > 2'900);
}

/** Guards against herding on the least loaded server, and against the choice of failing or
 * overloaded servers. */
TEST(routing_policy, weighted_chooses_the_better_of_two_random_servers)
{
  const auto policy = routing_policy_registry::Instance().Make("weighted");
  std::vector<server_candidate> servers;
  for (std::uint32_t index = 0; index < 20; ++index) {
    servers.push_back({ index, 4, index == 3 ? 4U : 1U, 0, index == 5 ? 0.0 : 1.0 });
  }
  servers[7].mReportedLoad = 3;
  std::mt19937_64 random(7);
  std::vector<int> counts(servers.size());
  for (int count = 0; count < 20'000; ++count) {
    ++counts[policy->ChooseServer(servers, random())];
  }
  LONGS_EQUAL(0, counts[5]);
  CHECK(counts[3] + counts[7] < 500);
  CHECK(*std::max_element(counts.begin(), counts.end()) < 2'000);
  LONGS_EQUAL(0, policy->ChooseServer(std::span(servers).first(1), random()));
}

/** Guards against an index out of range when no candidate has free slots or weight. */
TEST(routing_policy, each_policy_returns_a_valid_position)
{
  std::mt19937_64 random(11);
  for (const std::string& name : routing_policy_registry::Instance().ListNames()) {
    const auto policy = routing_policy_registry::Instance().Make(name);
    for (int count = 0; count < 2'000; ++count) {
      std::vector<zone_candidate> zones(1 + random() % 6);
      for (zone_candidate& zone : zones) {
        zone = { 0,
                 static_cast<double>(random() % 40),
                 static_cast<std::uint32_t>(random() % 3),
                 static_cast<std::uint32_t>(random() % 5),
                 -1 };
      }
      CHECK(policy->ChooseZone(zones, { 0, 0, 0, 0 }, random()) < zones.size());
    }
  }
}

/** Guards against a mistyped policy name that is accepted and replaced by the default policy. */
TEST(routing_policy, configuration_with_an_unknown_policy_is_rejected)
{
  recovered_member disk;
  disk.mMember = member_id{ 1 };
  disk.mVote.mTerm = 1;
  disk.mEntries = { MakeBootstrapEntry(1, disk.mMember, vm_name("c1")) };
  group_settings settings;
  settings.mSelf = vm_name("c1");
  settings.mControlVms = { settings.mSelf };
  control_node node(settings, disk, "secret", "operator", { 1, 1, instant() });
  current_time now;
  // Handles an event and the storage events that follow from it; writes complete at once.
  const auto handle = [&](node_event aEvent) {
    std::optional<http_answer> answer;
    std::deque<node_event> events{ std::move(aEvent) };
    while (!events.empty()) {
      node_actions actions;
      node.Handle(events.front(), now, actions);
      events.pop_front();
      for (const node_action& action : actions) {
        if (const auto* batch = std::get_if<storage_batch>(&action)) {
          events.emplace_back(batch_stored{ batch->mNumber, false, {} });
        }
        if (const auto* reply = std::get_if<reply_to_client>(&action)) {
          answer = reply->mAnswer;
        }
      }
    }
    return answer;
  };
  for (int tick = 0; tick < 400; ++tick) {
    now.mMonotonic += microseconds(5'000);
    handle(timer_ticked{});
  }
  const auto submit = [&](const std::string& aPolicy) {
    http_request_received request{
      1, "POST", "/v1/config", { { "Authorization", "Bearer operator" } }
    };
    request.mBody = R"({"submission":"s-)" + aPolicy + R"(","expected_version":0,"text":")" +
                    R"(deployment='t'\nrouting_policy=')" + aPolicy +
                    R"('\n[[regions]]\nname='n'\nzones=['n-a']\ncapacity_per_second=1\n)"
                    R"([[services]]\nname='s'\nshift_cap_percent_per_minute=1\n)"
                    R"([[services.routes]]\npath='/'\n"})";
    return handle(request).value();
  };
  const http_answer refusal = submit("nearest");
  LONGS_EQUAL(400, refusal.mStatus);
  CHECK(refusal.mBody.find("nearest_zone") != std::string::npos);
  CHECK(refusal.mBody.find("configuration:2: routing_policy") != std::string::npos);
  LONGS_EQUAL(200, submit("nearest_zone").mStatus);
}
