#ifndef CITRONPULLEY_TESTS_FLEET_CUT_FLEET_H
#define CITRONPULLEY_TESTS_FLEET_CUT_FLEET_H

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
#include <utility>
#include <vector>

namespace citronpulley {

inline constexpr microseconds kStep{ 20'000 };
inline constexpr microseconds kReportInterval{ 300'000 };
/** Time after which a cut must not be felt by callers any more. */
inline constexpr microseconds kSettleTime{ 3'000'000 };
/** Time until a connection without an answer is given up, and a request without one. */
inline constexpr microseconds kConnectTimeout{ 250'000 };
inline constexpr microseconds kSilenceTimeout{ 700'000 };
inline constexpr microseconds kRunTime{ 100'000 };
inline constexpr int kBackendsPerRegion = 6;

inline const service_name kCutFleetService("stock");

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

inline traffic_config MakeCutFleetConfig()
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
  route.mServices = { { kCutFleetService, 1 } };
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
      [](std::string_view) -> result<traffic_config> { return MakeCutFleetConfig(); });
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
    record.mService = kCutFleetService;
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
    for (const reach_probe& probe : mVms[aVm].mSteering->StartProbes(mNow)) {
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

} // namespace citronpulley

#endif
