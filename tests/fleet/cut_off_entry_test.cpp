#include "citronpulley/fleet/entry_steering.h"
#include "fleet/control_vm_harness.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace citronpulley;

namespace {

const service_name kService("stock");
constexpr microseconds kStep{ 20'000 };
constexpr microseconds kReportInterval{ 300'000 };
/** Time after which a cut must not be felt by callers any more. */
constexpr microseconds kSettleTime{ 3'000'000 };
/** Time until a connection without an answer is given up, and a request without one. */
constexpr microseconds kConnectTimeout{ 250'000 };
constexpr microseconds kSilenceTimeout{ 700'000 };
constexpr microseconds kRunTime{ 100'000 };
constexpr int kBackendsPerRegion = 6;

/** How connections of a VM that is cut off behave. */
enum class cut : std::uint8_t
{
  None,
  /** New connections and requests on kept ones get no answer. */
  Silent,
  /** New connections are refused, requests on kept ones still run. */
  RefusesNew,
  /** All connections are reset. */
  Resets,
};

traffic_config MakeConfig()
{
  traffic_config config;
  config.mVersion = 1;
  route_rule route;
  route.mName = "get";
  route.mHost = "h";
  route.mPrefix = "/get/";
  route.mIsOpen = true;
  route.mIsIdempotent = true;
  route.mMaxAttempts = 2;
  route.mTimeout = microseconds(1'500'000);
  route.mServices = { { kService, 1 } };
  config.mRoutes.push_back(route);
  route.mName = "post";
  route.mPrefix = "/post/";
  route.mIsIdempotent = false;
  config.mRoutes.push_back(route);
  route.mName = "home";
  route.mPrefix = "/home/";
  route.mPermittedRegions = { region_name("south") };
  config.mRoutes.push_back(route);
  return config;
}

/** Entry VMs in two regions, their leader and backend servers, in virtual time. */
class cut_fleet
{
public:
  struct tally
  {
    int mSent = 0;
    int mServed = 0;
    double GetShare() const { return mSent == 0 ? 0 : static_cast<double>(mServed) / mSent; }
  };

  cut_fleet(int aCount, unsigned aSeed)
    : mRandom(aSeed)
  {
    mLeader = std::make_unique<control_vm_harness>(
      vm_name("10.1.0.1:7600"),
      [](std::string_view) -> result<traffic_config> { return MakeConfig(); });
    mLeader->Run(microseconds(100'000));
    mLeader->Submit(put_config{ 1, 0, "text" });
    mLeader->Run(microseconds(100'000));
    mNow = mLeader->GetNow();
    for (int i = 0; i < 2 * kBackendsPerRegion; ++i) {
      Announce(i);
    }
    for (int i = 0; i < aCount; ++i) {
      const std::string zone = i % 2 == 0 ? "a" : "b";
      const region_name region(i % 2 == 0 ? "north" : "south");
      entry_steering_settings settings;
      const std::string ip = "10.9." + std::to_string(i / 200) + "." + std::to_string(i % 200);
      settings.mLocation = { vm_name(ip + ":7600"), ip + ":80", zone_name(zone), region };
      settings.mRegions = { { zone_name("a"), region_name("north") },
                            { zone_name("b"), region_name("south") } };
      vm& added = mVms.emplace_back();
      added.mName = settings.mLocation.mVm;
      added.mRegion = region;
      added.mSteering = std::make_unique<entry_steering>(settings);
      added.mReportAt = mNow + microseconds(static_cast<std::int64_t>(mRandom() % 300'000));
    }
    Run(microseconds(3'000'000), 0);
  }

  void Cut(const std::vector<std::size_t>& aVms, cut aCut)
  {
    for (const std::size_t i : aVms) {
      mVms[i].mCut = aCut;
      if (aCut == cut::Resets || aCut == cut::None) {
        mVms[i].mConnected.clear();
      }
    }
    ResetTallies();
  }

  void StopBackends(bool aAreStopped)
  {
    mAreBackendsStopped = aAreStopped;
    ResetTallies();
  }

  void ResetTallies()
  {
    for (vm& vm : mVms) {
      vm.mTally = {};
      vm.mRelayed = 0;
      vm.mLateRefusals = 0;
    }
  }

  /** @param aRate requests per second at each VM */
  void Run(microseconds aTime, double aRate, const std::string& aPath = "/get/x")
  {
    std::poisson_distribution<int> arrivals(aRate * static_cast<double>(kStep.count()) / 1e6);
    for (const instant end = mNow + aTime; mNow < end; mNow += kStep) {
      mLeader->Run(kStep);
      for (int i = 0; i < 2 * kBackendsPerRegion; ++i) {
        if (mNow.time_since_epoch().count() / kStep.count() % 50 == i) {
          Announce(i);
        }
      }
      RunEvents();
      for (std::size_t i = 0; i < mVms.size(); ++i) {
        Report(mVms[i]);
        Probe(i);
        mVms[i].mSteering->Tick(mNow);
        for (int count = aRate > 0 ? arrivals(mRandom) : 0; count > 0; --count) {
          Send(i, aPath);
        }
      }
    }
  }

  tally Sum(const std::function<bool(std::size_t)>& aIsCounted) const
  {
    tally sum;
    for (std::size_t i = 0; i < mVms.size(); ++i) {
      if (aIsCounted(i)) {
        sum.mSent += mVms[i].mTally.mSent;
        sum.mServed += mVms[i].mTally.mServed;
      }
    }
    return sum;
  }

  int CountRelayed() const
  {
    int count = 0;
    for (const vm& vm : mVms) {
      count += vm.mRelayed;
    }
    return count;
  }

  /** @return requests that were refused later than a quarter of a second after they came */
  int CountLateRefusals() const
  {
    int count = 0;
    for (const vm& vm : mVms) {
      count += vm.mLateRefusals;
    }
    return count;
  }

  const std::set<std::string>& GetRelayRegions() const { return mRelayRegions; }
  bool HasRelayedTwice() const { return mHasRelayedTwice; }
  entry_steering& GetSteering(std::size_t aVm) { return *mVms[aVm].mSteering; }
  instant GetNow() const { return mNow; }

private:
  struct vm
  {
    vm_name mName;
    region_name mRegion;
    std::unique_ptr<entry_steering> mSteering;
    cut mCut = cut::None;
    /** Backend servers to which this VM keeps a connection. */
    std::set<std::string> mConnected;
    instant mReportAt;
    tally mTally;
    int mRelayed = 0;
    int mLateRefusals = 0;
  };

  struct request
  {
    std::size_t mFirstVm = 0;
    /** VM that sends it to a backend server. */
    std::size_t mVm = 0;
    admission_ticket mTicket;
    /** Ticket at the second VM. */
    std::optional<admission_ticket> mRelayedTicket;
    instant mSentAt;
  };

  using request_ptr = std::shared_ptr<request>;

  void Announce(int aNumber)
  {
    backend_record record;
    record.mId = "i-" + std::to_string(aNumber);
    record.mService = kService;
    record.mAddress = server_name("10.2.0." + std::to_string(aNumber) + ":80");
    record.mZone = zone_name(aNumber % 2 == 0 ? "a" : "b");
    record.mSlots = 100;
    record.mStartedAtMs = 1'000;
    record.mSequence = ++mSequence;
    mLeader->Get().HandleAnnouncement(record, mLeader->GetNow());
  }

  void RunEvents()
  {
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      const auto event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
    }
  }

  void Schedule(microseconds aAfter, std::function<void()> aEvent)
  {
    mEvents.emplace(mNow + aAfter, std::move(aEvent));
  }

  void Report(vm& aVm)
  {
    if (mNow < aVm.mReportAt) {
      return;
    }
    aVm.mReportAt = mNow + kReportInterval;
    for (const fleet_message& reply : mLeader->Receive(aVm.mSteering->MakeReport(true, mNow))) {
      if (const auto* update = std::get_if<entry_update>(&reply)) {
        CHECK(static_cast<bool>(aVm.mSteering->HandleUpdate(*update, mNow)));
      }
    }
  }

  /** @return time until a new connection of this VM is established, or fails */
  std::pair<bool, microseconds> Connect(const vm& aVm) const
  {
    if (aVm.mCut == cut::Silent || mAreBackendsStopped) {
      return { false, kConnectTimeout };
    }
    return { aVm.mCut == cut::None, microseconds(2'000) };
  }

  void Probe(std::size_t aVm)
  {
    for (const reach_probe& probe : mVms[aVm].mSteering->ListProbes(mNow)) {
      const auto [isConnected, after] = Connect(mVms[aVm]);
      Schedule(after, [this, aVm, probe, isConnected = isConnected] {
        mVms[aVm].mSteering->RecordProbe(probe, isConnected, mNow);
      });
    }
  }

  request_info MakeInfo(const std::string& aPath)
  {
    request_info info;
    info.mHost = "h";
    info.mPath = aPath;
    return info;
  }

  void Send(std::size_t aVm, const std::string& aPath)
  {
    vm& vm = mVms[aVm];
    ++vm.mTally.mSent;
    auto admitted = vm.mSteering->Admit(MakeInfo(aPath), mNow);
    if (auto* ticket = std::get_if<admission_ticket>(&admitted)) {
      auto sent = std::make_shared<request>();
      sent->mFirstVm = sent->mVm = aVm;
      sent->mTicket = std::move(*ticket);
      sent->mSentAt = mNow;
      Attempt(sent, aPath);
    }
  }

  admission_ticket& GetTicket(request& aRequest)
  {
    return aRequest.mRelayedTicket ? *aRequest.mRelayedTicket : aRequest.mTicket;
  }

  void Attempt(const request_ptr& aRequest, const std::string& aPath)
  {
    const auto placed = mVms[aRequest->mVm].mSteering->Place(GetTicket(*aRequest), mNow);
    if (const auto* chosen = std::get_if<placement>(&placed)) {
      SendToBackend(aRequest, *chosen, aPath);
    } else if (const auto* relay = std::get_if<relay_target>(&placed)) {
      Relay(aRequest, *relay, aPath);
    } else if (aRequest->mRelayedTicket) {
      EndRelay(aRequest, relay_outcome::Declined, aPath);
    } else if (mNow - aRequest->mSentAt > microseconds(250'000)) {
      ++mVms[aRequest->mFirstVm].mLateRefusals;
    }
  }

  void SendToBackend(const request_ptr& aRequest,
                     const placement& aPlacement,
                     const std::string& aPath)
  {
    vm& vm = mVms[aRequest->mVm];
    vm.mSteering->RecordSent(aPlacement, mNow);
    const bool isKept = vm.mConnected.contains(aPlacement.mBackend);
    const auto [isConnected, connectTime] = Connect(vm);
    attempt_outcome outcome = attempt_outcome::Answered;
    microseconds after = kRunTime;
    if (isKept && (vm.mCut == cut::Silent || mAreBackendsStopped)) {
      outcome = attempt_outcome::Lost;
      after = kSilenceTimeout;
      vm.mConnected.erase(aPlacement.mBackend);
    } else if (!isKept && !isConnected) {
      outcome = attempt_outcome::NotSent;
      after = connectTime;
    } else {
      vm.mConnected.insert(aPlacement.mBackend);
    }
    Schedule(after, [this, aRequest, aPlacement, outcome, after, aPath] {
      const next_step next = mVms[aRequest->mVm].mSteering->HandleAttemptEnd(
        GetTicket(*aRequest), aPlacement, outcome, std::nullopt, after, mNow);
      if (next == next_step::Retry) {
        Attempt(aRequest, aPath);
      } else if (aRequest->mRelayedTicket) {
        EndRelay(aRequest,
                 next == next_step::ForwardResponse ? relay_outcome::Answered
                 : next == next_step::Fail          ? relay_outcome::Failed
                                                    : relay_outcome::Refused,
                 aPath);
      } else if (next == next_step::ForwardResponse) {
        ++mVms[aRequest->mFirstVm].mTally.mServed;
      }
    });
  }

  void Relay(const request_ptr& aRequest, const relay_target& aTarget, const std::string& aPath)
  {
    mHasRelayedTwice = mHasRelayedTwice || aRequest->mRelayedTicket.has_value();
    vm& first = mVms[aRequest->mFirstVm];
    ++first.mRelayed;
    first.mSteering->RecordRelayed(aRequest->mTicket, aTarget);
    aRequest->mVm =
      static_cast<std::size_t>(std::ranges::find(mVms, aTarget.mVm, &vm::mName) - mVms.begin());
    aRequest->mRelayedTicket.emplace();
    mRelayRegions.insert(mVms[aRequest->mVm].mRegion.mValue);
    request_info info = MakeInfo(aPath);
    info.mRelayed = relayed_request{ aRequest->mTicket.mAttempts, false, 1 };
    auto admitted = mVms[aRequest->mVm].mSteering->Admit(info, mNow);
    if (auto* ticket = std::get_if<admission_ticket>(&admitted)) {
      aRequest->mRelayedTicket = std::move(*ticket);
      Attempt(aRequest, aPath);
    } else {
      EndRelay(aRequest, relay_outcome::Declined, aPath);
    }
  }

  void EndRelay(const request_ptr& aRequest, relay_outcome aOutcome, const std::string& aPath)
  {
    const relay_target target{ mVms[aRequest->mVm].mName };
    aRequest->mRelayedTicket.reset();
    aRequest->mVm = aRequest->mFirstVm;
    vm& first = mVms[aRequest->mFirstVm];
    const next_step next =
      first.mSteering->HandleRelayEnd(aRequest->mTicket, target, aOutcome, mNow);
    if (next == next_step::Retry) {
      Attempt(aRequest, aPath);
    } else if (next == next_step::ForwardResponse && aOutcome == relay_outcome::Answered) {
      ++first.mTally.mServed;
    }
  }

  std::mt19937 mRandom;
  std::unique_ptr<control_vm_harness> mLeader;
  instant mNow;
  std::deque<vm> mVms;
  std::multimap<instant, std::function<void()>> mEvents;
  std::uint64_t mSequence = 0;
  bool mAreBackendsStopped = false;
  bool mHasRelayedTwice = false;
  std::set<std::string> mRelayRegions;
};

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
