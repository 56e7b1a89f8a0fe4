#include "node/test_fleet.h"

#include "citronpulley/base/overloaded.h"
#include "citronpulley/node/caller_request.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace citronpulley {

namespace {

constexpr std::int64_t kWallClockStart = 0x018f00000000;
constexpr microseconds kLatency{ 1'000 };
const vm_name kControlVm{ "c1" };

std::string MakeConfigurationText(int aWindowSeconds)
{
  return "deployment = \"test\"\nidempotency_window_seconds = " + std::to_string(aWindowSeconds) +
         R"(
[[regions]]
name = "r"
zones = ["a", "b"]
capacity_per_second = 100000
[[services]]
name = "orders"
shift_cap_percent_per_minute = 10
[[services.routes]]
path = "/"
methods = ["GET"]
idempotent = true
deadline_ms = 5000
[[services.routes]]
path = "/new"
methods = ["POST"]
deadline_ms = 5000
[[workspaces]]
name = "boats"
rate_per_second = 100000
burst = 100000
[[workspaces]]
name = "nets"
rate_per_second = 100000
burst = 100000
)";
}

/** Adds the summaries of one VM to the totals per zone and service, as a control VM does. */
void AddZoneSummaries(std::vector<zone_summary>& aZones,
                      const std::vector<zone_summary>& aVmSummaries)
{
  for (const zone_summary& summary : aVmSummaries) {
    const auto found = std::find_if(aZones.begin(), aZones.end(), [&](const zone_summary& aZone) {
      return aZone.mZone == summary.mZone && aZone.mService == summary.mService;
    });
    if (found == aZones.end()) {
      aZones.push_back(summary);
    } else {
      found->mServers += summary.mServers;
      found->mSlots += summary.mSlots;
      found->mRunning += summary.mRunning;
    }
  }
}

} // namespace

std::uint64_t GetSeedCount(std::uint64_t aDefaultCount)
{
  const char* const text = std::getenv("SEEDS");
  return text == nullptr ? aDefaultCount : std::strtoull(text, nullptr, 10);
}

std::string MakeIdempotencyKey(const test_fleet& aFleet, int aNumber, std::int64_t aAgeMilliseconds)
{
  const std::int64_t time =
    kWallClockStart + aFleet.mNow.time_since_epoch().count() / 1'000 - aAgeMilliseconds;
  char text[40];
  std::snprintf(text,
                sizeof text,
                "%08llx-%04llx-7000-8000-%012d",
                static_cast<unsigned long long>(time >> 16),
                static_cast<unsigned long long>(time & 0xffff),
                aNumber);
  return text;
}

