#include "citronpulley/gateway/clock.h"
#include "citronpulley/gateway/entry_gateway.h"
#include "citronpulley/gateway/relay_fields.h"

#include <charconv>
#include <utility>

namespace citronpulley {

namespace {

/** Start of a backend server that a response names; 0 when the field is absent or malformed. */
std::int64_t ReadRelayStart(const http_response& aResponse)
{
  std::int64_t start = 0;
  if (const std::string* text = FindField(aResponse.mFields, kRelayStartField)) {
    const char* end = text->data() + text->size();
    if (std::from_chars(text->data(), end, start).ptr != end) {
      return 0;
    }
  }
  return start;
}

relay_outcome ClassifyRelay(channel_end aEnd, const http_response& aResponse)
{
  switch (aEnd) {
    case channel_end::Answered:
      return ReadRelayOutcome(aResponse);
    case channel_end::NotSent:
      return relay_outcome::NotSent;
    case channel_end::Withheld:
      return relay_outcome::Declined;
    case channel_end::Lost:
    case channel_end::Malformed:
    case channel_end::TooLarge:
      return relay_outcome::Lost;
  }
  return relay_outcome::Lost;
}

} // namespace

void entry_gateway::StartRelay(const exchange_ptr& aExchange,
                               const relay_target& aTarget,
                               instant aNow)
{
  aExchange->mRelay = aTarget;
  aExchange->mPlacement = {};
  aExchange->mAttemptStartedAt = aNow;
  aExchange->mIsAttemptRunning = true;
  mSteering.RecordRelayed(aExchange->mTicket, aTarget);
  channel_request relayed = MakeRelayRequest(*aExchange, aNow);
  relayed.mMaySend = [this, weak = std::weak_ptr(aExchange)] {
    const exchange_ptr open = weak.lock();
    return open != nullptr &&
           mSteering.MayRelay(open->mTicket, open->mAttemptStartedAt, GetBootTime());
  };
  aExchange->mCancelAttempt =
    mRelayConnector.Send(server_name(aTarget.mVm.mValue),
                         std::move(relayed),
                         [this, aExchange](channel_end aEnd, http_response aResponse) {
                           HandleRelayEnd(aExchange, aEnd, std::move(aResponse));
                         });
}

channel_request entry_gateway::MakeRelayRequest(const exchange& aExchange, instant aNow) const
{
  const admission_ticket& ticket = aExchange.mTicket;
  http_fields fields = CopyCallerFields(aExchange, aNow);
  if (const std::string* key = FindField(aExchange.mRequest->mMessage.mFields, mHeaderNames.mKey)) {
    fields.push_back({ mHeaderNames.mKey, *key });
  }
  const relayed_request relayed{ ticket.mAttempts,
                                 ticket.mIsMetered,
                                 ticket.mConfig->GetConfig().mVersion };
  fields.push_back(
    { std::string(kRelayField), EncodeRelayedRequest(mSteering.GetRelayToken(), relayed) });
  return EncodeChannelRequest(aExchange.mRequest->mMessage, fields);
}

void entry_gateway::HandleRelayEnd(const exchange_ptr& aExchange,
                                   channel_end aEnd,
                                   http_response aResponse)
{
  if (!aExchange->mIsAttemptRunning) {
    return;
  }
  aExchange->mIsAttemptRunning = false;
  const instant now = GetBootTime();
  const relay_outcome outcome = ClassifyRelay(aEnd, aResponse);
  if (outcome == relay_outcome::Answered) {
    if (const std::string* backend = FindField(aResponse.mFields, kRelayBackendField)) {
      aExchange->mPlacement.mBackend = *backend;
      aExchange->mPlacement.mStartedAtMs = ReadRelayStart(aResponse);
    }
    // Callers get this response from this VM, so what it states binds this VM as well.
    RecordStatements(*aExchange, Classify(aEnd, aResponse), aResponse, now);
  }
  const next_step next =
    mSteering.HandleRelayEnd(aExchange->mTicket, *aExchange->mRelay, outcome, now);
  mMetrics.RecordAttempt("relay_" + std::string(ToString(outcome)),
                         now - aExchange->mAttemptStartedAt);
  if (outcome != relay_outcome::Answered) {
    LogFailedAttempt(*aExchange, ToString(outcome), aResponse.mStatus, ToString(next), now);
  }
  ContinueExchange(aExchange, next, std::nullopt, std::move(aResponse), refusal_reason::NoBackend);
}

void entry_gateway::HandleRelayedRequest(const std::shared_ptr<inbound_request>& aRequest)
{
  const std::string* value = FindField(aRequest->mMessage.mFields, kRelayField);
  const std::optional<relayed_request> relayed =
    value == nullptr ? std::nullopt : ParseRelayedRequest(*value, mSteering.GetRelayToken());
  aRequest->mIsRelayed = true;
  if (!relayed) {
    const instant now = GetBootTime();
    if (mLog.TryReserveLine(event_class::Failure, now)) {
      mLog.Write("relay_refused", { { "request", GetRequestId(aRequest->mMessage) } }, now);
    }
    // The sender may know another leader than this VM; it tries the next VM.
    Refuse(aRequest, { refusal_reason::NoConfig });
    return;
  }
  if (mSteering.GetConfig() && mSteering.GetConfig()->GetConfig().mVersion < relayed->mConfig) {
    mSubscription.ScheduleReportNow();
  }
  HandleRequest(aRequest, relayed);
}

void entry_gateway::AddRelayFields(const exchange& aExchange, http_fields& aFields) const
{
  if (aExchange.mRequest->mIsRelayed) {
    aFields.push_back({ std::string(kRelayField), std::string(ToString(relay_outcome::Answered)) });
    aFields.push_back({ std::string(kRelayBackendField), aExchange.mPlacement.mBackend });
    aFields.push_back(
      { std::string(kRelayStartField), std::to_string(aExchange.mPlacement.mStartedAtMs) });
  }
}

void entry_gateway::StartProbes(instant aNow)
{
  for (const reach_probe& probe : mSteering.StartProbes(aNow)) {
    mConnector.Probe(probe.mAddress, [this, probe](bool aIsReachable) {
      mSteering.RecordProbe(probe, aIsReachable, GetBootTime());
    });
  }
  for (const reach_monitor::change& change : mSteering.DrainReachChanges()) {
    mLog.Write("reach",
               { { "service", change.mService.mValue },
                 { "state", ToString(change.mReach) },
                 { "failed_backends", static_cast<std::uint64_t>(change.mFailures) } },
               aNow);
    if (change.mReach != reach::Suspected) {
      mSubscription.ScheduleReportNow();
    }
  }
}

} // namespace citronpulley
