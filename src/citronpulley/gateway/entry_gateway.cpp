#include "citronpulley/gateway/entry_gateway.h"

#include "citronpulley/gateway/clock.h"
#include "citronpulley/gateway/guarded_run.h"
#include "citronpulley/gateway/relay_fields.h"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <sys/resource.h>
#include <utility>

namespace citronpulley {

namespace asio = boost::asio;

namespace {

/** Bytes that the fields of a relay add to the header of a request. */
constexpr std::uint32_t kRelayFieldBytes = 256;

/** Part of the VM's memory that requests and responses may take together. */
constexpr std::size_t kMessageMemoryDivisor = 4;

/** @return a header value in milliseconds; nothing when absent, malformed or above one hour */
std::optional<microseconds> ParseMilliseconds(const std::string* aValue)
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

/** @return seconds with three decimal places */
std::string FormatSeconds(microseconds aTime)
{
  std::string milliseconds = std::to_string(aTime.count() / 1'000 % 1'000);
  milliseconds.insert(0, 3 - milliseconds.size(), '0');
  return std::to_string(aTime.count() / 1'000'000) + "." + milliseconds;
}

/** Descriptors of a process whose limit cannot be read. */
constexpr std::size_t kDefaultDescriptors = 1'024;

/** @return number of descriptors that the process may open */
std::size_t GetDescriptorLimit()
{
  rlimit limit{};
  const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return isKnown ? static_cast<std::size_t>(limit.rlim_cur) : kDefaultDescriptors;
}

unsigned GetHttpStatus(refusal_reason aReason)
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
  , mHeaderNames(mDialect->GetHeaders())
  , mBudget(std::make_shared<memory_budget>(mSettings.mMemoryBytes / kMessageMemoryDivisor))
  , mLog(mSettings.mName)
  , mSteering(mSettings.mSteering)
  , mConnector(mIo, mBudget, std::string(GetIp(mSettings.mSteering.mLocation.mVm.mValue)))
  , mRelayConnector(mIo, mBudget, std::string(GetIp(mSettings.mSteering.mLocation.mVm.mValue)))
  , mCallerContext(std::make_shared<http_session_context>())
  , mCallerListener(mIo, mCallerContext)
  , mReadyListener(mIo,
                   std::make_shared<http_session_context>(http_session_context{
                     [] { return caller_limits{}; },
                     [this](const auto& aRequest) { HandleReadyCall(aRequest); } }))
  , mRelayContext(std::make_shared<http_session_context>())
  , mRelayListener(mIo, mRelayContext)
  , mMetricsListener(mIo, mMetrics.MakeSessionContext([this] { RefreshGauges(); }))
  , mBus(
      mIo,
      [this](const fleet_message& aMessage, const auto&) {
        if (const auto* update = std::get_if<entry_update>(&aMessage)) {
          mSubscription.Receive(*update, GetBootTime());
        }
      },
      [this](const std::string& aPeer, const std::string& aReason) {
        mLog.Write("frame_refused", { { "peer", aPeer }, { "reason", aReason } }, GetBootTime());
      })
  , mSubscription(mBus, mSteering, mLog, mSettings.mControlVms)
  , mSignals(mIo, SIGTERM, SIGINT, SIGHUP)
  , mTimer(mIo)
{
  mCallerContext->mLimits = [this] {
    return mSteering.GetConfig() ? mSteering.GetConfig()->GetConfig().mLimits : caller_limits{};
  };
  mCallerContext->mBudget = mBudget;
  mCallerContext->mOnRequest = [this](const auto& aRequest) {
    HandleRequest(aRequest, std::nullopt);
  };
  mCallerContext->mOnRejected = [this](unsigned aStatus) { RecordRejected(aStatus); };
  mCallerListener.SetMaxSessions(GetDescriptorLimit() / 4 * 3);
  mCallerListener.SetOnAcceptFailed([this](const std::string& aReason) {
    const instant now = GetBootTime();
    if (mLog.TryReserveLine(event_class::Failure, now)) {
      mLog.Write("accept_failed",
                 { { "reason", aReason },
                   { "connections", static_cast<std::uint64_t>(mCallerListener.CountSessions()) } },
                 now);
    }
  });
  mRelayContext->mLimits = [this] {
    caller_limits limits = mCallerContext->mLimits();
    limits.mMaxHeaderBytes += kRelayFieldBytes;
    return limits;
  };
  mRelayContext->mBudget = mBudget;
  mRelayContext->mOnRejected = mCallerContext->mOnRejected;
  mRelayContext->mOnRequest = [this](const auto& aRequest) { HandleRelayedRequest(aRequest); };
}

status entry_gateway::Run()
{
  if (status opened = mCallerListener.Open(mSettings.mSteering.mLocation.mCallerAddress); !opened) {
    return opened;
  }
  if (status opened = mReadyListener.Open(mSettings.mReadyAddress); !opened) {
    return opened;
  }
  if (status opened = mRelayListener.Open(mSettings.mSteering.mLocation.mVm.mValue); !opened) {
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
  RunGuarded(mIo, [this](const std::string& aDescription) {
    mLog.Write("unexpected_error", { { "error", aDescription } }, GetBootTime());
    // The failed handler may have been the tick.
    ScheduleTick();
  });
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
      // Nothing to reload: of the settings only the seed control VMs may change while the process
      // runs, and they are read at start-up only.
      mLog.Write("reload", {}, GetBootTime());
    } else if (!mStop) {
      StartStopping();
    }
    WaitForSignal();
  });
}

