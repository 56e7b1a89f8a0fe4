#include "citronpulley/node/control_node.h"

#include "citronpulley/base/overloaded.h"
#include "citronpulley/node/caller_frame.h"
#include "citronpulley/node/operator_api.h"

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

} // namespace

control_node::control_node(vm_name aSelf,
                           std::string aSecret,
                           std::string_view aOperatorKey,
                           incarnation aIncarnation)
  : mSelf(std::move(aSelf))
  , mSecret(std::move(aSecret))
  , mOperatorKey(ComputeKeyDigest(aOperatorKey, mSecret))
  , mLastGrant(aIncarnation)
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

apply_result control_node::Propose(command_content aContent, present_time aNow)
{
  apply_result outcome =
    mState.Apply(mState.GetIndex() + 1, { aNow.mWallClock.mMilliseconds, std::move(aContent) });
  UpdateCatalogue();
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
                [&](const suspect_lease_request& aRequest) {
                  auto reply = std::get<suspect_lease_reply>(Propose(aRequest, aNow));
                  reply.mLeader = mSelf;
                  aActions.emplace_back(send_peer_message{ sender, std::move(reply) });
                },
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
  reply.mLiveVms = mFleet.ListLiveVms(aNow);
  reply.mZones = mFleet.SummariseZones(aNow);
  reply.mLeader = mSelf;
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
  const configuration_record& configuration = mState.GetConfiguration();
  if (configuration.mVersion == mCatalogueVersion) {
    return;
  }
  mCatalogueVersion = configuration.mVersion;
  config_faults faults;
  mCatalogue = ParseCatalogue(configuration.mText, "configuration", faults);
  mLedgers.clear();
}

} // namespace citronpulley
