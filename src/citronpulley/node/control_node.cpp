#include "citronpulley/node/control_node.h"

#include "citronpulley/base/overloaded.h"
#include "citronpulley/node/caller_frame.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kWorkspacePrefix = "workspace:";
constexpr std::string_view kRegionPrefix = "region:";
constexpr microseconds kGrantLease{ 1'000'000 };
/** Allowance for the drift of clocks and the delay between sending and granting. */
constexpr microseconds kLeaseMargin{ 250'000 };
/** Part of a region's capacity that is granted; the rest is the static share of cut-off zones. */
constexpr double kGrantedCapacity = 0.9;
constexpr microseconds kReportInterval{ 400'000 };

} // namespace

control_node::control_node(group_settings aSettings,
                           recovered_member aRecovered,
                           std::string aSecret,
                           std::string_view aOperatorKey,
                           const run_values& aRun)
  : mSelf(aSettings.mSelf)
  , mSecret(std::move(aSecret))
  , mOperatorKey(ComputeKeyDigest(aOperatorKey, mSecret))
  , mOtherControlVms(aSettings.mControlVms)
  , mReplica(std::move(aSettings), std::move(aRecovered), aRun.mSeed, aRun.mStartedAt)
  , mLastGrant(aRun.mIncarnation)
{
  std::erase(mOtherControlVms, mSelf);
  UpdateCatalogue();
}

void control_node::Handle(const node_event& aEvent, present_time aNow, node_actions& aActions)
{
  mPresent = aNow.mMonotonic;
  FollowGroup();
  std::visit(overloaded{
               [&](const http_request_received& aRequest) { HandleHttp(aRequest, aNow, aActions); },
               [&](const peer_message_received& aMessage) { HandlePeer(aMessage, aNow, aActions); },
               [&](const timer_ticked&) { Tick(aNow.mMonotonic, aActions); },
               [&](const batch_stored& aStored) {
                 mReplica.TakeStored(aStored, aNow.mMonotonic, aActions);
                 if (aStored.mIsFailed) {
                   aActions.emplace_back(write_log{ log_level::Error, aStored.mMessage, "" });
                   aActions.emplace_back(stop_process{});
                 }
               },
               [&](const stop_requested&) { aActions.emplace_back(stop_process{}); },
               [](const auto&) {} },
             aEvent);
  FollowGroup();
}

void control_node::Tick(instant aNow, node_actions& aActions)
{
  mFleet.Expire(aNow);
  mReplica.Tick(aNow, aActions);
  if (aNow < mNextReportAt) {
    return;
  }
  mNextReportAt = aNow + kReportInterval;
  const fleet_report report = mFleet.MakeReport(aNow);
  for (const vm_name& vm : mOtherControlVms) {
    aActions.emplace_back(send_peer_message{ vm, report });
  }
}

void control_node::FollowGroup()
{
  UpdateCatalogue();
  const consensus_group& group = mReplica.GetGroup();
  if (group.IsLeader() && group.GetTerm() != mLedgerTerm) {
    // Grants of an earlier leader are unknown here, so no ledger of an earlier term is used.
    mLedgerTerm = group.GetTerm();
    mLedgers.clear();
  }
}

void control_node::HandleHttp(const http_request_received& aRequest,
                              present_time aNow,
                              node_actions& aActions)
{
  const auto reply = [&](http_answer aAnswer) {
    aActions.emplace_back(reply_to_client{ aRequest.mRequest, std::move(aAnswer) });
  };
  if (aRequest.mMethod == "GET" && aRequest.mTarget == "/healthz") {
    reply({ 200, { { "Content-Type", "application/json" } }, "{\"ready\":true}\n" });
    return;
  }
  if (!IsOperator(aRequest)) {
    reply(MakeErrorAnswer(
      MakeError(error_code::Unauthorized, step::Authenticate, "", "the operator key is not valid"),
      request_outcome::NotRun));
    return;
  }
  const result<operator_operation> operation = ReadOperation(aRequest, mSecret);
  if (!operation) {
    reply(MakeErrorAnswer(operation.GetError(), request_outcome::NotRun));
    return;
  }
  if (!mReplica.GetGroup().IsLeader()) {
    reply(MakeNotLeaderAnswer(request_outcome::NotRun));
    return;
  }
  DoOperation(aRequest.mRequest, operation.Get(), aNow, aActions);
}

void control_node::DoOperation(std::uint64_t aRequest,
                               const operator_operation& aOperation,
                               present_time aNow,
                               node_actions& aActions)
{
  // The leader checks a change against a state that holds all earlier changes.
  mReplica.Read(
    aNow.mMonotonic,
    [this, aRequest, aOperation, aNow](bool aIsConfirmed, node_actions& aLater) {
      const auto reply = [&](http_answer aAnswer) {
        aLater.emplace_back(reply_to_client{ aRequest, std::move(aAnswer) });
      };
      if (!aIsConfirmed) {
        reply(MakeNotLeaderAnswer(request_outcome::NotRun));
        return;
      }
      UpdateCatalogue();
      const auto* change = std::get_if<propose_change>(&aOperation);
      if (change == nullptr) {
        reply(AnswerRead(aOperation, mPresent));
        return;
      }
      if (std::optional<http_answer> refusal = CheckChange(change->mContent)) {
        reply(std::move(*refusal));
        return;
      }
      mReplica.Propose(
        change->mContent,
        { mPresent, aNow.mWallClock },
        [this, aRequest](const apply_result* aOutcome, node_actions& aLast) {
          aLast.emplace_back(reply_to_client{ aRequest,
                                              aOutcome != nullptr
                                                ? MakeChangeAnswer(*aOutcome)
                                                : MakeNotLeaderAnswer(request_outcome::Unknown) });
        },
        aLater);
    },
    aActions);
}

http_answer control_node::AnswerRead(const operator_operation& aOperation, instant aNow) const
{
  const control_state& state = mReplica.GetState();
  return std::visit(
    overloaded{ [&](const list_keys&) { return MakeKeysAnswer(state); },
                [&](const list_quarantine&) { return MakeQuarantineAnswer(state); },
                [&](const read_fleet&) {
                  return MakeFleetAnswer({ mSelf,
                                           mReplica.GetGroup().GetLeaderVm(),
                                           state.GetIndex(),
                                           state.GetConfiguration().mVersion,
                                           mFleet.ListLiveVms(aNow),
                                           mFleet.SummariseZones(aNow) });
                },
                [&](const auto&) { return MakeConfigurationAnswer(state.GetConfiguration()); } },
    aOperation);
}

http_answer control_node::MakeNotLeaderAnswer(request_outcome aOutcome) const
{
  const std::string& leader = mReplica.GetGroup().GetLeaderVm().mValue;
  return MakeErrorAnswer(MakeError(error_code::NotLeader,
                                   step::Replicate,
                                   leader,
                                   leader.empty()
                                     ? "this VM does not lead; no leader is known"
                                     : "this VM does not lead; the leader is " + leader),
                         aOutcome);
}

bool control_node::IsOperator(const http_request_received& aRequest) const
{
  std::string_view shown = FindHeader(aRequest.mHeaders, "authorization");
  if (!shown.starts_with(kBearerPrefix)) {
    return false;
  }
  shown.remove_prefix(kBearerPrefix.size());
  return ComputeKeyDigest(shown, mSecret) == mOperatorKey;
}

std::optional<http_answer> control_node::CheckChange(const command_content& aContent) const
{
  if (const auto* submission = std::get_if<submit_configuration>(&aContent)) {
    config_faults faults;
    if (!ParseCatalogue(submission->mText, "configuration", faults)) {
      return MakeFaultsAnswer(faults);
    }
  }
  if (const auto* key = std::get_if<give_key>(&aContent)) {
    if (!mCatalogue || mCatalogue->FindWorkspace(key->mWorkspace) == nullptr) {
      return MakeErrorAnswer(
        MakeError(
          error_code::NotFound, step::Submit, "", "the workspace is not in the configuration"),
        request_outcome::NotRun);
    }
  }
  return std::nullopt;
}

void control_node::HandlePeer(const peer_message_received& aMessage,
                              present_time aNow,
                              node_actions& aActions)
{
  const vm_name& sender = aMessage.mSender;
  const instant now = aNow.mMonotonic;
  std::visit(
    overloaded{
      [&](const poll& aPoll) { HandlePoll(sender, aPoll, now, aActions); },
      [&](const grant_request& aRequest) { HandleGrants(sender, aRequest, now, aActions); },
      [&](const claim_request& aRequest) { HandleClaim(sender, aRequest, aNow, aActions); },
      [&](const claim_outcome& aOutcome) { HandleOutcome(sender, aOutcome, aNow, aActions); },
      [&](const crash_report& aReport) { HandleCrash(sender, aReport, aNow, aActions); },
      [&](const fleet_report& aReport) { mFleet.TakeReport(aReport, now); },
      [&](const auto&) {
        // Only control VMs take part in the group.
        if (std::ranges::find(mOtherControlVms, sender) != mOtherControlVms.end()) {
          mReplica.Receive(aMessage, now, aActions);
          return;
        }
        aActions.emplace_back(write_log{ log_level::Warning,
                                         "a control VM does not take the message " +
                                           std::string(GetTypeName(aMessage.mMessage)),
                                         sender.mValue });
      } },
    aMessage.mMessage);
}

void control_node::HandleClaim(const vm_name& aSender,
                               const claim_request& aRequest,
                               present_time aNow,
                               node_actions& aActions)
{
  mReplica.Propose(
    aRequest,
    aNow,
    [this, aSender, aRequest](const apply_result* aOutcome, node_actions& aLater) {
      claim_reply reply{ aRequest.mKey, aRequest.mHolder, claim_verdict::NotLeader, {}, false, {} };
      if (aOutcome != nullptr) {
        reply = std::get<claim_reply>(*aOutcome);
      }
      reply.mLeader = mReplica.GetGroup().GetLeaderVm();
      aLater.emplace_back(send_peer_message{ aSender, std::move(reply) });
    },
    aActions);
}

void control_node::HandleOutcome(const vm_name& aSender,
                                 const claim_outcome& aOutcome,
                                 present_time aNow,
                                 node_actions& aActions)
{
  mReplica.Propose(
    aOutcome,
    aNow,
    [this, aSender, key = aOutcome.mKey, holder = aOutcome.mHolder](const apply_result* aResult,
                                                                    node_actions& aLater) {
      claim_outcome_reply reply{ key, holder, false, {} };
      if (aResult != nullptr) {
        reply = std::get<claim_outcome_reply>(*aResult);
      }
      reply.mLeader = mReplica.GetGroup().GetLeaderVm();
      aLater.emplace_back(send_peer_message{ aSender, std::move(reply) });
    },
    aActions);
}

void control_node::HandleCrash(const vm_name& aSender,
                               const crash_report& aReport,
                               present_time aNow,
                               node_actions& aActions)
{
  const vm_name& leader = mReplica.GetGroup().GetLeaderVm();
  if (mReplica.GetGroup().IsLeader()) {
    mReplica.Propose(
      aReport, aNow, [](const apply_result*, node_actions&) {}, aActions);
  } else if (!leader.IsEmpty() && leader != aSender) {
    aActions.emplace_back(send_peer_message{ leader, aReport });
  }
}

void control_node::HandleGrants(const vm_name& aSender,
                                const grant_request& aRequest,
                                instant aNow,
                                node_actions& aActions)
{
  if (mReplica.GetGroup().IsConfirmedLeader(aNow)) {
    AnswerGrants(aSender, aRequest, aNow, aActions);
    return;
  }
  aActions.emplace_back(send_peer_message{
    aSender,
    grant_reply{ aRequest.mRequestNumber, false, mReplica.GetGroup().GetLeaderVm(), {} } });
}

void control_node::HandlePoll(const vm_name& aSender,
                              const poll& aPoll,
                              instant aNow,
                              node_actions& aActions)
{
  if (aPoll.mSender.mVm != aSender) {
    return;
  }
  mFleet.TakePoll(aPoll, aNow);
  aActions.emplace_back(connect_peer{ aSender, aPoll.mSender.mAddress, aPoll.mSender.mPeerPort });
  mReplica.Read(
    aNow,
    [this, aSender, aPoll](bool aIsConfirmed, node_actions& aLater) {
      if (aIsConfirmed) {
        AnswerPoll(aSender, aPoll, mPresent, aLater);
      }
    },
    aActions);
}

void control_node::AnswerPoll(const vm_name& aSender,
                              const poll& aPoll,
                              instant aNow,
                              node_actions& aActions)
{
  const control_state& state = mReplica.GetState();
  poll_reply reply;
  reply.mPollNumber = aPoll.mPollNumber;
  if (aPoll.mAppliedIndex < state.GetIndex()) {
    reply.mDelta = EncodeDelta(state.MakeDelta(aPoll.mAppliedIndex));
  }
  reply.mLiveVms = mFleet.ListLiveVms(aNow);
  reply.mZones = mFleet.SummariseZones(aNow);
  reply.mLeader = mReplica.GetGroup().GetLeaderVm();
  aActions.emplace_back(send_peer_message{ aSender, std::move(reply) });
}

void control_node::AnswerGrants(const vm_name& aSender,
                                const grant_request& aRequest,
                                instant aNow,
                                node_actions& aActions)
{
  grant_reply reply{ aRequest.mRequestNumber, true, mSelf, {} };
  for (const resource_demand& demand : aRequest.mDemands) {
    rate_ledger* ledger = FindLedger(demand.mResource, aNow);
    if (ledger == nullptr) {
      continue;
    }
    for (const auto& settled : demand.mSettled) {
      ledger->Settle(settled.mGrant, settled.mUnspent, aNow);
    }
    if (demand.mWanted <= 0) {
      continue;
    }
    const std::uint64_t grant = ++mLastGrant;
    const double tokens =
      ledger->Lend(grant, demand.mWanted, aNow + kGrantLease + kLeaseMargin, aNow);
    if (tokens > 0) {
      reply.mGrants.push_back({ demand.mResource, grant, tokens, kGrantLease.count() });
    }
  }
  aActions.emplace_back(send_peer_message{ aSender, std::move(reply) });
}

rate_ledger* control_node::FindLedger(const std::string& aResource, instant aNow)
{
  const auto found = mLedgers.find(aResource);
  if (found != mLedgers.end()) {
    return &found->second;
  }
  if (!mCatalogue) {
    return nullptr;
  }
  const std::string_view resource = aResource;
  double rate = 0;
  double burst = 0;
  if (resource.starts_with(kWorkspacePrefix)) {
    const workspace_entry* workspace = mCatalogue->FindWorkspace(
      workspace_name(std::string(resource.substr(kWorkspacePrefix.size()))));
    rate = workspace == nullptr ? 0 : workspace->mRatePerSecond;
    burst = workspace == nullptr ? 0 : workspace->mBurst;
  } else if (resource.starts_with(kRegionPrefix)) {
    const region_entry* region =
      mCatalogue->FindRegion(region_name(std::string(resource.substr(kRegionPrefix.size()))));
    rate = region == nullptr ? 0 : kGrantedCapacity * region->mCapacityPerSecond;
    burst = rate;
  }
  if (rate <= 0 || burst <= 0) {
    return nullptr;
  }
  const instant blockedUntil = aNow + kGrantLease + kLeaseMargin;
  return &mLedgers.emplace(aResource, rate_ledger(rate, burst, blockedUntil)).first->second;
}

void control_node::UpdateCatalogue()
{
  const configuration_record& configuration = mReplica.GetState().GetConfiguration();
  if (configuration.mVersion == mCatalogueVersion) {
    return;
  }
  mCatalogueVersion = configuration.mVersion;
  config_faults faults;
  mCatalogue = ParseCatalogue(configuration.mText, "configuration", faults);
  mLedgers.clear();
}

} // namespace citronpulley
