#include "citronpulley/node/entry_node.h"

#include "citronpulley/base/overloaded.h"
#include "citronpulley/node/announcement_parser.h"
#include "citronpulley/routing/entry_vm_order.h"

#include <boost/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace citronpulley {

namespace {

/** Minimum time between two updates to the VMs of the zone about the servers homed here. */
constexpr microseconds kUpdateInterval{ 250'000 };
/** Time after which an unchanged update is repeated, in case the last one was lost. */
constexpr microseconds kUpdateRepeatInterval{ 1'000'000 };
constexpr std::size_t kMaxListedVmsPerZone = 3;

http_answer MakeJsonAnswer(std::uint16_t aStatus, const boost::json::value& aBody)
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           boost::json::serialize(aBody) + "\n" };
}

void SendAll(const std::vector<detector_message>& aMessages, node_actions& aActions)
{
  for (const detector_message& message : aMessages) {
    std::visit(
      [&](const auto& aContent) {
        aActions.emplace_back(send_peer_message{ message.mReceiver, aContent });
      },
      message.mMessage);
  }
}

} // namespace

entry_node::entry_node(vm_record aSelf,
                       std::vector<vm_name> aControlVms,
                       std::string aSecret,
                       std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mSecret(std::move(aSecret))
  , mLink(std::move(aControlVms))
  , mDirectory(mSelf)
  , mDetector(mSelf.mVm, mSelf.mIncarnation, aSeed)
  , mRouter(mSelf.mZone, mSelf.mRegion)
  , mFlow({ mSelf, mSecret, mLink, mTokenPool, mDirectory, mDispatcher, mRouter }, aSeed)
{
}

void entry_node::Handle(const node_event& aEvent, current_time aNow, node_actions& aActions)
{
  const instant now = aNow.mMonotonic;
  std::visit(overloaded{
               [&](const http_request_received& aRequest) { HandleHttp(aRequest, aNow, aActions); },
               [&](const http_client_disconnected& aDisconnected) {
                 mFlow.CancelCallerRequest(aDisconnected.mRequest, now, aActions);
               },
               [&](const backend_finished& aFinished) {
                 std::vector<dispatcher_action> dispatcherActions;
                 mDispatcher.HandleOutcome(
                   aFinished.mDispatch, aFinished.mOutcome, now, dispatcherActions);
                 mFlow.ExecuteDispatcherActions(std::move(dispatcherActions), now, aActions);
               },
               [&](const peer_message_received& aMessage) { HandlePeer(aMessage, now, aActions); },
               [&](const peer_disconnected& aDisconnectedPeer) {
                 mDirectory.MarkDisconnected(aDisconnectedPeer.mPeer);
                 mDetector.MarkDisconnected(aDisconnectedPeer.mPeer, now);
                 mFlow.HandlePeerDisconnected(aDisconnectedPeer.mPeer, now, aActions);
               },
               [&](const timer_ticked&) { HandleTick(now, aActions); },
               [](const batch_stored&) {},
               [&](const stop_requested&) {
                 if (!mSelf.mIsStopping) {
                   mSelf.mIsStopping = true;
                   mCanStopAt = now + std::chrono::milliseconds(kResolveValidMilliseconds);
                 }
               } },
             aEvent);
}

void entry_node::HandleHttp(const http_request_received& aRequest,
                            current_time aNow,
                            node_actions& aActions)
{
  const std::string_view target = aRequest.mTarget;
  if (target.starts_with("/svc/")) {
    mFlow.StartCallerRequest(aRequest, aNow, aActions);
    return;
  }
  if (aRequest.mMethod == "GET" && target == "/v1/entry-vms") {
    aActions.emplace_back(reply_to_client{ aRequest.mRequest, ListEntryVms(aRequest, aNow) });
    return;
  }
  if (aRequest.mMethod == "POST" && target == "/v1/announce") {
    HandleAnnounceRequest(aRequest, aNow, aActions);
    return;
  }
  if (aRequest.mMethod == "GET" && target == "/healthz") {
    const bool isReady = GetView().GetCatalogue() != nullptr && !mSelf.mIsStopping;
    aActions.emplace_back(reply_to_client{
      aRequest.mRequest,
      MakeJsonAnswer(isReady ? 200 : 503,
                     { { "ready", isReady },
                       { "fresh", mLink.IsFresh(aNow.mMonotonic) },
                       { "configuration_version", GetView().GetConfigurationVersion() } }) });
    return;
  }
  aActions.emplace_back(reply_to_client{
    aRequest.mRequest,
    MakeErrorAnswer(
      MakeError(error_code::NotFound, step::ReadRequest, "", "no such method and path"),
      request_outcome::NotRun) });
}

void entry_node::HandlePeer(const peer_message_received& aMessage,
                            instant aNow,
                            node_actions& aActions)
{
  const vm_name& sender = aMessage.mSender;
  std::visit(
    overloaded{
      [&](const poll_reply& aReply) { HandlePollReply(aReply, aNow, aActions); },
      [&](const grant_reply& aReply) {
        if (aReply.mIsLeader) {
          mTokenPool.Receive(aReply, aNow);
          mFlow.RetryTokens(aNow, aActions);
        } else {
          mLink.SetLeader(aReply.mLeader);
        }
      },
      [&](const claim_reply& aReply) { mFlow.HandleClaimReply(aReply, aNow, aActions); },
      [&](const claim_outcome_reply& aReply) { mFlow.HandleOutcomeReply(aReply); },
      [&](const forward_request& aRequest) {
        mFlow.StartForwardedRequest(sender, aRequest, aNow, aActions);
      },
      [&](const forward_response& aResponse) {
        mFlow.HandleResponse(sender, aResponse, aNow, aActions);
      },
      [&](const forward_cancel& aCancel) {
        mFlow.CancelForwardedRequest(sender, aCancel, aNow, aActions);
      },
      [&](const suspect_lease_reply& aReply) { mFlow.HandleLeaseReply(aReply, aNow, aActions); },
      [&](const crash_report& aReport) { mFlow.HandleCrashReport(aReport, aNow); },
      [&](const announce_forward& aForward) {
        HandleAnnouncement(aForward.mAnnouncement, aNow, aActions);
      },
      [&](const backend_update& aUpdate) { mDirectory.Update(sender, aUpdate, aNow); },
      [&](const swim_ping& aPing) {
        std::vector<detector_message> messages;
        mDetector.Receive(sender, aPing, messages);
        SendAll(messages, aActions);
      },
      [&](const swim_ping_request& aRequest) {
        std::vector<detector_message> messages;
        mDetector.Receive(sender, aRequest, aNow, messages);
        SendAll(messages, aActions);
      },
      [&](const swim_ack& aAck) {
        std::vector<detector_message> messages;
        mDetector.Receive(sender, aAck, messages);
        SendAll(messages, aActions);
      },
      [&](const auto&) {
        aActions.emplace_back(write_log{ log_level::Warning,
                                         "ignored a message that entry VMs do not handle: " +
                                           std::string(GetTypeName(aMessage.mMessage)),
                                         sender.mValue });
      } },
    aMessage.mMessage);
}

void entry_node::HandlePollReply(const poll_reply& aReply, instant aNow, node_actions& aActions)
{
  const std::uint64_t versionBefore = GetView().GetConfigurationVersion();
  if (!mLink.Receive(aReply, aNow)) {
    return;
  }
  if (!aReply.mLiveVms.empty()) {
    UpdateVms(aReply.mLiveVms, aActions);
  }
  if (GetView().GetConfigurationVersion() != versionBefore) {
    const catalogue* content = GetView().GetCatalogue();
    mClientBlocks = content == nullptr ? client_block_table() : MakeClientBlockTable(*content);
    if (content != nullptr) {
      mRouter.SetCatalogue(*content);
    }
    aActions.emplace_back(write_log{ log_level::Information,
                                     "configuration version " +
                                       std::to_string(GetView().GetConfigurationVersion()) +
                                       " is in force",
                                     "" });
  }
  mRouter.SetPlan(GetView().GetPlan());
  mRouter.UpdateSummaries(aReply.mZones, aNow);
  mZoneSummaries = aReply.mZones;
  UpdateConnectionLimits(aNow);
}

void entry_node::UpdateVms(const std::vector<vm_record>& aVms, node_actions& aActions)
{
  for (const vm_record& vm : aVms) {
    const auto known = mDirectory.GetVms().find(vm.mVm);
    const bool isNew = known == mDirectory.GetVms().end() ||
                       known->second.mAddress != vm.mAddress ||
                       known->second.mPeerPort != vm.mPeerPort;
    if (isNew && vm.mVm != mSelf.mVm) {
      aActions.emplace_back(connect_peer{ vm.mVm, vm.mAddress, vm.mPeerPort });
    }
  }
  mDirectory.SetVms(aVms);
  mDetector.SetMembers(mDirectory.ListZonePeers());
  mKnownVmsDigest = ComputeDigest(aVms);
}

void entry_node::HandleTick(instant aNow, node_actions& aActions)
{
  if (mStartedAt == instant{}) {
    mStartedAt = aNow;
  }
  std::vector<dispatcher_action> dispatcherActions;
  mDispatcher.Tick(aNow, dispatcherActions);
  mFlow.ExecuteDispatcherActions(std::move(dispatcherActions), aNow, aActions);
  mFlow.Tick(aNow, aActions);
  mLink.Tick(mSelf, SummariseHomedServers(aNow), mKnownVmsDigest, aNow, aActions);
  DetectFailures(aNow, aActions);
  SendUpdates(aNow, aActions);
  RequestTokens(aNow, aActions);
  mGauges.Tick(GetView().GetCatalogue(), mZoneSummaries, aNow, aActions);
  const bool canStop = mSelf.mIsStopping && aNow >= mCanStopAt && mFlow.GetPendingCount() == 0 &&
                       mDispatcher.GetJobCount() == 0;
  if (canStop) {
    aActions.emplace_back(stop_process{});
  }
}

void entry_node::HandleAnnounceRequest(const http_request_received& aRequest,
                                       current_time aNow,
                                       node_actions& aActions)
{
  const result<server_announcement> announcement = ParseAnnouncement(aRequest.mBody);
  if (!announcement) {
    aActions.emplace_back(reply_to_client{
      aRequest.mRequest, MakeErrorAnswer(announcement.GetError(), request_outcome::NotRun) });
    return;
  }
  const server_announcement& announced = announcement.Get();
  const instant now = aNow.mMonotonic;
  vm_name home = mSelf.mVm;
  if (announced.mZone != mSelf.mZone) {
    const std::vector<vm_name> vms = mDirectory.ListVms(announced.mZone);
    if (vms.empty()) {
      const error refusal = MakeError(error_code::NoBackendServer,
                                      step::Announce,
                                      announced.mZone.mValue,
                                      "no VM of the zone is known");
      aActions.emplace_back(
        reply_to_client{ aRequest.mRequest, MakeErrorAnswer(refusal, request_outcome::NotRun) });
      return;
    }
    // Every VM forwards a server's announcements to the same VM of the zone, which finds the home.
    home = vms[std::hash<std::string>{}(announced.mServer.mValue) % vms.size()];
    aActions.emplace_back(send_peer_message{ home, announce_forward{ announced } });
  } else {
    HandleAnnouncement(announced, now, aActions);
  }
  const std::int64_t holdMilliseconds = backend_dispatcher::kHoldPeriod.count() / 1'000;
  aActions.emplace_back(reply_to_client{
    aRequest.mRequest,
    MakeJsonAnswer(
      200,
      { { "hold_ms", holdMilliseconds },
        { "hold_until_unix_ms", aNow.mWallClock.mMilliseconds + holdMilliseconds } }) });
}

void entry_node::HandleAnnouncement(const server_announcement& aAnnouncement,
                                    instant aNow,
                                    node_actions& aActions)
{
  if (aAnnouncement.mZone != mSelf.mZone) {
    return;
  }
  const server_name& server = aAnnouncement.mServer;
  if (!mDispatcher.IsHomed(server, aNow)) {
    const std::optional<vm_name> currentHome = mDirectory.FindHome(server, aNow);
    const vm_name home = currentHome ? *currentHome : mDirectory.ChooseHome(server, aNow);
    if (home != mSelf.mVm) {
      aActions.emplace_back(send_peer_message{ home, announce_forward{ aAnnouncement } });
      return;
    }
  }
  std::vector<dispatcher_action> dispatcherActions;
  const bool isOtherHomePossible = IsOtherHomePossible(aAnnouncement, aNow);
  mDispatcher.HandleAnnouncement(aAnnouncement, isOtherHomePossible, aNow, dispatcherActions);
  mFlow.ExecuteDispatcherActions(std::move(dispatcherActions), aNow, aActions);
}

bool entry_node::IsOtherHomePossible(const server_announcement& aAnnouncement, instant aNow) const
{
  const server_name& server = aAnnouncement.mServer;
  if (mDirectory.WasHomedElsewhere(server, aAnnouncement.mInstance)) {
    return true;
  }
  // Requests that are already running were sent by another home VM or by an earlier run of this VM.
  const bool isIdle = aAnnouncement.mHasRunningCount && aAnnouncement.mRunning == 0;
  const bool startedRecently = aNow < mStartedAt + backend_dispatcher::kHoldPeriod;
  return !isIdle || (startedRecently && !mDirectory.HasSeenAllPeers());
}

void entry_node::UpdateConnectionLimits(instant aNow)
{
  const catalogue* content = GetView().GetCatalogue();
  if (content == nullptr) {
    return;
  }
  std::map<service_name, std::uint64_t> ownSlots;
  for (const homed_server& server : mDispatcher.ListServers(aNow)) {
    ownSlots[server.mService] += server.mSlots;
  }
  for (const service_entry& service : content->mServices) {
    std::uint64_t allSlots = 0;
    for (const zone_summary& zone : mZoneSummaries) {
      allSlots += zone.mService == service.mName ? zone.mSlots : 0;
    }
    const std::uint64_t own = ownSlots[service.mName];
    const auto limit = static_cast<std::uint64_t>(service.mMaxConnections);
    const std::uint64_t share = own * limit / std::max({ allSlots, own, std::uint64_t{ 1 } });
    mDispatcher.SetConnectionLimit(service.mName,
                                   static_cast<std::uint32_t>(std::max<std::uint64_t>(share, 1)));
  }
}

http_answer entry_node::ListEntryVms(const http_request_received& aRequest, current_time aNow) const
{
  const catalogue* content = GetView().GetCatalogue();
  entry_vm_query query{ aRequest.mClientAddress, mSelf.mRegion, mSelf.mZone };
  if (const auto address = ParseIpv4Address(aRequest.mClientAddress)) {
    if (const auto site = mClientBlocks.Find(*address)) {
      query.mNearestRegion = content->mRegions[*site].mName;
    }
  }
  std::vector<const vm_record*> healthy;
  if (!mSelf.mIsStopping) {
    healthy.push_back(&mSelf);
  }
  for (const auto& [name, vm] : mDirectory.GetVms()) {
    const bool isLocal = vm.mZone == mSelf.mZone;
    if (name != mSelf.mVm && !vm.mIsStopping &&
        (!isLocal || mDirectory.IsAlive(name, aNow.mMonotonic))) {
      healthy.push_back(&vm);
    }
  }
  boost::json::array list;
  for (const vm_record* vm : OrderEntryVms(healthy, query, content, kMaxListedVmsPerZone)) {
    list.push_back({ { "vm", vm->mVm.mValue },
                     { "address", vm->mAddress + ":" + std::to_string(vm->mHttpPort) },
                     { "zone", vm->mZone.mValue },
                     { "region", vm->mRegion.mValue } });
  }
  return MakeJsonAnswer(
    200,
    { { "entry_vms", std::move(list) },
      { "valid_until_unix_ms", aNow.mWallClock.mMilliseconds + kResolveValidMilliseconds } });
}

std::vector<zone_summary> entry_node::SummariseHomedServers(instant aNow) const
{
  std::map<service_name, zone_summary> summaries;
  for (const homed_server& server : mDispatcher.ListServers(aNow)) {
    if (!server.mAcceptsRequests) {
      continue;
    }
    zone_summary& summary = summaries[server.mService];
    summary.mZone = mSelf.mZone;
    summary.mService = server.mService;
    summary.mServers += 1;
    summary.mSlots += server.mSlots;
    summary.mRunning += server.mRunning;
  }
  std::vector<zone_summary> list;
  list.reserve(summaries.size());
  for (auto& [service, summary] : summaries) {
    list.push_back(std::move(summary));
  }
  return list;
}

void entry_node::DetectFailures(instant aNow, node_actions& aActions)
{
  std::vector<detector_message> messages;
  mDetector.Tick(aNow, messages);
  SendAll(messages, aActions);
  for (const vm_name& peer : mDirectory.ListZonePeers()) {
    mDirectory.SetAlive(peer, mDetector.IsAlive(peer));
  }
}

void entry_node::SendUpdates(instant aNow, node_actions& aActions)
{
  if (aNow < mNextUpdateAt) {
    return;
  }
  std::vector<homed_server> servers = mDispatcher.ListServers(aNow);
  if (servers == mLastUpdate && aNow < mRepeatUpdateAt) {
    return;
  }
  mNextUpdateAt = aNow + kUpdateInterval;
  mRepeatUpdateAt = aNow + kUpdateRepeatInterval;
  mLastUpdate = servers;
  const backend_update update{ mSelf.mIncarnation, ++mUpdateSequence, std::move(servers) };
  for (const vm_name& peer : mDirectory.ListZonePeers()) {
    aActions.emplace_back(send_peer_message{ peer, update });
  }
}

void entry_node::RequestTokens(instant aNow, node_actions& aActions)
{
  for (grant_request& request : mTokenPool.MakeRequests(mSelf.mIncarnation, aNow)) {
    aActions.emplace_back(send_peer_message{ mLink.GetLeader(), std::move(request) });
  }
}

} // namespace citronpulley
