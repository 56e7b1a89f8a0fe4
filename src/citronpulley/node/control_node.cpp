#include "citronpulley/node/control_node.h"

#include "citronpulley/base/overloaded.h"
#include "citronpulley/node/caller_frame.h"
#include "citronpulley/node/operator_api.h"
#include "citronpulley/routing/routing_policy.h"

#include <utility>

namespace citronpulley {

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";

} // namespace

control_node::control_node(vm_name aSelf,
                           std::string aSecret,
                           std::string_view aOperatorKey,
                           incarnation aIncarnation)
  : mSelf(std::move(aSelf))
  , mSecret(std::move(aSecret))
  , mOperatorKey(ComputeKeyDigest(aOperatorKey, mSecret))
  , mGrants(mSelf, aIncarnation)
{
}

void control_node::Handle(const node_event& aEvent, present_time aNow, node_actions& aActions)
{
  std::visit(overloaded{
               [&](const http_request_received& aRequest) { HandleHttp(aRequest, aNow, aActions); },
               [&](const peer_message_received& aMessage) { HandlePeer(aMessage, aNow, aActions); },
               [&](const timer_ticked&) { mFleet.Expire(aNow.mMonotonic); },
               [&](const stop_requested&) { aActions.emplace_back(stop_process{}); },
               [](const auto&) {} },
             aEvent);
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
  std::visit(overloaded{ [&](const read_configuration&) {
                          reply(MakeConfigurationAnswer(mState.GetConfiguration()));
                        },
                         [&](const list_keys&) { reply(MakeKeysAnswer(mState)); },
                         [&](const list_quarantine&) { reply(MakeQuarantineAnswer(mState)); },
                         [&](const read_fleet&) {
                           reply(MakeFleetAnswer({ mSelf,
                                                   mSelf,
                                                   mState.GetIndex(),
                                                   mState.GetConfiguration().mVersion,
                                                   mFleet.ListLiveVms(aNow.mMonotonic),
                                                   mFleet.SummariseZones(aNow.mMonotonic) }));
                         },
                         [&](const propose_change& aChange) {
                           if (std::optional<http_answer> refusal = CheckChange(aChange.mContent)) {
                             reply(std::move(*refusal));
                             return;
                           }
                           reply(MakeChangeAnswer(Propose(aChange.mContent, aNow)));
                         } },
             operation.Get());
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

apply_result control_node::Propose(command_content aContent, present_time aNow)
{
  apply_result outcome =
    mState.Apply(mState.GetIndex() + 1, { aNow.mWallClock.mMilliseconds, std::move(aContent) });
  UpdateCatalogue(aNow.mMonotonic);
  return outcome;
}

void control_node::HandlePeer(const peer_message_received& aMessage,
                              present_time aNow,
                              node_actions& aActions)
{
  const vm_name& sender = aMessage.mSender;
  std::visit(
    overloaded{ [&](const poll& aPoll) { AnswerPoll(sender, aPoll, aNow.mMonotonic, aActions); },
                [&](const grant_request& aRequest) {
                  AnswerGrants(sender, aRequest, aNow.mMonotonic, aActions);
                },
                [&](const claim_request& aRequest) {
                  auto reply = std::get<claim_reply>(Propose(aRequest, aNow));
                  reply.mLeader = mSelf;
                  aActions.emplace_back(send_peer_message{ sender, std::move(reply) });
                },
                [&](const claim_outcome& aOutcome) {
                  auto reply = std::get<claim_outcome_reply>(Propose(aOutcome, aNow));
                  reply.mLeader = mSelf;
                  aActions.emplace_back(send_peer_message{ sender, std::move(reply) });
                },
                [&](const crash_report& aReport) { Propose(aReport, aNow); },
                [&](const fleet_report& aReport) { mFleet.TakeReport(aReport, aNow.mMonotonic); },
                [&](const auto&) {
                  aActions.emplace_back(write_log{ log_level::Warning,
                                                   "a control VM does not take the message " +
                                                     std::string(GetTypeName(aMessage.mMessage)),
                                                   sender.mValue });
                } },
    aMessage.mMessage);
}

void control_node::AnswerPoll(const vm_name& aSender,
                              const poll& aPoll,
                              instant aNow,
                              node_actions& aActions)
{
  const vm_record& record = aPoll.mSender;
  if (record.mVm != aSender) {
    return;
  }
  mFleet.TakePoll(aPoll, aNow);
  aActions.emplace_back(connect_peer{ record.mVm, record.mAddress, record.mPeerPort });
  poll_reply reply;
  reply.mPollNumber = aPoll.mPollNumber;
  if (aPoll.mAppliedIndex < mState.GetIndex()) {
    reply.mDelta = EncodeDelta(mState.MakeDelta(aPoll.mAppliedIndex));
  }
  reply.mLiveVms = mFleet.ListVmsFor(record, aNow);
  if (ComputeDigest(reply.mLiveVms) == aPoll.mKnownVms) {
    reply.mLiveVms.clear();
  }
  reply.mZones = mFleet.SummariseZones(aNow);
  reply.mLeader = mSelf;
  aActions.emplace_back(send_peer_message{ aSender, std::move(reply) });
}

void control_node::AnswerGrants(const vm_name& aSender,
                                const grant_request& aRequest,
                                instant aNow,
                                node_actions& aActions)
{
  // This VM is the only control VM, so nobody can lead in another term.
  mGrants.ConfirmLeadership(1, aNow, aNow);
  aActions.emplace_back(send_peer_message{ aSender, mGrants.Answer(aSender, aRequest, aNow) });
}

void control_node::UpdateCatalogue(instant aNow)
{
  const configuration_record& configuration = mState.GetConfiguration();
  if (configuration.mVersion == mCatalogueVersion) {
    return;
  }
  mCatalogueVersion = configuration.mVersion;
  config_faults faults;
  mCatalogue = ParseCatalogue(configuration.mText, "configuration", faults);
  if (mCatalogue) {
    mGrants.SetCatalogue(*mCatalogue, aNow);
  }
}

} // namespace citronpulley
