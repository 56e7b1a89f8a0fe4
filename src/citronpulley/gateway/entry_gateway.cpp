#include "citronpulley/gateway/entry_gateway.h"

#include "citronpulley/gateway/clock.h"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <utility>

namespace citronpulley {

namespace asio = boost::asio;

namespace {

/** Margin by which a backend server stops before this VM does. */
constexpr std::int64_t kDeadlineMarginMs = 5;

std::optional<microseconds> ReadMilliseconds(const std::string* aValue)
{
  if (aValue == nullptr) {
    return std::nullopt;
  }
  double milliseconds = 0;
  const char* end = aValue->data() + aValue->size();
  const auto [last, code] = std::from_chars(aValue->data(), end, milliseconds);
  if (code != std::errc{} || last != end || !(milliseconds >= 0) || milliseconds > 3.6e6) {
    return std::nullopt;
  }
  return microseconds(static_cast<microseconds::rep>(milliseconds * 1'000));
}

std::string WriteSeconds(microseconds aTime)
{
  std::string milliseconds = std::to_string(aTime.count() / 1'000 % 1'000);
  milliseconds.insert(0, 3 - milliseconds.size(), '0');
  return std::to_string(aTime.count() / 1'000'000) + "." + milliseconds;
}

unsigned StatusOf(refusal_reason aReason)
{
  switch (aReason) {
    case refusal_reason::UnknownRoute:
      return 404;
    case refusal_reason::UnknownKey:
      return 401;
    case refusal_reason::RateExceeded:
      return 429;
    case refusal_reason::OutcomeUnknown:
      return 502;
    case refusal_reason::TimedOut:
      return 504;
    default:
      return 503;
  }
}

} // namespace

entry_gateway::entry_gateway(entry_gateway_settings aSettings,
                             std::unique_ptr<wire_dialect> aDialect)
  : mSettings(std::move(aSettings))
  , mDialect(std::move(aDialect))
  , mNames(mDialect->GetHeaders())
  , mLog(mSettings.mName)
  , mSteering(mSettings.mSteering,
              [this](std::string_view aText) { return mDialect->ReadConfig(aText); })
  , mConnector(mIo)
  , mFrontContext(std::make_shared<http_session_context>())
  , mFront(mIo, mFrontContext)
  , mReady(mIo,
           std::make_shared<http_session_context>(
             http_session_context{ [] { return caller_limits{}; },
                                   [this](const auto& aRequest) { TakeReadyCall(aRequest); } }))
  , mMetricsListener(mIo, mMetrics.MakeContext([this] { RefreshGauges(); }))
  , mBus(mIo,
         [this](const fleet_message& aMessage, const auto&) {
           if (const auto* update = std::get_if<entry_update>(&aMessage)) {
             mSubscription.Take(*update, GetBootTime());
           }
         })
  , mSubscription(mBus, mSteering, mLog, mSettings.mControlVms)
  , mSignals(mIo, SIGTERM, SIGINT, SIGHUP)
  , mTimer(mIo)
{
  mFrontContext->mLimits = [this] {
    return mSteering.GetConfig() ? mSteering.GetConfig()->GetConfig().mLimits : caller_limits{};
  };
  mFrontContext->mOnRequest = [this](const auto& aRequest) { TakeRequest(aRequest); };
}

status entry_gateway::Run()
{
  if (status opened = mFront.Open(mSettings.mSteering.mLocation.mCallerAddress); !opened) {
    return opened;
  }
  if (status opened = mReady.Open(mSettings.mReadyAddress); !opened) {
    return opened;
  }
  if (!mSettings.mMetricsAddress.empty()) {
    if (status opened = mMetricsListener.Open(mSettings.mMetricsAddress); !opened) {
      return opened;
    }
  }
  mLog.Write("start",
             { { "role", "entry" },
               { "address", mSettings.mSteering.mLocation.mCallerAddress },
               { "zone", mSettings.mSteering.mLocation.mZone.mValue } },
             GetBootTime());
  WaitForSignal();
  Tick();
  mIo.run();
  const instant now = GetBootTime();
  mLog.Write("stop", { { "open_requests", static_cast<std::uint64_t>(mExchanges.size()) } }, now);
  mLog.Flush(now);
  return std::monostate{};
}

void entry_gateway::WaitForSignal()
{
  mSignals.async_wait([this](const boost::system::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      // The settings hold nothing that may change while the process runs but the seeds, which are
      // used at a start only.
      mLog.Write("reload", {}, GetBootTime());
    } else if (!mIsStopping) {
      BeginStop();
    }
    WaitForSignal();
  });
}

void entry_gateway::BeginStop()
{
  mIsStopping = true;
  mStoppingSince = GetBootTime();
  mLog.Write("stopping",
             { { "open_requests", static_cast<std::uint64_t>(mExchanges.size()) } },
             mStoppingSince);
  mFront.BeginStop();
  mSubscription.Hurry();
}

void entry_gateway::CheckStop(instant aNow)
{
  if (!mIsStopping) {
    return;
  }
  const double part = static_cast<double>((aNow - mStoppingSince).count()) /
                      static_cast<double>(mSettings.mGrace.count());
  if (part >= kEndLatest || (part >= kEndAfter && mExchanges.empty() && mFront.CountBusy() == 0)) {
    mIo.stop();
  }
}

void entry_gateway::ScheduleTick()
{
  const microseconds interval = mExchanges.empty() ? kIdleTick : kBusyTick;
  mTimer.expires_after(interval);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void entry_gateway::Tick()
{
  const instant now = GetBootTime();
  CheckDeadlines(now);
  mConnector.CheckTime(now);
  mSteering.Tick(now);
  mSubscription.Tick(!mIsStopping, now);
  if (mNextSlowCheckAt <= now) {
    mNextSlowCheckAt = now + kIdleTick;
    mFront.CheckTime(now);
    mReady.CheckTime(now);
    mMetricsListener.CheckTime(now);
    mBus.CheckTime(now);
    mLog.Flush(now);
  }
  CheckStop(now);
  ScheduleTick();
}

void entry_gateway::TakeRequest(const std::shared_ptr<inbound_request>& aRequest)
{
  const instant now = GetBootTime();
  if (mIsStopping && static_cast<double>((now - mStoppingSince).count()) >
                       kRefuseAfter * static_cast<double>(mSettings.mGrace.count())) {
    Refuse(aRequest, { refusal_reason::Stopping });
    return;
  }
  const http_query& query = aRequest->mQuery;
  request_info facts;
  facts.mHost = query.GetHost();
  facts.mPath = query.GetPath();
  facts.mKey = FindField(query.mFields, mNames.mKey);
  facts.mAffinityKey = FindField(query.mFields, mNames.mAffinityKey);
  facts.mCallerTimeout = ReadMilliseconds(FindField(query.mFields, mNames.mDeadline));
  facts.mFingerprint = [&](const workspace_name& aWorkspace) {
    return GetFingerprint(query, aWorkspace);
  };
  std::variant<admission_ticket, refusal> admitted = mSteering.Admit(facts, now);
  if (const auto* refused = std::get_if<refusal>(&admitted)) {
    Refuse(aRequest, *refused);
    return;
  }
  auto exchange = std::make_shared<entry_gateway::exchange>();
  exchange->mRequest = aRequest;
  exchange->mTicket = std::move(std::get<admission_ticket>(admitted));
  mExchanges.insert(exchange);
  aRequest->mOnAbandoned = [this, weak = std::weak_ptr(exchange)] {
    if (const exchange_ptr held = weak.lock()) {
      Abandon(held);
    }
  };
  StartAttempt(exchange);
}

void entry_gateway::StartAttempt(const exchange_ptr& aExchange)
{
  const instant now = GetBootTime();
  std::variant<placement, refusal> place = mSteering.Place(aExchange->mTicket, now);
  if (const auto* refused = std::get_if<refusal>(&place)) {
    refusal final = *refused;
    if (aExchange->mTicket.mMayHaveRun) {
      final.mReason = refusal_reason::OutcomeUnknown;
    }
    Refuse(aExchange->mRequest, final);
    Forget(aExchange);
    return;
  }
  aExchange->mPlacement = std::move(std::get<placement>(place));
  aExchange->mAttemptAt = now;
  aExchange->mIsRunning = true;
  mSteering.RecordSent(aExchange->mPlacement, now);
  aExchange->mCancel = mConnector.Send(aExchange->mPlacement.mAddress,
                                       BuildQuery(*aExchange, now),
                                       [this, aExchange](channel_end aEnd, http_reply aAnswer) {
                                         TakeEnd(aExchange, aEnd, std::move(aAnswer));
                                       });
}

channel_query entry_gateway::BuildQuery(const exchange& aExchange, instant aNow) const
{
  const http_query& query = aExchange.mRequest->mQuery;
  http_fields fields;
  for (const http_field& field : query.mFields) {
    const bool isOwn =
      IsSameName(field.mName, mNames.mKey) || IsSameName(field.mName, mNames.mDeadline) ||
      IsSameName(field.mName, mNames.mWorkspace) ||
      IsSameName(field.mName, mNames.mExpectedBackend) || IsSameName(field.mName, "Expect");
    if (!isOwn && !IsConnectionField(query.mFields, field.mName)) {
      fields.push_back(field);
    }
  }
  const std::int64_t left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aExchange.mTicket.mDeadline - aNow)
      .count();
  fields.push_back(
    { mNames.mDeadline, std::to_string(std::max<std::int64_t>(1, left - kDeadlineMarginMs)) });
  fields.push_back({ mNames.mExpectedBackend, aExchange.mPlacement.mBackend });
  if (!aExchange.mTicket.mWorkspace.IsEmpty()) {
    fields.push_back({ mNames.mWorkspace, aExchange.mTicket.mWorkspace.mValue });
  }
  channel_query out;
  out.mWire = WriteQuery(query.mMethod, query.mTarget, fields, query.mBody);
  out.mIsHead = query.mMethod == "HEAD";
  out.mRequestIdName = mNames.mRequestId;
  if (const std::string* id = FindField(query.mFields, mNames.mRequestId)) {
    out.mRequestId = *id;
  }
  return out;
}

attempt_outcome entry_gateway::Classify(channel_end aEnd, const http_reply& aAnswer) const
{
  if (aEnd == channel_end::NotSent) {
    return attempt_outcome::NotSent;
  }
  if (aEnd != channel_end::Answered) {
    return attempt_outcome::Lost;
  }
  if (aAnswer.mStatus == 421) {
    return attempt_outcome::WrongInstance;
  }
  if (FindField(aAnswer.mFields, mNames.mNotExecuted) != nullptr) {
    return attempt_outcome::NotExecuted;
  }
  const bool isSuccess = aAnswer.mStatus >= 200 && aAnswer.mStatus < 300;
  if (isSuccess && (FindField(aAnswer.mFields, mNames.mSignature) == nullptr ||
                    FindField(aAnswer.mFields, "Content-Encoding") != nullptr)) {
    return attempt_outcome::Lost;
  }
  return aAnswer.mStatus >= 500 ? attempt_outcome::Failed : attempt_outcome::Answered;
}

void entry_gateway::TakeEnd(const exchange_ptr& aExchange, channel_end aEnd, http_reply aAnswer)
{
  if (!aExchange->mIsRunning) {
    return;
  }
  aExchange->mIsRunning = false;
  const instant now = GetBootTime();
  const attempt_outcome outcome = Classify(aEnd, aAnswer);
  std::optional<load_report> load;
  if (const std::string* stated = FindField(aAnswer.mFields, mNames.mLoad)) {
    load = mDialect->ReadLoad(*stated);
  }
  if (aEnd == channel_end::Lost) {
    SuspectCrash(*aExchange);
  }
  const next_step next = mSteering.HandleAttemptEnd(
    aExchange->mTicket, aExchange->mPlacement, outcome, load, now - aExchange->mAttemptAt, now);
  mMetrics.CountAttempt(ToString(outcome), now - aExchange->mAttemptAt);
  if (outcome != attempt_outcome::Answered) {
    LogFailedAttempt(*aExchange, outcome, aAnswer.mStatus, ToString(next), now);
  }
  switch (next) {
    case next_step::ForwardResponse:
      PassOn(aExchange, std::move(aAnswer));
      return;
    case next_step::Retry:
      StartAttempt(aExchange);
      return;
    case next_step::Refuse:
      RefuseExchange(aExchange, refusal_reason::Overloaded);
      return;
    case next_step::Fail:
      RefuseExchange(aExchange, refusal_reason::OutcomeUnknown);
      return;
  }
}

void entry_gateway::PassOn(const exchange_ptr& aExchange, http_reply aAnswer)
{
  http_fields fields;
  for (http_field& field : aAnswer.mFields) {
    if (!IsConnectionField(aAnswer.mFields, field.mName)) {
      fields.push_back(field);
    }
  }
  aAnswer.mFields = std::move(fields);
  const instant now = GetBootTime();
  const event_rank rank = aAnswer.mStatus < 400 ? event_rank::Success : event_rank::Failure;
  if (mLog.HasRoom(rank, now)) {
    mLog.Write(
      "answered",
      { { "request", GetId(aExchange->mRequest->mQuery) },
        { "route", aExchange->mTicket.mRoute->mName },
        { "affinity", aExchange->mTicket.mPlacement.mAffinityKey.value_or("") },
        { "backend", aExchange->mPlacement.mBackend },
        { "zone", aExchange->mPlacement.mZone.mValue },
        { "status", static_cast<int>(aAnswer.mStatus) },
        { "expected_wait_us",
          static_cast<std::int64_t>(aExchange->mPlacement.mExpectedWait.count()) },
        { "attempt_us", static_cast<std::int64_t>((now - aExchange->mAttemptAt).count()) },
        { "total_us", static_cast<std::int64_t>((now - aExchange->mRequest->mReadAt).count()) } },
      now);
  }
  mMetrics.CountRequest("answered", now - aExchange->mRequest->mReadAt);
  aExchange->mRequest->Respond(aAnswer);
  Forget(aExchange);
}

void entry_gateway::Refuse(const std::shared_ptr<inbound_request>& aRequest,
                           const refusal& aRefusal)
{
  const instant now = GetBootTime();
  const std::string* id = FindField(aRequest->mQuery.mFields, mNames.mRequestId);
  if (mLog.HasRoom(event_rank::Failure, now)) {
    mLog.Write(
      "refused",
      { { "request", id == nullptr ? std::string() : *id },
        { "reason", ToString(aRefusal.mReason) },
        { "retry_after_us", static_cast<std::int64_t>(aRefusal.mRetryAfter.count()) },
        { "workspace", aRefusal.mWorkspace.mValue },
        { "config",
          static_cast<std::uint64_t>(
            mSteering.GetConfig() ? mSteering.GetConfig()->GetConfig().mVersion : 0) },
        { "fresh_for_us", static_cast<std::int64_t>((mSteering.GetFreshUntil() - now).count()) },
        { "held_us", static_cast<std::int64_t>((now - aRequest->mReadAt).count()) } },
      now);
  }
  mMetrics.CountRequest(ToString(aRefusal.mReason), now - aRequest->mReadAt);
  http_fields fields;
  if (id != nullptr) {
    fields.push_back({ mNames.mRequestId, *id });
  }
  const unsigned status = StatusOf(aRefusal.mReason);
  if (status == 429 || status == 503) {
    fields.push_back({ "Retry-After", WriteSeconds(aRefusal.mRetryAfter) });
  }
  aRequest->Respond(
    MakeAnswer(status, mDialect->WriteError(ToString(aRefusal.mReason)), std::move(fields)));
}

void entry_gateway::RefuseExchange(const exchange_ptr& aExchange, refusal_reason aReason)
{
  Refuse(aExchange->mRequest, { aReason, aExchange->mTicket.mWorkspace });
  Forget(aExchange);
}

void entry_gateway::Abandon(const exchange_ptr& aExchange)
{
  const instant now = GetBootTime();
  EndAttempt(*aExchange, attempt_outcome::Abandoned, now);
  mMetrics.CountRequest("caller_left", now - aExchange->mRequest->mReadAt);
  if (mLog.HasRoom(event_rank::Failure, now)) {
    mLog.Write(
      "caller_left",
      { { "request", GetId(aExchange->mRequest->mQuery) },
        { "backend", aExchange->mPlacement.mBackend },
        { "held_us", static_cast<std::int64_t>((now - aExchange->mRequest->mReadAt).count()) } },
      now);
  }
  Forget(aExchange);
}

void entry_gateway::EndAttempt(exchange& aExchange, attempt_outcome aOutcome, instant aNow)
{
  if (!aExchange.mIsRunning) {
    return;
  }
  aExchange.mIsRunning = false;
  aExchange.mCancel();
  const microseconds took = aNow - aExchange.mAttemptAt;
  mSteering.HandleAttemptEnd(
    aExchange.mTicket, aExchange.mPlacement, aOutcome, std::nullopt, took, aNow);
  mMetrics.CountAttempt(ToString(aOutcome), took);
  LogFailedAttempt(aExchange, aOutcome, 0, ToString(next_step::Fail), aNow);
}

void entry_gateway::CheckDeadlines(instant aNow)
{
  std::vector<exchange_ptr> late;
  for (const exchange_ptr& exchange : mExchanges) {
    if (exchange->mTicket.mDeadline <= aNow) {
      late.push_back(exchange);
    }
  }
  for (const exchange_ptr& exchange : late) {
    if (!mExchanges.contains(exchange)) {
      continue;
    }
    EndAttempt(*exchange, attempt_outcome::TimedOut, aNow);
    RefuseExchange(exchange, refusal_reason::TimedOut);
  }
}

} // namespace citronpulley