test_fleet::test_fleet(const std::vector<std::string>& aZones)
{
  SetIdempotencyWindow(3'600);
  const std::string secret = "deployment secret";
  mControl.Apply(
    ++mLastIndex,
    { 0,
      give_key{ {}, key_id("k1"), workspace_name("boats"), ComputeKeyDigest("secret1", secret) } });
  mControl.Apply(
    ++mLastIndex,
    { 0,
      give_key{ {}, key_id("k2"), workspace_name("nets"), ComputeKeyDigest("secret2", secret) } });
  for (std::size_t index = 0; index < aZones.size(); ++index) {
    const std::string name = "vm" + std::to_string(index + 1);
    vm_slot& vm = mVms[vm_name(name)];
    vm.mRecord.mVm = vm_name(name);
    vm.mRecord.mZone = zone_name(aZones[index]);
    vm.mRecord.mRegion = region_name("r");
    vm.mRecord.mAddress = name;
    Start(name);
  }
}

test_fleet::~test_fleet() = default;

current_time test_fleet::GetTime() const
{
  return { mNow, unix_time{ kWallClockStart + mNow.time_since_epoch().count() / 1'000 } };
}

void test_fleet::Schedule(microseconds aDelay, std::function<void()> aTask)
{
  mScheduledTasks.emplace(mNow + aDelay, std::move(aTask));
}

void test_fleet::Start(const std::string& aVm)
{
  vm_slot& vm = mVms.at(vm_name(aVm));
  vm.mRecord.mIncarnation = ++vm.mIncarnation;
  vm.mNode = std::make_unique<entry_node>(
    vm.mRecord, std::vector<vm_name>{ kControlVm }, "deployment secret", vm.mIncarnation);
}

void test_fleet::Kill(const std::string& aVm)
{
  const vm_name dead(aVm);
  vm_slot& vm = mVms.at(dead);
  vm.mNode.reset();
  vm.mPendingEvents.clear();
  vm.mIsFrozen = false;
  for (const auto& [name, other] : mVms) {
    Deliver(name, peer_disconnected{ dead });
  }
}

void test_fleet::Freeze(const std::string& aVm)
{
  mVms.at(vm_name(aVm)).mIsFrozen = true;
}

void test_fleet::Thaw(const std::string& aVm)
{
  vm_slot& vm = mVms.at(vm_name(aVm));
  vm.mIsFrozen = false;
  const std::vector<node_event> pendingEvents = std::move(vm.mPendingEvents);
  vm.mPendingEvents.clear();
  for (const node_event& event : pendingEvents) {
    Deliver(vm.mRecord.mVm, event);
  }
}

void test_fleet::SetIdempotencyWindow(int aSeconds)
{
  mControl.Apply(++mLastIndex,
                 { GetTime().mWallClock.mMilliseconds,
                   submit_configuration{ submission_id(std::to_string(++mSubmissionCount)),
                                         mControl.GetConfiguration().mVersion,
                                         MakeConfigurationText(aSeconds) } });
}

fake_server& test_fleet::AddServer(const std::string& aName,
                                   const std::string& aVm,
                                   std::uint32_t aSlots)
{
  fake_server& server = mServers[server_name(aName)];
  server.mAnnouncementVm = vm_name(aVm);
  server.mAnnouncement.mServer = server_name(aName);
  server.mAnnouncement.mService = service_name("orders");
  server.mAnnouncement.mZone = mVms.at(vm_name(aVm)).mRecord.mZone;
  server.mAnnouncement.mSlots = aSlots;
  server.mAnnouncement.mInstance = aName + "/1";
  return server;
}

std::uint64_t test_fleet::Call(const test_call& aCall)
{
  http_request_received request;
  request.mRequest = ++mLastCall;
  request.mMethod = aCall.mMethod;
  request.mTarget = aCall.mTarget;
  request.mBody = aCall.mBody;
  mCalls.emplace(mLastCall, aCall);
  request.mHeaders = { { "Authorization", "Bearer " + aCall.mApiKey },
                       { "X-Call", std::to_string(mLastCall) },
                       { "Citronpulley-Deadline-Ms",
                         std::to_string(aCall.mDeadlineMilliseconds) } };
  if (!aCall.mIdempotencyKey.empty()) {
    request.mHeaders.push_back({ "Idempotency-Key", aCall.mIdempotencyKey });
  }
  Deliver(aCall.mVm, request);
  return mLastCall;
}

void test_fleet::DisconnectCaller(const std::string& aVm, std::uint64_t aCall)
{
  Deliver(vm_name(aVm), http_client_disconnected{ aCall });
}

void test_fleet::Run(int aMilliseconds)
{
  for (int step = 0; step < aMilliseconds; ++step) {
    mNow += microseconds(1'000);
    while (!mScheduledTasks.empty() && mScheduledTasks.begin()->first <= mNow) {
      const std::function<void()> task = std::move(mScheduledTasks.begin()->second);
      mScheduledTasks.erase(mScheduledTasks.begin());
      task();
    }
    for (auto& [name, server] : mServers) {
      if (server.mIsUp && server.mIsAnnouncing && server.mNextAnnouncementAt <= mNow) {
        Announce(server);
      }
    }
    if (mNow.time_since_epoch().count() % 5'000 == 0) {
      for (const auto& [name, vm] : mVms) {
        if (!vm.mIsFrozen) {
          Deliver(name, timer_ticked{});
        }
      }
    }
  }
}

void test_fleet::Deliver(const vm_name& aVm, const node_event& aEvent)
{
  vm_slot& vm = mVms.at(aVm);
  if (vm.mNode == nullptr) {
    return;
  }
  if (vm.mIsFrozen) {
    vm.mPendingEvents.push_back(aEvent);
    return;
  }
  node_actions actions;
  vm.mNode->Handle(aEvent, GetTime(), actions);
  Execute(aVm, actions);
}

void test_fleet::Execute(const vm_name& aVm, const node_actions& aActions)
{
  for (const node_action& action : aActions) {
    std::visit(
      overloaded{
        [&](const reply_to_client& aReply) { mAnswers[aReply.mRequest].push_back(aReply.mAnswer); },
        [&](const send_peer_message& aSend) { Send(aVm, aSend.mReceiver, aSend.mMessage); },
        [&](const send_to_backend& aSend) { StartRun(aVm, aSend); },
        // A cancelled request is not stopped: a server goes on after its connection was closed.
        [](const auto&) {} },
      action);
  }
}

void test_fleet::Send(const vm_name& aFrom, const vm_name& aTo, const peer_message& aMessage)
{
  std::optional<microseconds> delay = microseconds(0);
  if (mMessageFilter) {
    delay = mMessageFilter(aFrom, aTo, aMessage);
  }
  if (!delay) {
    return;
  }
  if (aTo == kControlVm) {
    Schedule(kLatency + *delay, [this, aFrom, aMessage] { HandleControlMessage(aFrom, aMessage); });
    return;
  }
  const auto found = mVms.find(aTo);
  if (found == mVms.end()) {
    return;
  }
  Schedule(kLatency + *delay, [this, aTo, aFrom, aMessage, receiver = found->second.mIncarnation] {
    if (mVms.at(aTo).mIncarnation == receiver) {
      Deliver(aTo, peer_message_received{ aFrom, aMessage });
    }
  });
}

void test_fleet::HandleControlMessage(const vm_name& aSender, const peer_message& aMessage)
{
  const auto apply = [&](command_content aContent) {
    return mControl.Apply(++mLastIndex,
                          { GetTime().mWallClock.mMilliseconds, std::move(aContent) });
  };
  vm_slot& sender = mVms.at(aSender);
  std::visit(overloaded{ [&](const poll& aPoll) {
                          sender.mPolledAt = mNow;
                          sender.mHomed = aPoll.mServerSummaries;
                          poll_reply reply;
                          reply.mPollNumber = aPoll.mPollNumber;
                          reply.mLeader = kControlVm;
                          if (aPoll.mAppliedIndex < mControl.GetIndex()) {
                            reply.mDelta = EncodeDelta(mControl.MakeDelta(aPoll.mAppliedIndex));
                          }
                          for (const auto& [name, vm] : mVms) {
                            if (vm.mPolledAt + microseconds(3'000'000) > mNow) {
                              reply.mLiveVms.push_back(vm.mRecord);
                              AddZoneSummaries(reply.mZones, vm.mHomed);
                            }
                          }
                          Send(kControlVm, aSender, reply);
                        },
                         [&](const grant_request& aRequest) {
                           grant_reply reply{ aRequest.mRequestNumber, true, kControlVm, {}, 0 };
                           reply.mHolderIncarnation = aRequest.mHolderIncarnation;
                           for (const resource_demand& demand : aRequest.mDemands) {
                             resource_grant grant;
                             grant.mResource = demand.mResource;
                             grant.mGrant = ++mLastGrant;
                             grant.mTokens = demand.mWantedTokens + 10;
                             grant.mLeaseMicroseconds = 1'000'000;
                             grant.mBurstMicroseconds = 1'000'000;
                             reply.mGrants.push_back(grant);
                           }
                           Send(kControlVm, aSender, reply);
                         },
                         [&](const claim_request& aRequest) {
                           auto reply = std::get<claim_reply>(apply(aRequest));
                           reply.mLeader = kControlVm;
                           Send(kControlVm, aSender, reply);
                         },
                         [&](const claim_outcome& aOutcome) {
                           auto reply = std::get<claim_outcome_reply>(apply(aOutcome));
                           reply.mLeader = kControlVm;
                           Send(kControlVm, aSender, reply);
                         },
                         [&](const crash_report& aReport) { apply(aReport); },
                         [&](const suspect_lease_request& aRequest) {
                           auto reply = std::get<suspect_lease_reply>(apply(aRequest));
                           reply.mLeader = kControlVm;
                           Send(kControlVm, aSender, reply);
                         },
                         [](const auto&) {} },
             aMessage);
}

void test_fleet::StartRun(const vm_name& aVm, const send_to_backend& aSend)
{
  fake_server& server = mServers.at(aSend.mServer);
  const auto finish = [&](backend_outcome aOutcome) {
    Schedule(kLatency,
             [this, aVm, number = mVms.at(aVm).mIncarnation, aSend, outcome = std::move(aOutcome)] {
               if (mVms.at(aVm).mIncarnation == number) {
                 Deliver(aVm, backend_finished{ aSend.mDispatch, outcome });
               }
             });
  };
  if (!server.mIsUp) {
    finish(backend_failure{
      MakeError(error_code::ConnectionLost, step::Connect, aSend.mServer.mValue, "refused"),
      false });
    return;
  }
  const std::vector<http_header>& headers = aSend.mRequest.mHeaders;
  received_request received{ aSend.mServer,
                             server.mAnnouncement.mInstance,
                             std::string(FindHeader(headers, "citronpulley-workspace")),
                             std::string(FindHeader(headers, "idempotency-key")),
                             aSend.mRequest.mBody,
                             std::string(FindHeader(headers, "x-call")),
                             aVm,
                             server.mRefuses };
  mRuns.push_back(received);
  if (server.mRefuses) {
    finish(http_answer{ 503, { { "Citronpulley-Not-Run", "true" } }, "busy" });
    return;
  }
  ++server.mRunning;
  server.mMaxRunning = std::max(server.mMaxRunning, server.mRunning);
  const running_request run{
    aVm, mVms.at(aVm).mIncarnation, aSend.mDispatch, aSend.mServer, server.mAnnouncement.mInstance
  };
  mRunningNow.push_back(run);
  if (!server.mPoisonBody.empty() && aSend.mRequest.mBody == server.mPoisonBody) {
    Schedule(microseconds(5'000), [this, run] {
      fake_server& crashed = mServers.at(run.mServer);
      if (crashed.mAnnouncement.mInstance == run.mInstance && crashed.mIsUp) {
        Crash(crashed);
      }
    });
    return;
  }
  const std::string answer =
    "done " + received.mWorkspace + " " +
    (received.mIdempotencyKey.empty() ? "call " + received.mCall : received.mIdempotencyKey);
  Schedule(server.mServiceTime, [this, run, answer] { EndRun(run, answer); });
}

void test_fleet::EndRun(const running_request& aRun, const std::string& aAnswer)
{
  fake_server& server = mServers.at(aRun.mServer);
  if (!server.mIsUp || server.mAnnouncement.mInstance != aRun.mInstance) {
    return;
  }
  --server.mRunning;
  std::erase_if(mRunningNow, [&](const running_request& aOther) {
    return aOther.mVm == aRun.mVm && aOther.mIncarnation == aRun.mIncarnation &&
           aOther.mDispatch == aRun.mDispatch;
  });
  if (mVms.at(aRun.mVm).mIncarnation == aRun.mIncarnation) {
    Deliver(aRun.mVm, backend_finished{ aRun.mDispatch, http_answer{ 200, {}, aAnswer } });
  }
}

void test_fleet::Crash(fake_server& aServer)
{
  ++aServer.mCrashes;
  aServer.mIsUp = false;
  aServer.mRunning = 0;
  const server_name name = aServer.mAnnouncement.mServer;
  std::vector<running_request> lost;
  std::copy_if(mRunningNow.begin(),
               mRunningNow.end(),
               std::back_inserter(lost),
               [&](const running_request& aRun) { return aRun.mServer == name; });
  std::erase_if(mRunningNow, [&](const running_request& aRun) { return aRun.mServer == name; });
  for (const running_request& run : lost) {
    if (mVms.at(run.mVm).mIncarnation == run.mIncarnation) {
      Deliver(run.mVm,
              backend_finished{ run.mDispatch,
                                backend_failure{ MakeError(error_code::ConnectionLost,
                                                           step::ReadFromBackend,
                                                           name.mValue,
                                                           "end of stream"),
                                                 true } });
    }
  }
  Schedule(aServer.mRestartTime, [this, name] {
    fake_server& server = mServers.at(name);
    server.mIsUp = true;
    server.mAnnouncement.mInstance = name.mValue + "/" + std::to_string(server.mCrashes + 1);
    server.mNextAnnouncementAt = mNow;
  });
}

void test_fleet::Announce(fake_server& aServer)
{
  aServer.mNextAnnouncementAt = mNow + microseconds(500'000);
  aServer.mAnnouncement.mRunning = aServer.mRunning;
  // Like a real server, it switches to another VM of its zone when its VM does not answer.
  for (const auto& [name, vm] : mVms) {
    const vm_slot& first = mVms.at(aServer.mAnnouncementVm);
    if (first.mNode != nullptr && !first.mIsFrozen) {
      break;
    }
    if (vm.mNode != nullptr && !vm.mIsFrozen && vm.mRecord.mZone == aServer.mAnnouncement.mZone) {
      aServer.mAnnouncementVm = name;
    }
  }
  Deliver(
    aServer.mAnnouncementVm,
    peer_message_received{ aServer.mAnnouncementVm, announce_forward{ aServer.mAnnouncement } });
}

} // namespace citronpulley