void entry_gateway::ScheduleTick()
{
  const microseconds interval = mExchanges.empty() ? kIdleTick : kBusyTick;
  mTickDueAt = GetBootTime() + interval;
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
  if (mTickDueAt) {
    mLoad.RecordLateness(now - *mTickDueAt);
  }
  ExpireExchanges(now);
  mConnector.CheckTimeouts(now);
  mRelayConnector.CheckTimeouts(now);
  StartProbes(now);
  mSteering.Tick(now);
  for (const backend_crash& crash : mSteering.DrainFoundCrashes()) {
    LogCrash(crash, "replaced");
  }
  mSubscription.Tick(!mStop, now);
  if (mNextHousekeepingAt <= now) {
    mNextHousekeepingAt = now + kIdleTick;
    mCallerListener.CheckTimeouts(now);
    mReadyListener.CheckTimeouts(now);
    mRelayListener.CheckTimeouts(now);
    mMetricsListener.CheckTimeouts(now);
    mBus.CheckTimeouts(now);
    LogLoad(now);
    mLog.Flush(now);
  }
  CheckStop(now);
  ScheduleTick();
}

void entry_gateway::HandleRequest(const std::shared_ptr<inbound_request>& aRequest,
                                  const std::optional<relayed_request>& aRelayed)
{
  const instant now = GetBootTime();
  if (mBudget->IsShort()) {
    Refuse(aRequest, { refusal_reason::Overloaded });
    return;
  }
  const http_request& message = aRequest->mMessage;
  request_info requestInfo;
  requestInfo.mHost = message.GetHost();
  requestInfo.mPath = message.GetPath();
  requestInfo.mKey = FindField(message.mFields, mHeaderNames.mKey);
  requestInfo.mAffinityKey = FindField(message.mFields, mHeaderNames.mAffinityKey);
  requestInfo.mCallerTimeout =
    ParseMilliseconds(FindField(message.mFields, mHeaderNames.mDeadline));
  requestInfo.mRelayed = aRelayed;
  requestInfo.mFingerprint = [&](const workspace_name& aWorkspace) {
    return ComputeFingerprint(message, aWorkspace);
  };
  std::variant<admission_ticket, refusal> admitted = mSteering.Admit(requestInfo, now);
  if (const auto* refused = std::get_if<refusal>(&admitted)) {
    Refuse(aRequest, *refused);
    return;
  }
  auto exchange = std::make_shared<entry_gateway::exchange>();
  exchange->mRequest = aRequest;
  exchange->mTicket = std::move(std::get<admission_ticket>(admitted));
  mExchanges.insert(exchange);
  aRequest->mOnCallerLeft = [this, weak = std::weak_ptr(exchange)] {
    if (const exchange_ptr openExchange = weak.lock()) {
      CancelExchange(openExchange);
    }
  };
  StartAttempt(exchange);
}

