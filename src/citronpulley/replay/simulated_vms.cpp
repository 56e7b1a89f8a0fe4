#include "citronpulley/replay/simulated_vms.h"

#include "citronpulley/base/overloaded.h"

#include <boost/json.hpp>

#include <algorithm>

namespace citronpulley {

namespace {

constexpr microseconds kTickInterval{ 5'000 };
constexpr microseconds kAnnounceInterval{ 1'000'000 };
constexpr microseconds kAnnounceTimeout{ 500'000 };
/** Interval at which the configuration version of each entry VM is recorded. */
constexpr microseconds kVersionCheckInterval{ 100'000 };
/** Time without incoming data after which a connection is closed (design section 5.9). */
constexpr microseconds kIdleConnectionTimeout{ 1'000'000 };
/** Excess of the socket timeout over the deadline of the decision logic, as in the daemon. */
constexpr microseconds kSocketTimeoutMargin{ 500'000 };
constexpr std::uint16_t kHttpPort = 8100;
constexpr std::uint16_t kPeerPort = 7100;

const std::string kSecret = "synthetic secret of a replayed deployment";

} // namespace

std::string simulated_vms::GetOperatorKey()
{
  return "synthetic operator key of a replayed deployment";
}

simulated_vms::simulated_vms(const trace& aTrace,
                             virtual_time_scheduler& aScheduler,
                             simulated_servers& aServers,
                             replay_history& aHistory)
  : mTrace(aTrace)
  , mScheduler(aScheduler)
  , mServers(aServers)
  , mHistory(aHistory)
  , mVms(aTrace.mVms.size())
{
  std::vector<vm_name> controlVms;
  for (const trace_vm& vm : aTrace.mVms) {
    if (vm.mIsControl) {
      controlVms.emplace_back(vm.mName);
    }
  }
  for (std::size_t index = 0; index < mVms.size(); ++index) {
    simulated_vm& vm = mVms[index];
    vm.mDeclaration = aTrace.mVms[index];
    vm.mRecord = { vm_name(vm.mDeclaration.mName),
                   0,
                   zone_name(vm.mDeclaration.mZone),
                   region_name(vm.mDeclaration.mRegion),
                   "127.43." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1),
                   kHttpPort,
                   kPeerPort,
                   false };
    if (vm.mDeclaration.mIsControl) {
      const auto deliverLater = [this, index](microseconds aDelay, node_event aEvent) {
        mScheduler.ScheduleAfter(
          aDelay, [this, index, processRun = mVms[index].mProcessRun, event = std::move(aEvent)] {
            if (mVms[index].mProcessRun == processRun) {
              Deliver(index, event);
            }
          });
      };
      vm.mControl =
        std::make_unique<control_vm_driver>(control_vm_setup{ vm.mRecord.mVm,
                                                              controlVms,
                                                              kSecret,
                                                              GetOperatorKey(),
                                                              aTrace.mSeed * 1'000 + index,
                                                              deliverLater });
    }
    mPositions.emplace(vm.mDeclaration.mName, index);
  }
  for (std::size_t index = 0; index < aTrace.mServers.size(); ++index) {
    mAnnounceTargets.push_back(index);
  }
}

void simulated_vms::Start()
{
  for (std::size_t index = 0; index < mVms.size(); ++index) {
    StartProcess(index);
  }
  for (std::size_t index = 0; index < mTrace.mServers.size(); ++index) {
    const auto phase = static_cast<std::int64_t>(index * 37'003) % kAnnounceInterval.count();
    mScheduler.ScheduleAt(microseconds(phase), [this, index] { Announce(index); });
  }
}

void simulated_vms::StartProcess(std::size_t aVm)
{
  simulated_vm& vm = mVms[aVm];
  if (vm.mState != process_state::Down) {
    return;
  }
  vm.mState = process_state::Up;
  ++vm.mRecord.mIncarnation;
  vm.mKnownPeers.clear();
  std::vector<vm_name> controlVms;
  for (std::size_t index = 0; index < mVms.size(); ++index) {
    if (mVms[index].mDeclaration.mIsControl && index != aVm) {
      controlVms.push_back(mVms[index].mRecord.mVm);
      vm.mKnownPeers.insert(mVms[index].mRecord.mVm);
    }
  }
  if (vm.mControl != nullptr) {
    vm.mControl->Start(vm.mRecord.mIncarnation, GetTime(aVm).mMonotonic);
  } else {
    std::stable_sort(
      controlVms.begin(), controlVms.end(), [&](const auto& aLeft, const auto& aRight) {
        return GetDelay(aVm, mPositions.at(aLeft.mValue)) <
               GetDelay(aVm, mPositions.at(aRight.mValue));
      });
    const std::uint64_t seed = (mTrace.mSeed * 1'000 + aVm) * 1'000 + vm.mRecord.mIncarnation;
    vm.mEntry = std::make_unique<entry_node>(vm.mRecord, controlVms, kSecret, seed);
  }
  const auto phase = static_cast<std::int64_t>(aVm * 1'237) % kTickInterval.count();
  mScheduler.ScheduleAfter(microseconds(phase),
                           [this, aVm, processRun = vm.mProcessRun] { Tick(aVm, processRun); });
}

void simulated_vms::EndProcess(std::size_t aVm)
{
  simulated_vm& vm = mVms[aVm];
  if (vm.mState == process_state::Down) {
    return;
  }
  vm.mState = process_state::Down;
  ++vm.mProcessRun;
  vm.mEntry.reset();
  vm.mDeferredEvents.clear();
  std::map<std::uint64_t, answer_handler> open;
  open.swap(vm.mOpenRequests);
  for (const auto& [number, onAnswer] : open) {
    onAnswer(std::nullopt);
  }
  while (!vm.mExchanges.empty()) {
    CancelAtServer(aVm, vm.mExchanges.begin()->first);
  }
  for (std::size_t other = 0; other < mVms.size(); ++other) {
    const std::pair pair(std::min(aVm, other), std::max(aVm, other));
    if (mConnectedPairs.erase(pair) > 0 && !IsCut({ false, aVm }, { false, other })) {
      mScheduler.ScheduleAfter(GetDelay(aVm, other),
                               [this, aVm, other] { DeliverPeerDisconnected(other, aVm); });
    }
  }
}

void simulated_vms::Tick(std::size_t aVm, std::uint64_t aProcessRun)
{
  simulated_vm& vm = mVms[aVm];
  if (vm.mProcessRun != aProcessRun) {
    return;
  }
  if (vm.mState == process_state::Up) {
    Handle(aVm, timer_ticked{});
  }
  if (vm.mProcessRun == aProcessRun) {
    mScheduler.ScheduleAfter(kTickInterval, [this, aVm, aProcessRun] { Tick(aVm, aProcessRun); });
    const bool isDue =
      (mScheduler.GetNow() / kTickInterval) % (kVersionCheckInterval / kTickInterval) == 0;
    if (isDue && vm.mState == process_state::Up && vm.mEntry != nullptr) {
      RecordVersion(aVm);
    }
  }
}

void simulated_vms::RecordVersion(std::size_t aVm)
{
  const auto record = [this, aVm](const std::optional<http_answer>& aAnswer) {
    if (!aAnswer) {
      return;
    }
    const boost::json::value body = boost::json::parse(aAnswer->mBody);
    mHistory.mVersions.push_back({ mVms[aVm].mDeclaration.mName,
                                   body.at("configuration_version").to_number<std::uint64_t>(),
                                   mScheduler.GetNow() });
  };
  DeliverHttp(aVm, { 0, "GET", "/healthz", {}, "", "127.0.0.1" }, record);
}

std::uint64_t simulated_vms::DeliverHttp(std::size_t aVm,
                                         http_request_received aRequest,
                                         answer_handler aOnAnswer)
{
  simulated_vm& vm = mVms[aVm];
  const std::uint64_t number = ++vm.mLastRequest;
  aRequest.mRequest = number;
  vm.mOpenRequests.emplace(number, std::move(aOnAnswer));
  Deliver(aVm, std::move(aRequest));
  return number;
}

void simulated_vms::CloseHttp(std::size_t aVm, std::uint64_t aRequest)
{
  if (mVms[aVm].mOpenRequests.erase(aRequest) > 0) {
    Deliver(aVm, http_client_disconnected{ aRequest });
  }
}

void simulated_vms::Deliver(std::size_t aVm, node_event aEvent)
{
  simulated_vm& vm = mVms[aVm];
  if (vm.mState == process_state::Frozen) {
    vm.mDeferredEvents.push_back(std::move(aEvent));
  } else if (vm.mState == process_state::Up) {
    Handle(aVm, aEvent);
  }
}

void simulated_vms::Handle(std::size_t aVm, const node_event& aEvent)
{
  simulated_vm& vm = mVms[aVm];
  node_actions actions;
  if (vm.mEntry != nullptr) {
    vm.mEntry->Handle(aEvent, GetTime(aVm), actions);
  } else {
    vm.mControl->Handle(aEvent, GetTime(aVm), actions);
  }
  const std::uint64_t processRun = vm.mProcessRun;
  for (node_action& action : actions) {
    if (vm.mProcessRun == processRun) {
      Execute(aVm, action);
    }
  }
}

void simulated_vms::Execute(std::size_t aVm, node_action& aAction)
{
  simulated_vm& vm = mVms[aVm];
  std::visit(
    overloaded{
      [&](reply_to_client& aReply) {
        const auto open = vm.mOpenRequests.find(aReply.mRequest);
        if (open != vm.mOpenRequests.end()) {
          const answer_handler onAnswer = std::move(open->second);
          vm.mOpenRequests.erase(open);
          onAnswer(std::move(aReply.mAnswer));
        }
      },
      [&](send_peer_message& aSend) { SendMessage(aVm, std::move(aSend)); },
      [&](const connect_peer& aConnect) { vm.mKnownPeers.insert(aConnect.mPeer); },
      [&](send_to_backend& aSend) { SendToServer(aVm, std::move(aSend)); },
      [&](const cancel_backend_request& aCancel) { CancelAtServer(aVm, aCancel.mDispatch); },
      [&](const stop_process&) {
        mHistory.mDrainEvents.push_back({ "stopped", vm.mDeclaration.mName, mScheduler.GetNow() });
        const microseconds restartAfter = vm.mRestartAfter;
        EndProcess(aVm);
        if (restartAfter.count() > 0) {
          mScheduler.ScheduleAfter(restartAfter, [this, aVm] { StartProcess(aVm); });
        }
      },
      [](const write_log&) {},
      [](const record_request&) {},
      [](const set_gauge&) {},
      // Handled by control_vm_driver.
      [](const storage_batch&) {} },
    aAction);
}

void simulated_vms::SendMessage(std::size_t aVm, send_peer_message aSend)
{
  const auto found = mPositions.find(aSend.mReceiver.mValue);
  if (found == mPositions.end() || !mVms[aVm].mKnownPeers.contains(aSend.mReceiver)) {
    return;
  }
  const std::size_t receiver = found->second;
  const std::pair pair(std::min(aVm, receiver), std::max(aVm, receiver));
  if (mVms[receiver].mState == process_state::Down || IsCut({ false, aVm }, { false, receiver }) ||
      mStalledPairs.contains(pair)) {
    return;
  }
  mConnectedPairs.insert(pair);
  const microseconds delay = receiver == aVm ? microseconds(1) : GetDelay(aVm, receiver);
  mScheduler.ScheduleAfter(
    delay,
    [this,
     receiver,
     processRun = mVms[receiver].mProcessRun,
     event = peer_message_received{ mVms[aVm].mRecord.mVm, std::move(aSend.mMessage) }]() mutable {
      if (mVms[receiver].mProcessRun == processRun) {
        // The hello that opens a session carries the sender's address, so the receiver can reply.
        mVms[receiver].mKnownPeers.insert(event.mSender);
        Deliver(receiver, std::move(event));
      }
    });
}

void simulated_vms::SendToServer(std::size_t aVm, send_to_backend aSend)
{
  simulated_vm& vm = mVms[aVm];
  const std::uint64_t dispatch = aSend.mDispatch;
  const std::uint64_t processRun = vm.mProcessRun;
  const microseconds remaining = aSend.mDeadline - GetTime(aVm).mMonotonic;
  const auto exchange = std::make_shared<backend_exchange>();
  vm.mExchanges.emplace(dispatch, exchange);
  const auto fail = [this, aVm, processRun, dispatch, server = aSend.mServer] {
    FinishExchange(
      aVm,
      processRun,
      dispatch,
      backend_failure{
        MakeError(error_code::ConnectionLost, step::ReadFromBackend, server.mValue, "timed out"),
        true });
  };
  mScheduler.ScheduleAfter(remaining + kSocketTimeoutMargin, fail);
  const std::optional<std::size_t> server = mServers.FindByAddress(aSend.mServer.mValue);
  if (!server || IsCut({ false, aVm }, { true, *server })) {
    return;
  }
  exchange->mServer = *server;
  const microseconds delay = GetServerDelay(aVm, *server);
  mScheduler.ScheduleAfter(
    delay, [this, aVm, processRun, dispatch, delay, exchange, request = std::move(aSend.mRequest)] {
      if (exchange->mIsCancelled) {
        return;
      }
      const std::size_t position = exchange->mServer;
      exchange->mRun =
        mServers.HandleRequest(position, request, [=, this](backend_outcome aOutcome) {
          if (IsCut({ true, position }, { false, aVm })) {
            return;
          }
          mScheduler.ScheduleAfter(delay, [=, this, outcome = std::move(aOutcome)]() mutable {
            FinishExchange(aVm, processRun, dispatch, std::move(outcome));
          });
        });
    });
}

void simulated_vms::FinishExchange(std::size_t aVm,
                                   std::uint64_t aProcessRun,
                                   std::uint64_t aDispatch,
                                   backend_outcome aOutcome)
{
  simulated_vm& vm = mVms[aVm];
  if (vm.mProcessRun == aProcessRun && vm.mExchanges.erase(aDispatch) > 0) {
    Deliver(aVm, backend_finished{ aDispatch, std::move(aOutcome) });
  }
}

void simulated_vms::CancelAtServer(std::size_t aVm, std::uint64_t aDispatch)
{
  simulated_vm& vm = mVms[aVm];
  const auto found = vm.mExchanges.find(aDispatch);
  if (found == vm.mExchanges.end()) {
    return;
  }
  const std::shared_ptr<backend_exchange> exchange = found->second;
  vm.mExchanges.erase(found);
  mScheduler.ScheduleAfter(GetServerDelay(aVm, exchange->mServer), [this, exchange] {
    exchange->mIsCancelled = true;
    mServers.Cancel(exchange->mRun);
  });
}

void simulated_vms::Announce(std::size_t aServer)
{
  mScheduler.ScheduleAfter(kAnnounceInterval, [this, aServer] { Announce(aServer); });
  SendAnnouncement(aServer, 0);
}

void simulated_vms::SendAnnouncement(std::size_t aServer, std::size_t aAttempt)
{
  const std::optional<std::string> body = mServers.MakeAnnouncement(aServer);
  const std::vector<std::string> vms = mTrace.ListEntryVms(mTrace.mServers[aServer].mZone);
  if (!body || aAttempt >= std::min<std::size_t>(vms.size(), 2)) {
    return;
  }
  const std::size_t target = mPositions.at(vms[mAnnounceTargets[aServer] % vms.size()]);
  const auto isAnswered = std::make_shared<bool>(false);
  const bool isReachable =
    !IsCut({ true, aServer }, { false, target }) && !IsCut({ false, target }, { true, aServer });
  if (isReachable && IsUp(target)) {
    DeliverHttp(target,
                { 0, "POST", "/v1/announce", {}, *body, "127.42.0.1" },
                [isAnswered](const std::optional<http_answer>& aAnswer) {
                  *isAnswered = aAnswer && aAnswer->mStatus == 200;
                });
  }
  mScheduler.ScheduleAfter(kAnnounceTimeout, [this, aServer, aAttempt, isAnswered] {
    if (!*isAnswered) {
      ++mAnnounceTargets[aServer];
      SendAnnouncement(aServer, aAttempt + 1);
    }
  });
}

void simulated_vms::Apply(const trace_entry& aEvent)
{
  const std::string& kind = aEvent.GetKind();
  if (kind == "cut") {
    mCuts[aEvent.GetText("name")] = { aEvent.GetList("from"),
                                      aEvent.GetList("to"),
                                      aEvent.GetBoolean("one_way", false) };
    mScheduler.ScheduleAfter(kIdleConnectionTimeout, [this] { CloseCutConnections(); });
    return;
  }
  if (kind == "heal") {
    mCuts.erase(aEvent.GetText("cut"));
    return;
  }
  if (kind == "silence") {
    const std::vector<std::string> names = aEvent.GetList("between");
    const std::size_t first = mPositions.at(names.at(0));
    const std::size_t second = mPositions.at(names.at(1));
    const std::pair pair(std::min(first, second), std::max(first, second));
    mStalledPairs.insert(pair);
    mScheduler.ScheduleAfter(aEvent.GetTime("reopens_after_ms", 1'000), [this, pair] {
      mStalledPairs.erase(pair);
      DeliverPeerDisconnected(pair.first, pair.second);
      DeliverPeerDisconnected(pair.second, pair.first);
    });
    return;
  }
  const std::size_t position = mPositions.at(aEvent.GetText("vm"));
  simulated_vm& vm = mVms[position];
  if (kind == "kill") {
    EndProcess(position);
  } else if (kind == "restart") {
    EndProcess(position);
    StartProcess(position);
  } else if (kind == "freeze" && vm.mState == process_state::Up) {
    vm.mState = process_state::Frozen;
  } else if (kind == "wake" && vm.mState == process_state::Frozen) {
    vm.mState = process_state::Up;
    std::deque<node_event> waiting;
    waiting.swap(vm.mDeferredEvents);
    for (const node_event& event : waiting) {
      Deliver(position, event);
    }
  } else if (kind == "stop") {
    vm.mRestartAfter = aEvent.GetTime("restart_after_ms");
    mHistory.mDrainEvents.push_back({ "stop", vm.mDeclaration.mName, mScheduler.GetNow() });
    Deliver(position, stop_requested{});
  }
}

current_time simulated_vms::GetTime(std::size_t aVm) const
{
  // Each VM has its own origin of monotonic time: instants of different VMs must not be compared.
  const microseconds origin = std::chrono::seconds(1'000 * (aVm + 1));
  return { instant(origin + mScheduler.GetNow()),
           { mTrace.mStartsAt.mMilliseconds + mScheduler.GetNow().count() / 1'000 } };
}

} // namespace citronpulley
