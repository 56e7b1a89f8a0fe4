#include "citronpulley/replay/virtual_hosts.h"

#include "citronpulley/base/overloaded.h"

#include <boost/json.hpp>

#include <algorithm>

namespace citronpulley {

namespace {

constexpr microseconds kTickInterval{ 5'000 };
constexpr microseconds kAnnounceInterval{ 1'000'000 };
constexpr microseconds kAnnounceTimeout{ 500'000 };
constexpr microseconds kVersionInterval{ 100'000 };
/** Time after which a connection on which nothing arrives is closed (design section 5.9). */
constexpr microseconds kSilenceTimeout{ 1'000'000 };
/** The socket gets this much more time than the decision logic, as in the daemon. */
constexpr microseconds kSocketAllowance{ 500'000 };
constexpr std::uint16_t kHttpPort = 8100;
constexpr std::uint16_t kPeerPort = 7100;

const std::string kSecret = "synthetic secret of a replayed deployment";

} // namespace

std::string virtual_hosts::GetOperatorKey()
{
  return "synthetic operator key of a replayed deployment";
}

virtual_hosts::virtual_hosts(const trace& aTrace,
                             virtual_queue& aQueue,
                             virtual_servers& aServers,
                             replay_history& aHistory)
  : mTrace(aTrace)
  , mQueue(aQueue)
  , mServers(aServers)
  , mHistory(aHistory)
  , mHosts(aTrace.mVms.size())
{
  std::vector<vm_name> controlVms;
  for (const trace_vm& vm : aTrace.mVms) {
    if (vm.mIsControl) {
      controlVms.emplace_back(vm.mName);
    }
  }
  for (std::size_t index = 0; index < mHosts.size(); ++index) {
    host& one = mHosts[index];
    one.mVm = aTrace.mVms[index];
    one.mRecord = { vm_name(one.mVm.mName),
                    0,
                    zone_name(one.mVm.mZone),
                    region_name(one.mVm.mRegion),
                    "127.43." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1),
                    kHttpPort,
                    kPeerPort,
                    false };
    if (one.mVm.mIsControl) {
      const auto deliverLater = [this, index](microseconds aDelay, node_event aEvent) {
        mQueue.After(aDelay, [this, index, run = mHosts[index].mRun, event = std::move(aEvent)] {
          if (mHosts[index].mRun == run) {
            Give(index, event);
          }
        });
      };
      one.mControl =
        std::make_unique<control_vm_driver>(control_vm_setup{ one.mRecord.mVm,
                                                              controlVms,
                                                              kSecret,
                                                              GetOperatorKey(),
                                                              aTrace.mSeed * 1'000 + index,
                                                              deliverLater });
    }
    mPositions.emplace(one.mVm.mName, index);
  }
  for (std::size_t index = 0; index < aTrace.mServers.size(); ++index) {
    mAnnounceTo.push_back(index);
  }
}

void virtual_hosts::Start()
{
  for (std::size_t index = 0; index < mHosts.size(); ++index) {
    StartHost(index);
  }
  for (std::size_t index = 0; index < mTrace.mServers.size(); ++index) {
    const auto phase = static_cast<std::int64_t>(index * 37'003) % kAnnounceInterval.count();
    mQueue.At(microseconds(phase), [this, index] { Announce(index); });
  }
}

void virtual_hosts::StartHost(std::size_t aHost)
{
  host& one = mHosts[aHost];
  if (one.mState != host_state::Down) {
    return;
  }
  one.mState = host_state::Up;
  ++one.mRecord.mIncarnation;
  one.mKnownPeers.clear();
  std::vector<vm_name> controlVms;
  for (std::size_t index = 0; index < mHosts.size(); ++index) {
    if (mHosts[index].mVm.mIsControl && index != aHost) {
      controlVms.push_back(mHosts[index].mRecord.mVm);
      one.mKnownPeers.insert(mHosts[index].mRecord.mVm);
    }
  }
  if (one.mControl != nullptr) {
    one.mControl->Start(one.mRecord.mIncarnation, GetTime(aHost).mMonotonic);
  } else {
    std::stable_sort(
      controlVms.begin(), controlVms.end(), [&](const auto& aLeft, const auto& aRight) {
        return GetDelay(aHost, mPositions.at(aLeft.mValue)) <
               GetDelay(aHost, mPositions.at(aRight.mValue));
      });
    const std::uint64_t seed = (mTrace.mSeed * 1'000 + aHost) * 1'000 + one.mRecord.mIncarnation;
    one.mEntry = std::make_unique<entry_node>(one.mRecord, controlVms, kSecret, seed);
  }
  const auto phase = static_cast<std::int64_t>(aHost * 1'237) % kTickInterval.count();
  mQueue.After(microseconds(phase), [this, aHost, run = one.mRun] { Tick(aHost, run); });
}

void virtual_hosts::EndHost(std::size_t aHost)
{
  host& one = mHosts[aHost];
  if (one.mState == host_state::Down) {
    return;
  }
  one.mState = host_state::Down;
  ++one.mRun;
  one.mEntry.reset();
  one.mWaiting.clear();
  std::map<std::uint64_t, answer_handler> open;
  open.swap(one.mOpen);
  for (const auto& [number, onAnswer] : open) {
    onAnswer(std::nullopt);
  }
  while (!one.mExchanges.empty()) {
    CancelAtServer(aHost, one.mExchanges.begin()->first);
  }
  for (std::size_t other = 0; other < mHosts.size(); ++other) {
    const std::pair pair(std::min(aHost, other), std::max(aHost, other));
    if (mConnected.erase(pair) > 0 && !IsCut({ false, aHost }, { false, other })) {
      mQueue.After(GetDelay(aHost, other), [this, aHost, other] { LosePeer(other, aHost); });
    }
  }
}

void virtual_hosts::Tick(std::size_t aHost, std::uint64_t aRun)
{
  host& one = mHosts[aHost];
  if (one.mRun != aRun) {
    return;
  }
  if (one.mState == host_state::Up) {
    Handle(aHost, timer_ticked{});
  }
  if (one.mRun == aRun) {
    mQueue.After(kTickInterval, [this, aHost, aRun] { Tick(aHost, aRun); });
    const bool isDue = (mQueue.GetNow() / kTickInterval) % (kVersionInterval / kTickInterval) == 0;
    if (isDue && one.mState == host_state::Up && one.mEntry != nullptr) {
      ObserveVersion(aHost);
    }
  }
}

void virtual_hosts::ObserveVersion(std::size_t aHost)
{
  const auto record = [this, aHost](const std::optional<http_answer>& aAnswer) {
    if (!aAnswer) {
      return;
    }
    const boost::json::value body = boost::json::parse(aAnswer->mBody);
    mHistory.mVersions.push_back({ mHosts[aHost].mVm.mName,
                                   body.at("configuration_version").to_number<std::uint64_t>(),
                                   mQueue.GetNow() });
  };
  DeliverHttp(aHost, { 0, "GET", "/healthz", {}, "", "127.0.0.1" }, record);
}

std::uint64_t virtual_hosts::DeliverHttp(std::size_t aHost,
                                         http_request_received aRequest,
                                         answer_handler aOnAnswer)
{
  host& one = mHosts[aHost];
  const std::uint64_t number = ++one.mLastRequest;
  aRequest.mRequest = number;
  one.mOpen.emplace(number, std::move(aOnAnswer));
  Give(aHost, std::move(aRequest));
  return number;
}

void virtual_hosts::CloseHttp(std::size_t aHost, std::uint64_t aRequest)
{
  if (mHosts[aHost].mOpen.erase(aRequest) > 0) {
    Give(aHost, http_client_disconnected{ aRequest });
  }
}

void virtual_hosts::Give(std::size_t aHost, node_event aEvent)
{
  host& one = mHosts[aHost];
  if (one.mState == host_state::Frozen) {
    one.mWaiting.push_back(std::move(aEvent));
  } else if (one.mState == host_state::Up) {
    Handle(aHost, aEvent);
  }
}

void virtual_hosts::Handle(std::size_t aHost, const node_event& aEvent)
{
  host& one = mHosts[aHost];
  node_actions actions;
  if (one.mEntry != nullptr) {
    one.mEntry->Handle(aEvent, GetTime(aHost), actions);
  } else {
    one.mControl->Handle(aEvent, GetTime(aHost), actions);
  }
  const std::uint64_t run = one.mRun;
  for (node_action& action : actions) {
    if (one.mRun == run) {
      Do(aHost, action);
    }
  }
}

void virtual_hosts::Do(std::size_t aHost, node_action& aAction)
{
  host& one = mHosts[aHost];
  std::visit(
    overloaded{
      [&](reply_to_client& aReply) {
        const auto open = one.mOpen.find(aReply.mRequest);
        if (open != one.mOpen.end()) {
          const answer_handler onAnswer = std::move(open->second);
          one.mOpen.erase(open);
          onAnswer(std::move(aReply.mAnswer));
        }
      },
      [&](send_peer_message& aSend) { SendMessage(aHost, std::move(aSend)); },
      [&](const connect_peer& aConnect) { one.mKnownPeers.insert(aConnect.mPeer); },
      [&](send_to_backend& aSend) { SendToServer(aHost, std::move(aSend)); },
      [&](const cancel_backend_request& aCancel) { CancelAtServer(aHost, aCancel.mDispatch); },
      [&](const stop_process&) {
        mHistory.mOccasions.push_back({ "stopped", one.mVm.mName, mQueue.GetNow() });
        const microseconds restartAfter = one.mRestartAfter;
        EndHost(aHost);
        if (restartAfter.count() > 0) {
          mQueue.After(restartAfter, [this, aHost] { StartHost(aHost); });
        }
      },
      [](const write_log&) {},
      [](const record_request&) {},
      [](const set_gauge&) {},
      // The driver of the control VM takes these.
      [](const storage_batch&) {} },
    aAction);
}

void virtual_hosts::SendMessage(std::size_t aHost, send_peer_message aSend)
{
  const auto found = mPositions.find(aSend.mReceiver.mValue);
  if (found == mPositions.end() || !mHosts[aHost].mKnownPeers.contains(aSend.mReceiver)) {
    return;
  }
  const std::size_t receiver = found->second;
  const std::pair pair(std::min(aHost, receiver), std::max(aHost, receiver));
  if (mHosts[receiver].mState == host_state::Down || IsCut({ false, aHost }, { false, receiver }) ||
      mSilent.contains(pair)) {
    return;
  }
  mConnected.insert(pair);
  const microseconds delay = receiver == aHost ? microseconds(1) : GetDelay(aHost, receiver);
  mQueue.After(delay,
               [this,
                receiver,
                run = mHosts[receiver].mRun,
                event = peer_message_received{ mHosts[aHost].mRecord.mVm,
                                               std::move(aSend.mMessage) }]() mutable {
                 if (mHosts[receiver].mRun == run) {
                   // The hello that begins a session carries the sender's address.
                   mHosts[receiver].mKnownPeers.insert(event.mSender);
                   Give(receiver, std::move(event));
                 }
               });
}

void virtual_hosts::SendToServer(std::size_t aHost, send_to_backend aSend)
{
  host& one = mHosts[aHost];
  const std::uint64_t dispatch = aSend.mDispatch;
  const std::uint64_t run = one.mRun;
  const microseconds remaining = aSend.mDeadline - GetTime(aHost).mMonotonic;
  const auto exchange = std::make_shared<backend_exchange>();
  one.mExchanges.emplace(dispatch, exchange);
  const auto fail = [this, aHost, run, dispatch, server = aSend.mServer] {
    FinishExchange(
      aHost,
      run,
      dispatch,
      backend_failure{
        MakeError(error_code::ConnectionLost, step::ReadFromBackend, server.mValue, "timed out"),
        true });
  };
  mQueue.After(remaining + kSocketAllowance, fail);
  const std::optional<std::size_t> server = mServers.FindByAddress(aSend.mServer.mValue);
  if (!server || IsCut({ false, aHost }, { true, *server })) {
    return;
  }
  exchange->mServer = *server;
  const microseconds delay = GetServerDelay(aHost, *server);
  mQueue.After(
    delay, [this, aHost, run, dispatch, delay, exchange, request = std::move(aSend.mRequest)] {
      if (exchange->mIsCancelled) {
        return;
      }
      const std::size_t position = exchange->mServer;
      exchange->mRun = mServers.Run(position, request, [=, this](backend_outcome aOutcome) {
        if (IsCut({ true, position }, { false, aHost })) {
          return;
        }
        mQueue.After(delay, [=, this, outcome = std::move(aOutcome)]() mutable {
          FinishExchange(aHost, run, dispatch, std::move(outcome));
        });
      });
    });
}

void virtual_hosts::FinishExchange(std::size_t aHost,
                                   std::uint64_t aRun,
                                   std::uint64_t aDispatch,
                                   backend_outcome aOutcome)
{
  host& one = mHosts[aHost];
  if (one.mRun == aRun && one.mExchanges.erase(aDispatch) > 0) {
    Give(aHost, backend_finished{ aDispatch, std::move(aOutcome) });
  }
}

void virtual_hosts::CancelAtServer(std::size_t aHost, std::uint64_t aDispatch)
{
  host& one = mHosts[aHost];
  const auto found = one.mExchanges.find(aDispatch);
  if (found == one.mExchanges.end()) {
    return;
  }
  const std::shared_ptr<backend_exchange> exchange = found->second;
  one.mExchanges.erase(found);
  mQueue.After(GetServerDelay(aHost, exchange->mServer), [this, exchange] {
    exchange->mIsCancelled = true;
    mServers.Cancel(exchange->mRun);
  });
}

void virtual_hosts::Announce(std::size_t aServer)
{
  mQueue.After(kAnnounceInterval, [this, aServer] { Announce(aServer); });
  SendAnnouncement(aServer, 0);
}

void virtual_hosts::SendAnnouncement(std::size_t aServer, std::size_t aAttempt)
{
  const std::optional<std::string> body = mServers.MakeAnnouncement(aServer);
  const std::vector<std::string> vms = mTrace.FindEntryVms(mTrace.mServers[aServer].mZone);
  if (!body || aAttempt >= std::min<std::size_t>(vms.size(), 2)) {
    return;
  }
  const std::size_t target = mPositions.at(vms[mAnnounceTo[aServer] % vms.size()]);
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
  mQueue.After(kAnnounceTimeout, [this, aServer, aAttempt, isAnswered] {
    if (!*isAnswered) {
      ++mAnnounceTo[aServer];
      SendAnnouncement(aServer, aAttempt + 1);
    }
  });
}

void virtual_hosts::Apply(const trace_entry& aEvent)
{
  const std::string& kind = aEvent.GetKind();
  if (kind == "cut") {
    mCuts[aEvent.GetText("name")] = { aEvent.GetList("from"),
                                      aEvent.GetList("to"),
                                      aEvent.GetBoolean("one_way", false) };
    mQueue.After(kSilenceTimeout, [this] { BreakConnections(); });
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
    mSilent.insert(pair);
    mQueue.After(aEvent.GetTime("reopens_after_ms", 1'000), [this, pair] {
      mSilent.erase(pair);
      LosePeer(pair.first, pair.second);
      LosePeer(pair.second, pair.first);
    });
    return;
  }
  const std::size_t position = mPositions.at(aEvent.GetText("vm"));
  host& one = mHosts[position];
  if (kind == "kill") {
    EndHost(position);
  } else if (kind == "restart") {
    EndHost(position);
    StartHost(position);
  } else if (kind == "freeze" && one.mState == host_state::Up) {
    one.mState = host_state::Frozen;
  } else if (kind == "wake" && one.mState == host_state::Frozen) {
    one.mState = host_state::Up;
    std::deque<node_event> waiting;
    waiting.swap(one.mWaiting);
    for (const node_event& event : waiting) {
      Give(position, event);
    }
  } else if (kind == "stop") {
    one.mRestartAfter = aEvent.GetTime("restart_after_ms");
    mHistory.mOccasions.push_back({ "stop", one.mVm.mName, mQueue.GetNow() });
    Give(position, stop_requested{});
  }
}

void virtual_hosts::BreakConnections()
{
  const auto connected = mConnected;
  for (const auto& pair : connected) {
    const place first{ false, pair.first };
    const place second{ false, pair.second };
    if (IsCut(first, second) || IsCut(second, first)) {
      mConnected.erase(pair);
      LosePeer(pair.first, pair.second);
      LosePeer(pair.second, pair.first);
    }
  }
}

void virtual_hosts::LosePeer(std::size_t aFrom, std::size_t aTo)
{
  Give(aFrom, peer_disconnected{ mHosts[aTo].mRecord.mVm });
}

bool virtual_hosts::Matches(place aPlace, const std::vector<std::string>& aNames) const
{
  return std::any_of(aNames.begin(), aNames.end(), [&](const std::string& aName) {
    return aPlace.mIsServer ? trace::IsNamed(mTrace.mServers[aPlace.mPosition], aName)
                            : trace::IsNamed(mTrace.mVms[aPlace.mPosition], aName);
  });
}

bool virtual_hosts::IsCut(place aFrom, place aTo) const
{
  return std::any_of(mCuts.begin(), mCuts.end(), [&](const auto& aCut) {
    const cut& one = aCut.second;
    return (Matches(aFrom, one.mFrom) && Matches(aTo, one.mTo)) ||
           (!one.mIsOneWay && Matches(aFrom, one.mTo) && Matches(aTo, one.mFrom));
  });
}

microseconds virtual_hosts::GetDelay(std::size_t aFrom, std::size_t aTo) const
{
  const trace_vm& to = mTrace.mVms[aTo];
  return mTrace.mDelays.Find(mTrace.mVms[aFrom], to.mZone, to.mRegion, mTrace.mDelays.mSameZone);
}

microseconds virtual_hosts::GetServerDelay(std::size_t aHost, std::size_t aServer) const
{
  const trace_server& to = mTrace.mServers[aServer];
  return mTrace.mDelays.Find(mTrace.mVms[aHost], to.mZone, to.mRegion, mTrace.mDelays.mServer);
}

current_time virtual_hosts::GetTime(std::size_t aHost) const
{
  // Each VM has its own origin of monotonic time: instants of different VMs must not be compared.
  const microseconds origin = std::chrono::seconds(1'000 * (aHost + 1));
  return { instant(origin + mQueue.GetNow()),
           { mTrace.mStartsAt.mMilliseconds + mQueue.GetNow().count() / 1'000 } };
}

} // namespace citronpulley