void entry_gateway::StartAttempt(const exchange_ptr& aExchange)
{
  const instant now = GetBootTime();
  std::variant<placement, relay_target, refusal> placed =
    MayTake(aExchange->mTicket, now)
      ? mSteering.Place(aExchange->mTicket, now)
      : mSteering.Refuse(aExchange->mTicket, refusal_reason::Stopping);
  if (const auto* refused = std::get_if<refusal>(&placed)) {
    refusal finalRefusal = *refused;
    if (aExchange->mTicket.mMayHaveRun) {
      finalRefusal.mReason = refusal_reason::OutcomeUnknown;
    }
    Refuse(aExchange->mRequest, finalRefusal);
    RemoveExchange(aExchange);
    return;
  }
  if (const auto* relay = std::get_if<relay_target>(&placed)) {
    StartRelay(aExchange, *relay, now);
    return;
  }
  StartAttemptAt(aExchange, std::move(std::get<placement>(placed)), now);
}

void entry_gateway::StartAttemptAt(const exchange_ptr& aExchange,
                                   placement aPlacement,
                                   instant aNow)
{
  aExchange->mRelay.reset();
  aExchange->mPlacement = std::move(aPlacement);
  aExchange->mAttemptStartedAt = aNow;
  aExchange->mIsAttemptRunning = true;
  mSteering.RecordSent(aExchange->mPlacement, aNow);
  channel_request channelRequest = MakeChannelRequest(*aExchange, aNow);
  channelRequest.mMaySend = [this, weak = std::weak_ptr(aExchange)] {
    const exchange_ptr open = weak.lock();
    return open != nullptr &&
           mSteering.MaySend(
             open->mTicket, open->mPlacement, open->mAttemptStartedAt, GetBootTime());
  };
  aExchange->mCancelAttempt =
    mConnector.Send(aExchange->mPlacement.mAddress,
                    std::move(channelRequest),
                    [this, aExchange](channel_end aEnd, http_response aResponse) {
                      HandleAttemptEnd(aExchange, aEnd, std::move(aResponse));
                    });
}

void entry_gateway::HandleAttemptEnd(const exchange_ptr& aExchange,
                                     channel_end aEnd,
                                     http_response aResponse)
{
  if (!aExchange->mIsAttemptRunning) {
    return;
  }
  aExchange->mIsAttemptRunning = false;
  const instant now = GetBootTime();
  const attempt_outcome outcome = Classify(aEnd, aResponse);
  std::optional<load_report> load;
  if (const std::string* loadHeader = FindField(aResponse.mFields, mHeaderNames.mLoad)) {
    load = mDialect->ParseLoad(*loadHeader);
  }
  if (aEnd == channel_end::TooLarge) {
    mLog.Write("response_too_large",
               { { "backend", aExchange->mPlacement.mBackend },
                 { "message_memory_bytes", static_cast<std::uint64_t>(mBudget->GetUsedBytes()) } },
               now);
  }
  RecordRun(*aExchange, aEnd, outcome);
  RecordStatements(*aExchange, outcome, aResponse, now);
  const next_step next = mSteering.HandleAttemptEnd(aExchange->mTicket,
                                                    aExchange->mPlacement,
                                                    outcome,
                                                    load,
                                                    now - aExchange->mAttemptStartedAt,
                                                    now);
  mMetrics.RecordAttempt(ToString(outcome), now - aExchange->mAttemptStartedAt);
  if (outcome != attempt_outcome::Answered) {
    LogFailedAttempt(*aExchange, ToString(outcome), aResponse.mStatus, ToString(next), now);
  }
  ContinueExchange(aExchange, next, load, std::move(aResponse), refusal_reason::Overloaded);
}

void entry_gateway::ContinueExchange(const exchange_ptr& aExchange,
                                     next_step aNext,
                                     const std::optional<load_report>& aLoad,
                                     http_response aResponse,
                                     refusal_reason aReason)
{
  switch (aNext) {
    case next_step::ForwardResponse:
      ForwardResponse(aExchange, aLoad, std::move(aResponse));
      return;
    case next_step::Retry:
      StartAttempt(aExchange);
      return;
    case next_step::Refuse:
      RefuseExchange(aExchange, aReason);
      return;
    case next_step::Fail:
      RefuseExchange(aExchange, refusal_reason::OutcomeUnknown);
      return;
  }
}

