#include "citronpulley/fleet/entry_steering.h"
#include "citronpulley/steering/config_history.h"
#include "fleet/control_vm_harness.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <memory>
#include <string>

using namespace citronpulley;

namespace {

const service_name kService("stock");
constexpr int kBackends = 8;
constexpr microseconds kDeadline{ 1'500'000 };
/** Time until a crashed backend server is back. */
constexpr microseconds kDownTime{ 4'000'000 };
constexpr microseconds kStep{ 300'000 };

traffic_config MakeConfig()
{
  traffic_config config;
  config.mVersion = 1;
  config.mServices = { { kService } };
  route_rule route;
  route.mName = "post";
  route.mHost = "h";
  route.mPrefix = "/";
  route.mIsOpen = true;
  route.mMaxAttempts = 2;
  route.mTimeout = kDeadline;
  route.mServices = { { kService, 1 } };
  config.mRoutes = { route };
  return config;
}

digest MakeFingerprint(std::string_view aPath)
{
  return ComputeDigest(aPath);
}

} // namespace

/** Two entry VMs, their leader and backend servers that fall silent when they crash. */
TEST_GROUP(silent_crash)
{
  struct server
  {
    int mStarts = 1;
    instant mUpAt;
  };

  std::unique_ptr<control_vm_harness> mLeader;
  std::array<std::unique_ptr<entry_steering>, 2> mVms;
  std::array<server, kBackends> mServers;
  std::uint64_t mSequence = 0;

  void setup() override
  {
    StartLeader(1);
    for (std::size_t i = 0; i < mVms.size(); ++i) {
      entry_steering_settings settings;
      const std::string ip = "10.9.0." + std::to_string(i);
      settings.mLocation = { vm_name(ip + ":7600"), ip + ":80", zone_name("a"), region_name("n") };
      settings.mRegions = { { zone_name("a"), region_name("n") } };
      mVms[i] = std::make_unique<entry_steering>(settings);
    }
    Run(microseconds(2'000'000));
  }

  void teardown() override
  {
    mVms = {};
    mLeader.reset();
  }

  /** Replaces the leader by one without soft state. */
  void StartLeader(std::uint64_t aSeed)
  {
    const instant startedAt = mLeader ? mLeader->GetNow() : instant{};
    mLeader = std::make_unique<control_vm_harness>(
      vm_name("10.1.0.1:7600"),
      [](std::string_view) -> result<traffic_config> { return MakeConfig(); },
      aSeed);
    mLeader->Advance(std::max(microseconds(0), startedAt - mLeader->GetNow()));
    mLeader->Run(microseconds(2'000'000));
    mLeader->Submit(put_config{ 1, 0, "text" });
  }

  instant GetNow() const
  {
    return mLeader->GetNow();
  }

  std::string GetId(int aNumber) const
  {
    return "i-" + std::to_string(aNumber) + "-" + std::to_string(mServers[aNumber].mStarts);
  }

  void Announce(int aNumber)
  {
    backend_record record;
    record.mId = GetId(aNumber);
    record.mService = kService;
    record.mAddress = server_name("10.2.0." + std::to_string(aNumber) + ":80");
    record.mZone = zone_name("a");
    record.mSlots = 100;
    record.mStartedAtMs = std::int64_t{ 1'000 } * mServers[aNumber].mStarts;
    record.mSequence = ++mSequence;
    mLeader->Get().HandleAnnouncement(record, GetNow());
  }

  void Run(microseconds aTime)
  {
    for (const instant end = GetNow() + aTime; GetNow() < end;) {
      mLeader->Run(kStep);
      for (int i = 0; i < kBackends; ++i) {
        if (mServers[i].mUpAt <= GetNow()) {
          Announce(i);
        }
      }
      for (const auto& vm : mVms) {
        for (const fleet_message& reply : mLeader->Receive(vm->MakeReport(true, GetNow()))) {
          if (const auto* update = std::get_if<entry_update>(&reply)) {
            CHECK(static_cast<bool>(vm->HandleUpdate(*update, GetNow())));
          }
        }
      }
    }
  }

  std::variant<admission_ticket, refusal> Admit(entry_steering & aVm, const std::string& aPath)
  {
    request_info info;
    info.mHost = "h";
    info.mPath = aPath;
    info.mFingerprint = [&aPath](const workspace_name&) { return MakeFingerprint(aPath); };
    return aVm.Admit(info, GetNow());
  }

  bool IsQuarantined(std::size_t aVm, const std::string& aPath)
  {
    const auto admitted = Admit(*mVms[aVm], aPath);
    const auto* refused = std::get_if<refusal>(&admitted);
    return refused != nullptr && refused->mReason == refusal_reason::Quarantined;
  }

  /** Sends a request that ends without a response at its deadline. @return its backend server */
  placement SendUnanswered(std::size_t aVm, const std::string& aPath)
  {
    entry_steering& vm = *mVms[aVm];
    auto ticket = std::get<admission_ticket>(Admit(vm, aPath));
    placement placed = std::get<placement>(vm.Place(ticket, GetNow()));
    vm.RecordSent(placed, GetNow());
    Run(kDeadline);
    vm.RecordUnanswered(ticket, placed, MakeFingerprint(aPath), GetNow());
    vm.HandleAttemptEnd(
      ticket, placed, attempt_outcome::TimedOut, std::nullopt, kDeadline, GetNow());
    return placed;
  }

  /** Ends a backend server silently; a new start at its address is back after a while. */
  void Crash(const placement& aPlaced)
  {
    for (int i = 0; i < kBackends; ++i) {
      if (GetId(i) == aPlaced.mBackend) {
        ++mServers[i].mStarts;
        mServers[i].mUpAt = GetNow() + kDownTime;
      }
    }
  }

  /** Sends a request that silences its backend server. */
  void SendCrashing(std::size_t aVm, const std::string& aPath)
  {
    Crash(SendUnanswered(aVm, aPath));
    Run(microseconds(900'000));
  }
};

/**
 * Guards against a request that is never stopped because the backend servers that it crashes fall
 * silent instead of closing their connections.
 */
TEST(silent_crash, a_request_that_silences_three_backend_servers_is_quarantined)
{
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(IsQuarantined(i % 2, "/crash"));
    SendCrashing(i % 2, "/crash");
  }
  Run(kDownTime + microseconds(1'000'000));
  CHECK(IsQuarantined(0, "/crash"));
  CHECK(IsQuarantined(1, "/crash"));
  CHECK_FALSE(IsQuarantined(0, "/other"));
}

/** Guards against counting a time-out of a backend server that runs on, or that leaves as planned.
 */
TEST(silent_crash, slow_and_leaving_backend_servers_do_not_count)
{
  for (std::size_t i = 0; i < 4; ++i) {
    const placement placed = SendUnanswered(0, "/slow");
    if (i % 2 == 1) {
      mLeader->Submit(record_departure{ placed.mBackend, placed.mStartedAtMs });
      Run(microseconds(2'000'000));
      Crash(placed);
    }
    Run(microseconds(1'000'000));
  }
  Run(kDownTime + microseconds(1'000'000));
  CHECK_FALSE(IsQuarantined(0, "/slow"));
  UNSIGNED_LONGS_EQUAL(0, mVms[0]->DrainFoundCrashes().size());
}

/** Guards against refusing a look-up that callers share, since it runs on any server that crashes.
 */
TEST(silent_crash, a_request_that_others_answer_is_not_quarantined)
{
  for (std::size_t i = 0; i < 4; ++i) {
    SendCrashing(0, "/shared");
    mVms[0]->RecordAnswered(MakeFingerprint("/shared"), GetNow());
    Run(microseconds(2'000'000));
    mVms[0]->RecordAnswered(MakeFingerprint("/shared"), GetNow());
  }
  Run(microseconds(1'000'000));
  mVms[0]->RecordAnswered(MakeFingerprint("/shared"), GetNow());
  Run(kDownTime);
  CHECK_FALSE(IsQuarantined(0, "/shared"));
  CHECK_FALSE(IsQuarantined(1, "/shared"));
}

/** Guards against missing the crash when a new leader sends its whole list. */
TEST(silent_crash, a_whole_list_names_the_replaced_start)
{
  const placement placed = SendUnanswered(0, "/crash");
  entry_update update;
  update.mNumber = mVms[0]->MakeReport(true, GetNow()).mNumber;
  update.mIsConfirmed = true;
  update.mConfig = 1;
  update.mListEpoch = 77;
  update.mIsWholeList = true;
  backend_record record;
  record.mId = "i-new";
  record.mService = kService;
  record.mAddress = placed.mAddress;
  record.mZone = zone_name("a");
  record.mStartedAtMs = placed.mStartedAtMs + 1;
  update.mListSnapshot = EncodeBackendList({ record });
  CHECK(static_cast<bool>(mVms[0]->HandleUpdate(update, GetNow())));
  UNSIGNED_LONGS_EQUAL(1, mVms[0]->DrainFoundCrashes().size());
}

/** Guards against a request that is let through again because the leader was lost. */
TEST(silent_crash, a_new_leader_quarantines_what_the_former_one_did)
{
  for (std::size_t i = 0; i < 3; ++i) {
    SendCrashing(i % 2, "/crash");
  }
  Run(kDownTime + microseconds(1'000'000));
  CHECK(IsQuarantined(0, "/crash"));
  StartLeader(2);
  Run(microseconds(2'000'000));
  CHECK(IsQuarantined(0, "/crash"));
  CHECK(IsQuarantined(1, "/crash"));
}
