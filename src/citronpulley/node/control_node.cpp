#include "citronpulley/node/control_node.h"

#include "citronpulley/base/overloaded.h"
#include "citronpulley/node/caller_request.h"
#include "citronpulley/routing/routing_policy.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr microseconds kReportInterval{ 400'000 };
constexpr microseconds kShiftInterval{ 1'000'000 };

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
  , mGrants(mSelf, aRun.mIncarnation)
{
  std::erase(mOtherControlVms, mSelf);
  UpdateCatalogue();
}

void control_node::Handle(const node_event& aEvent, current_time aNow, node_actions& aActions)
{
  mCurrentTime = aNow.mMonotonic;
  UpdateFromGroup();
  std::visit(overloaded{
               [&](const http_request_received& aRequest) { HandleHttp(aRequest, aNow, aActions); },
               [&](const peer_message_received& aMessage) { HandlePeer(aMessage, aNow, aActions); },
               [&](const timer_ticked&) { Tick(aNow, aActions); },
               [&](const batch_stored& aStored) {
                 mReplica.HandleStored(aStored, aNow.mMonotonic, aActions);
                 if (aStored.mIsFailed) {
                   aActions.emplace_back(write_log{ log_level::Error, aStored.mMessage, "" });
                   aActions.emplace_back(stop_process{});
                 }
               },
               [&](const stop_requested&) { aActions.emplace_back(stop_process{}); },
               [](const auto&) {} },
             aEvent);
  UpdateFromGroup();
}

void control_node::Tick(current_time aNow, node_actions& aActions)
{
  const instant now = aNow.mMonotonic;
  mFleet.Expire(now);
  mReplica.Tick(now, aActions);
  AdvanceSteeringPlan(aNow, aActions);
  if (now < mNextReportAt) {
    return;
  }
  mNextReportAt = now + kReportInterval;
  const fleet_report report = mFleet.MakeReport(now);
  for (const vm_name& vm : mOtherControlVms) {
    aActions.emplace_back(send_peer_message{ vm, report });
  }
}

void control_node::AdvanceSteeringPlan(current_time aNow, node_actions& aActions)
{
  const consensus_group& group = mReplica.GetGroup();
  if (!group.IsConfirmedLeader(aNow.mMonotonic) || !mCatalogue) {
    mShiftController.reset();
    return;
  }
  if (!mShiftController || mShiftTerm != group.GetTerm()) {
    mShiftController.emplace();
    mShiftTerm = group.GetTerm();
    mIsPlanProposed = false;
  }
  if (aNow.mMonotonic < mNextShiftAt || mIsPlanProposed) {
    return;
  }
  mNextShiftAt = aNow.mMonotonic + kShiftInterval;
  const std::vector<zone_summary> zones = mFleet.SummariseZones(aNow.mMonotonic);
  shift_outcome outcome = mShiftController->Advance(
    { *mCatalogue, zones, {}, mReplica.GetState().GetPlan() }, aNow.mMonotonic);
  if (!outcome.mIsChanged) {
    return;
  }
  // Two plans in flight could together exceed the shift cap.
  mIsPlanProposed = true;
  mReplica.Propose(
    set_steering_plan{ std::move(outcome.mPlan) },
    aNow,
    [this](const apply_result*, node_actions&) { mIsPlanProposed = false; },
    aActions);
}

void control_node::UpdateFromGroup()
{
  UpdateCatalogue();
  const consensus_group& group = mReplica.GetGroup();
  const std::optional<instant> confirmedAt = group.GetConfirmedAt();
  if (group.IsLeader() && confirmedAt) {
    mGrants.ConfirmLeadership(group.GetTerm(), *confirmedAt, mCurrentTime);
  }
}

void control_node::HandleHttp(const http_request_received& aRequest,
                              current_time aNow,
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
  const result<operator_operation> operation = ParseOperation(aRequest, mSecret);
  if (!operation) {
    reply(MakeErrorAnswer(operation.GetError(), request_outcome::NotRun));
    return;
  }
  if (!mReplica.GetGroup().IsLeader()) {
    reply(MakeNotLeaderAnswer(request_outcome::NotRun));
    return;
  }
  ExecuteOperation(aRequest.mRequest, operation.Get(), aNow, aActions);
}