void entry_gateway::ForwardResponse(const exchange_ptr& aExchange,
                                    const std::optional<load_report>& aLoad,
                                    http_response aResponse)
{
  const bool isRelayRefusal =
    aExchange->mRelay && ReadRelayOutcome(aResponse) != relay_outcome::Answered;
  http_fields fields;
  for (http_field& field : aResponse.mFields) {
    if (!IsHopByHopField(aResponse.mFields, field.mName) && !IsRelayField(field.mName)) {
      fields.push_back(field);
    }
  }
  AddRelayFields(*aExchange, fields);
  aResponse.mFields = std::move(fields);
  const instant now = GetBootTime();
  LogAnswer(*aExchange, aResponse.mStatus, aLoad, now);
  mMetrics.RecordRequest(isRelayRefusal ? "refused_by_relay" : "answered",
                         now - aExchange->mRequest->mReceivedAt);
  aExchange->mRequest->Respond(aResponse);
  RemoveExchange(aExchange);
}

void entry_gateway::Refuse(const std::shared_ptr<inbound_request>& aRequest,
                           const refusal& aRefusal)
{
  const instant now = GetBootTime();
  const std::string* id = FindField(aRequest->mMessage.mFields, mHeaderNames.mRequestId);
  LogRefusal(*aRequest, aRefusal, now);
  mMetrics.RecordRequest(ToString(aRefusal.mReason), now - aRequest->mReceivedAt);
  http_fields fields;
  if (id != nullptr) {
    fields.push_back({ mHeaderNames.mRequestId, *id });
  }
  if (aRequest->mIsRelayed) {
    fields.push_back(
      { std::string(kRelayField), std::string(ToString(GetRelayOutcome(aRefusal.mReason))) });
  }
  const unsigned status = GetHttpStatus(aRefusal.mReason);
  if (status == 429 || status == 503) {
    fields.push_back({ std::string(kRetryAfterField), FormatSeconds(aRefusal.mRetryAfter) });
  }
  aRequest->Respond(
    MakeResponse(status, mDialect->WriteError(ToString(aRefusal.mReason)), std::move(fields)));
}

void entry_gateway::RefuseExchange(const exchange_ptr& aExchange, refusal_reason aReason)
{
  Refuse(aExchange->mRequest, { aReason, aExchange->mTicket.mWorkspace });
  RemoveExchange(aExchange);
}

void entry_gateway::CancelExchange(const exchange_ptr& aExchange)
{
  const instant now = GetBootTime();
  EndAttempt(*aExchange, attempt_outcome::Abandoned, now);
  mMetrics.RecordRequest("caller_left", now - aExchange->mRequest->mReceivedAt);
  if (mLog.TryReserveLine(event_class::Failure, now)) {
    mLog.Write("caller_left",
               { { "request", GetRequestId(aExchange->mRequest->mMessage) },
                 { "backend", aExchange->mPlacement.mBackend },
                 { "held_us",
                   static_cast<std::int64_t>((now - aExchange->mRequest->mReceivedAt).count()) } },
               now);
  }
  RemoveExchange(aExchange);
}

void entry_gateway::EndAttempt(exchange& aExchange, attempt_outcome aOutcome, instant aNow)
{
  if (!aExchange.mIsAttemptRunning) {
    return;
  }
  aExchange.mIsAttemptRunning = false;
  aExchange.mCancelAttempt();
  const microseconds duration = aNow - aExchange.mAttemptStartedAt;
  if (aExchange.mRelay) {
    mSteering.HandleRelayEnd(aExchange.mTicket, *aExchange.mRelay, relay_outcome::Abandoned, aNow);
    mMetrics.RecordAttempt("relay_" + std::string(ToString(aOutcome)), duration);
    LogFailedAttempt(aExchange, ToString(aOutcome), 0, ToString(next_step::Fail), aNow);
    return;
  }
  RecordRun(aExchange, std::nullopt, aOutcome);
  mSteering.HandleAttemptEnd(
    aExchange.mTicket, aExchange.mPlacement, aOutcome, std::nullopt, duration, aNow);
  mMetrics.RecordAttempt(ToString(aOutcome), duration);
  LogFailedAttempt(aExchange, ToString(aOutcome), 0, ToString(next_step::Fail), aNow);
}

void entry_gateway::ExpireExchanges(instant aNow)
{
  std::vector<exchange_ptr> expired;
  for (const exchange_ptr& exchange : mExchanges) {
    if (exchange->mTicket.mDeadline <= aNow) {
      expired.push_back(exchange);
    }
  }
  for (const exchange_ptr& exchange : expired) {
    if (!mExchanges.contains(exchange)) {
      continue;
    }
    EndAttempt(*exchange, attempt_outcome::TimedOut, aNow);
    RefuseExchange(exchange, refusal_reason::TimedOut);
  }
}

} // namespace citronpulley
