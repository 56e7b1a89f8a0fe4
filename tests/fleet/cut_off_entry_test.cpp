#include "fleet/cut_fleet.h"

#include <CppUTest/TestHarness.h>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace citronpulley;

namespace {

/** @return the numbers for which the condition holds */
std::vector<std::size_t> List(std::size_t aCount, const std::function<bool(std::size_t)>& aHolds)
{
  std::vector<std::size_t> list;
  for (std::size_t i = 0; i < aCount; ++i) {
    if (aHolds(i)) {
      list.push_back(i);
    }
  }
  return list;
}

} // namespace

TEST_GROUP(cut_off_entry){};

/** Guards against callers of VMs that reach no backend server being served worse than others. */
TEST(cut_off_entry, callers_of_vms_that_reach_no_backend_server_are_served)
{
  const auto most = [](std::size_t aVm) { return aVm % 5 < 3; };
  const auto region = [](std::size_t aVm) { return aVm % 2 == 0; };
  const auto one = [](std::size_t aVm) { return aVm == 0; };
  for (const cut kind : { cut::Silent, cut::RefusesNew, cut::Resets }) {
    for (const std::function<bool(std::size_t)>& isCut :
         { std::function<bool(std::size_t)>(most), { region }, { one } }) {
      for (const std::size_t count : { 6, 24 }) {
        for (const char* path : { "/get/x", "/post/x" }) {
          cut_fleet fleet(static_cast<int>(count), 7);
          fleet.Run(microseconds(3'000'000), 20, path);
          fleet.Cut(List(count, isCut), kind);
          fleet.Run(kSettleTime, 20, path);
          fleet.ResetTallies();
          fleet.Run(microseconds(5'000'000), 20, path);
          const auto cutOff = fleet.Sum(isCut);
          const auto others = fleet.Sum([&](std::size_t aVm) { return !isCut(aVm); });
          CHECK(cutOff.mSent > 50);
          CHECK(others.GetShare() > 0.9);
          CHECK(cutOff.GetShare() >= 2.0 / 3 * others.GetShare());
          CHECK_FALSE(fleet.HasRelayedTwice());
          // All VMs reach the backend servers again.
          fleet.Cut(List(count, isCut), cut::None);
          fleet.Run(microseconds(4'000'000), 20, path);
          fleet.ResetTallies();
          fleet.Run(microseconds(2'000'000), 20, path);
          LONGS_EQUAL(0, fleet.CountRelayed());
          CHECK(fleet.Sum(isCut).GetShare() > 0.9);
        }
      }
    }
  }
}

/** Guards against requests that go round the entry VMs, or wait, when no backend server runs. */
TEST(cut_off_entry, without_backend_servers_requests_are_refused_at_once)
{
  cut_fleet fleet(12, 3);
  fleet.Run(microseconds(3'000'000), 20);
  fleet.StopBackends(true);
  fleet.Run(kSettleTime, 20);
  fleet.ResetTallies();
  fleet.Run(microseconds(4'000'000), 20);
  const auto all = fleet.Sum([](std::size_t) { return true; });
  LONGS_EQUAL(0, all.mServed);
  LONGS_EQUAL(0, fleet.CountRelayed());
  CHECK(fleet.CountLateRefusals() * 10 < all.mSent);
  fleet.StopBackends(false);
  fleet.Run(microseconds(5'000'000), 20);
  fleet.ResetTallies();
  fleet.Run(microseconds(3'000'000), 20);
  CHECK(fleet.Sum([](std::size_t) { return true; }).GetShare() > 0.9);
}

/** Guards against bodies that are sent to a VM in a region where the route may not run. */
TEST(cut_off_entry, requests_with_permitted_regions_go_only_to_vms_there)
{
  cut_fleet fleet(12, 5);
  fleet.Run(microseconds(3'000'000), 20, "/home/x");
  fleet.Cut(List(12, [](std::size_t aVm) { return aVm % 4 != 1; }), cut::Silent);
  fleet.Run(microseconds(5'000'000), 20, "/home/x");
  CHECK(fleet.CountRelayed() > 0);
  CHECK(fleet.GetRelayRegions() == std::set<std::string>{ "south" });
}

/** Guards against a second run or a false refusal after the connection to another VM ended. */
TEST(cut_off_entry, a_lost_relay_is_repeated_only_when_that_is_safe)
{
  cut_fleet fleet(4, 1);
  entry_steering& steering = fleet.GetSteering(0);
  const auto admit = [&](const char* aPath) {
    request_info info;
    info.mHost = "h";
    info.mPath = aPath;
    return std::get<admission_ticket>(steering.Admit(info, fleet.GetNow()));
  };
  const relay_target target{ vm_name("10.9.0.2:7600") };
  const auto end = [&](const char* aPath, relay_outcome aOutcome) {
    admission_ticket ticket = admit(aPath);
    steering.RecordRelayed(ticket, target);
    return steering.HandleRelayEnd(ticket, target, aOutcome, fleet.GetNow());
  };
  CHECK(next_step::Fail == end("/post/x", relay_outcome::Lost));
  CHECK(next_step::Retry == end("/get/x", relay_outcome::Lost));
  CHECK(next_step::Retry == end("/post/x", relay_outcome::NotSent));
  CHECK(next_step::Retry == end("/post/x", relay_outcome::Declined));
  CHECK(next_step::Fail == end("/post/x", relay_outcome::Failed));
  CHECK(next_step::ForwardResponse == end("/post/x", relay_outcome::Refused));
  admission_ticket ticket = admit("/get/x");
  ticket.mMayHaveRun = true;
  CHECK(next_step::Fail ==
        steering.HandleRelayEnd(ticket, target, relay_outcome::Refused, fleet.GetNow()));
}

/** Guards against a VM that handles a relayed request with an older configuration. */
TEST(cut_off_entry, an_older_configuration_declines_a_relayed_request)
{
  cut_fleet fleet(4, 1);
  request_info info;
  info.mHost = "h";
  info.mPath = "/get/x";
  info.mRelayed = relayed_request{ 0, false, 2 };
  const auto admitted = fleet.GetSteering(0).Admit(info, fleet.GetNow());
  CHECK(std::holds_alternative<refusal>(admitted));
  CHECK(refusal_reason::NoConfig == std::get<refusal>(admitted).mReason);
}