void control_node::ExecuteOperation(std::uint64_t aRequest,
                                    const operator_operation& aOperation,
                                    current_time aNow,
                                    node_actions& aActions)
{
  // The confirmed read guarantees that a change is validated against all changes committed before.
  mReplica.Read(
    aNow.mMonotonic,
    [this, aRequest, aOperation, aNow](bool aIsConfirmed, node_actions& aLaterActions) {
      const auto reply = [&](http_answer aAnswer) {
        aLaterActions.emplace_back(reply_to_client{ aRequest, std::move(aAnswer) });
      };
      if (!aIsConfirmed) {
        reply(MakeNotLeaderAnswer(request_outcome::NotRun));
        return;
      }
      UpdateCatalogue();
      const auto* change = std::get_if<propose_change>(&aOperation);
      if (change == nullptr) {
        reply(MakeReadAnswer(aOperation, mCurrentTime));
        return;
      }
      if (std::optional<http_answer> refusal = CheckChange(change->mContent)) {
        reply(std::move(*refusal));
        return;
      }
      mReplica.Propose(
        change->mContent,
        { mCurrentTime, aNow.mWallClock },
        [this, aRequest](const apply_result* aOutcome, node_actions& aFinalActions) {
          aFinalActions.emplace_back(
            reply_to_client{ aRequest,
                             aOutcome != nullptr ? MakeChangeAnswer(*aOutcome)
                                                 : MakeNotLeaderAnswer(request_outcome::Unknown) });
        },
        aLaterActions);
    },
    aActions);
}

http_answer control_node::MakeReadAnswer(const operator_operation& aOperation, instant aNow) const
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
  std::string_view credential = FindHeader(aRequest.mHeaders, "authorization");
  if (!credential.starts_with(kBearerPrefix)) {
    return false;
  }
  credential.remove_prefix(kBearerPrefix.size());
  return ComputeKeyDigest(credential, mSecret) == mOperatorKey;
}

std::optional<http_answer> control_node::CheckChange(const command_content& aContent) const
{
  if (const auto* submission = std::get_if<submit_configuration>(&aContent)) {
    config_faults faults;
    const std::vector<std::string> policies = routing_policy_registry::Instance().ListNames();
    if (!ParseCatalogue(submission->mText, "configuration", faults, policies)) {
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
                              current_time aNow,
                              node_actions& aActions)
{
  const vm_name& sender = aMessage.mSender;
  const instant now = aNow.mMonotonic;
  std::visit(
    overloaded{
      [&](const poll& aPoll) { HandlePoll(sender, aPoll, now, aActions); },
      [&](const grant_request& aRequest) { HandleGrantRequest(sender, aRequest, now, aActions); },
      [&](const claim_request& aRequest) { HandleClaimRequest(sender, aRequest, aNow, aActions); },
      [&](const claim_outcome& aOutcome) { HandleClaimOutcome(sender, aOutcome, aNow, aActions); },
      [&](const crash_report& aReport) { HandleCrashReport(sender, aReport, aNow, aActions); },
      [&](const suspect_lease_request& aRequest) {
        HandleLeaseRequest(sender, aRequest, aNow, aActions);
      },
      [&](const fleet_report& aReport) { mFleet.UpdateFromReport(aReport, now); },
      [&](const auto&) {
        // All other messages belong to the consensus protocol, in which only control VMs take part.
        if (std::ranges::find(mOtherControlVms, sender) != mOtherControlVms.end()) {
          mReplica.Receive(aMessage, now, aActions);
          return;
        }
        aActions.emplace_back(write_log{ log_level::Warning,
                                         "a control VM does not handle messages of type " +
                                           std::string(GetTypeName(aMessage.mMessage)),
                                         sender.mValue });
      } },
    aMessage.mMessage);
}

void control_node::HandleClaimRequest(const vm_name& aSender,
                                      const claim_request& aRequest,
                                      current_time aNow,
                                      node_actions& aActions)
{
  mReplica.Propose(
    aRequest,
    aNow,
    [this, aSender, aRequest](const apply_result* aOutcome, node_actions& aLaterActions) {
      claim_reply reply{ aRequest.mKey, aRequest.mHolder, claim_verdict::NotLeader, {}, false, {} };
      if (aOutcome != nullptr) {
        reply = std::get<claim_reply>(*aOutcome);
      }
      reply.mLeader = mReplica.GetGroup().GetLeaderVm();
      aLaterActions.emplace_back(send_peer_message{ aSender, std::move(reply) });
    },
    aActions);
}

void control_node::HandleClaimOutcome(const vm_name& aSender,
                                      const claim_outcome& aOutcome,
                                      current_time aNow,
                                      node_actions& aActions)
{
  mReplica.Propose(
    aOutcome,
    aNow,
    [this, aSender, key = aOutcome.mKey, holder = aOutcome.mHolder](const apply_result* aResult,
                                                                    node_actions& aLaterActions) {
      claim_outcome_reply reply{ key, holder, false, {} };
      if (aResult != nullptr) {
        reply = std::get<claim_outcome_reply>(*aResult);
      }
      reply.mLeader = mReplica.GetGroup().GetLeaderVm();
      aLaterActions.emplace_back(send_peer_message{ aSender, std::move(reply) });
    },
    aActions);
}

void control_node::HandleLeaseRequest(const vm_name& aSender,
                                      const suspect_lease_request& aRequest,
                                      current_time aNow,
                                      node_actions& aActions)
{
  mReplica.Propose(
    aRequest,
    aNow,
    [this, aSender, aRequest](const apply_result* aOutcome, node_actions& aLaterActions) {
      suspect_lease_reply reply;
      reply.mFingerprint = aRequest.mFingerprint;
      reply.mHolder = aRequest.mHolder;
      if (aOutcome != nullptr) {
        reply = std::get<suspect_lease_reply>(*aOutcome);
      }
      reply.mLeader = mReplica.GetGroup().GetLeaderVm();
      aLaterActions.emplace_back(send_peer_message{ aSender, std::move(reply) });
    },
    aActions);
}

void control_node::HandleCrashReport(const vm_name& aSender,
                                     const crash_report& aReport,
                                     current_time aNow,
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

void control_node::HandleGrantRequest(const vm_name& aSender,
                                      const grant_request& aRequest,
                                      instant aNow,
                                      node_actions& aActions)
{
  if (mReplica.GetGroup().IsConfirmedLeader(aNow)) {
    aActions.emplace_back(
      send_peer_message{ aSender, mGrants.HandleRequest(aSender, aRequest, aNow) });
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
  mFleet.UpdateFromPoll(aPoll, aNow);
  aActions.emplace_back(connect_peer{ aSender, aPoll.mSender.mAddress, aPoll.mSender.mPeerPort });
  mReplica.Read(
    aNow,
    [this, aSender, aPoll](bool aIsConfirmed, node_actions& aLaterActions) {
      if (aIsConfirmed) {
        SendPollReply(aSender, aPoll, mCurrentTime, aLaterActions);
      }
    },
    aActions);
}

void control_node::SendPollReply(const vm_name& aSender,
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
  reply.mLiveVms = mFleet.ListVmsFor(aPoll.mSender, aNow);
  if (ComputeDigest(reply.mLiveVms) == aPoll.mVmListDigest) {
    reply.mLiveVms.clear();
  }
  reply.mZones = mFleet.SummariseZones(aNow);
  reply.mLeader = mReplica.GetGroup().GetLeaderVm();
  aActions.emplace_back(send_peer_message{ aSender, std::move(reply) });
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
  if (mCatalogue) {
    mGrants.SetCatalogue(*mCatalogue, mCurrentTime);
  }
}

} // namespace citronpulley
