#include "citronpulley/gateway/entry_gateway.h"

#include "citronpulley/gateway/clock.h"

#include <utility>

namespace citronpulley {

namespace {

/**
 * Size of a body above which an answer is not remembered for crashes. Callers share small requests;
 * the digest of a large one takes milliseconds.
 */
constexpr std::size_t kMaxSharedBodyBytes = 16'384;

/** @return true when the response came from the backend server that the request was sent to */
bool IsOwnAnswer(attempt_outcome aOutcome) noexcept
{
  return aOutcome == attempt_outcome::Answered || aOutcome == attempt_outcome::Failed ||
         aOutcome == attempt_outcome::NotExecuted;
}

} // namespace

void entry_gateway::HandleReadyCall(const std::shared_ptr<inbound_request>& aRequest)
{
  const control_call call = mDialect->ParseCall(aRequest->mMessage);
  if (!std::holds_alternative<ready_call>(call)) {
    aRequest->Respond(MakeResponse(404));
    return;
  }
  const bool isReady = !mStop && mSteering.GetConfig() != nullptr;
  aRequest->Respond(MakeResponse(isReady ? 200 : 503));
}

digest entry_gateway::ComputeFingerprint(const http_request& aRequest,
                                         const workspace_name& aWorkspace) const
{
  return ComputeDigest({ aWorkspace.mValue,
                         "\n",
                         aRequest.mMethod,
                         "\n",
                         aRequest.GetHost(),
                         "\n",
                         aRequest.mTarget,
                         "\n",
                         aRequest.mBody });
}

void entry_gateway::LogRefusal(const inbound_request& aRequest,
                               const refusal& aRefusal,
                               instant aNow)
{
  if (!mLog.TryReserveLine(event_class::Failure, aNow)) {
    return;
  }
  const auto& config = mSteering.GetConfig();
  std::vector<event_log::field> fields{
    { "request", GetRequestId(aRequest.mMessage) },
    { "reason", ToString(aRefusal.mReason) },
    { "retry_after_us", static_cast<std::int64_t>(aRefusal.mRetryAfter.count()) },
    { "workspace", aRefusal.mWorkspace.mValue },
    { "config", static_cast<std::uint64_t>(config ? config->GetConfig().mVersion : 0) },
    { "fresh_for_us", static_cast<std::int64_t>((mSteering.GetFreshUntil() - aNow).count()) },
    { "held_us", static_cast<std::int64_t>((aNow - aRequest.mReceivedAt).count()) },
  };
  if (aRefusal.mOverload) {
    const overload_inputs& inputs = *aRefusal.mOverload;
    const placement& chosen = inputs.mPlacement;
    fields.insert(fields.end(),
                  { { "backend", chosen.mBackend },
                    { "zone", chosen.mZone.mValue },
                    { "requests_at_backend", static_cast<std::int64_t>(chosen.mRequests) },
                    { "slots", static_cast<std::uint64_t>(chosen.mSlots) },
                    { "service_time_us", static_cast<std::int64_t>(chosen.mServiceTime.count()) },
                    { "expected_wait_us", static_cast<std::int64_t>(chosen.mExpectedWait.count()) },
                    { "wait_limit_us", static_cast<std::int64_t>(inputs.mWaitLimit.count()) },
                    { "run_time_us", static_cast<std::int64_t>(inputs.mRunTime.count()) },
                    { "spill_percent", static_cast<std::int64_t>(100 * inputs.mSpill) } });
  }
  mLog.Write("refused", fields, aNow);
}

limit_notice entry_gateway::ReadLimit(const exchange& aExchange,
                                      attempt_outcome aOutcome,
                                      const http_response& aResponse,
                                      instant aNow)
{
  const std::vector<std::string_view> values =
    FindAllFields(aResponse.mFields, mHeaderNames.mLimit);
  if (!IsOwnAnswer(aOutcome)) {
    return limit_unknown{};
  }
  if (values.empty()) {
    // An error response without a signature may come from something else than the backend server.
    const bool isSigned = FindField(aResponse.mFields, mHeaderNames.mSignature) != nullptr;
    return isSigned || aOutcome == attempt_outcome::NotExecuted ? limit_notice(limit_none{})
                                                                : limit_notice(limit_unknown{});
  }
  const std::optional<double> rate =
    values.size() == 1 ? mDialect->ParseLimit(values.front()) : std::nullopt;
  if (rate) {
    return limit_rate{ *rate };
  }
  RecordUnreadable(aExchange, "limit_unreadable", values, aNow);
  return limit_unknown{};
}

std::optional<instant> entry_gateway::ReadBackoff(const exchange& aExchange,
                                                  attempt_outcome aOutcome,
                                                  const http_response& aResponse,
                                                  instant aNow)
{
  const bool isOwnRefusal = aResponse.mStatus == 503 && (aOutcome == attempt_outcome::NotExecuted ||
                                                         aOutcome == attempt_outcome::Failed);
  const std::vector<std::string_view> values =
    isOwnRefusal ? FindAllFields(aResponse.mFields, kRetryAfterField)
                 : std::vector<std::string_view>();
  if (values.empty()) {
    return std::nullopt;
  }
  const std::optional<microseconds> delay = ParseRetryAfter(values);
  if (!delay) {
    RecordUnreadable(aExchange, "retry_after_unreadable", values, aNow);
    return std::nullopt;
  }
  return aNow + *delay;
}

void entry_gateway::RecordStatements(const exchange& aExchange,
                                     attempt_outcome aOutcome,
                                     const http_response& aResponse,
                                     instant aNow)
{
  const placement& placed = aExchange.mPlacement;
  const std::string* leaving =
    IsOwnAnswer(aOutcome) ? FindField(aResponse.mFields, mHeaderNames.mLeaving) : nullptr;
  if (leaving != nullptr && *leaving == "1") {
    mSteering.RecordLeaving(placed);
    if (mLog.TryReserveLine(event_class::Failure, aNow)) {
      mLog.Write("backend_states_leaving",
                 { { "backend", placed.mBackend },
                   { "request", GetRequestId(aExchange.mRequest->mMessage) } },
                 aNow);
    }
  } else if (leaving != nullptr && *leaving != "0") {
    RecordUnreadable(aExchange, "leaving_unreadable", { *leaving }, aNow);
  }
  mSteering.RecordLimit(placed, ReadLimit(aExchange, aOutcome, aResponse, aNow), aNow);
  const std::optional<instant> backoffUntil = ReadBackoff(aExchange, aOutcome, aResponse, aNow);
  if (!backoffUntil) {
    return;
  }
  mSteering.RecordBackoff(placed, aNow, *backoffUntil);
  if (mLog.TryReserveLine(event_class::Failure, aNow)) {
    mLog.Write("backend_backoff",
               { { "backend", placed.mBackend },
                 { "request", GetRequestId(aExchange.mRequest->mMessage) },
                 { "for_us", static_cast<std::int64_t>((*backoffUntil - aNow).count()) } },
               aNow);
  }
}

void entry_gateway::RecordUnreadable(const exchange& aExchange,
                                     std::string_view aEvent,
                                     const std::vector<std::string_view>& aValues,
                                     instant aNow)
{
  ++mUnreadableStatements;
  if (mLog.TryReserveLine(event_class::Failure, aNow)) {
    constexpr std::size_t kMaxLoggedBytes = 64;
    mLog.Write(aEvent,
               { { "backend", aExchange.mPlacement.mBackend },
                 { "values", static_cast<std::uint64_t>(aValues.size()) },
                 { "first", aValues.front().substr(0, kMaxLoggedBytes) } },
               aNow);
  }
}

void entry_gateway::RecordRejected(unsigned aStatus)
{
  ++mRejectedRequests;
  const instant now = GetBootTime();
  if (mLog.TryReserveLine(event_class::Failure, now)) {
    mLog.Write("request_rejected", { { "status", static_cast<int>(aStatus) } }, now);
  }
}

void entry_gateway::LogAnswer(const exchange& aExchange,
                              unsigned aStatus,
                              const std::optional<load_report>& aLoad,
                              instant aNow)
{
  const event_class eventClass = aStatus < 400 ? event_class::Success : event_class::Failure;
  if (mLog.TryReserveLine(eventClass, aNow)) {
    mLog.Write(
      "answered",
      { { "request", GetRequestId(aExchange.mRequest->mMessage) },
        { "route", aExchange.mTicket.mRoute->mName },
        { "affinity", aExchange.mTicket.mPlacement.mAffinityKey.value_or("") },
        { "backend", aExchange.mPlacement.mBackend },
        { "zone", aExchange.mPlacement.mZone.mValue },
        { "relay", aExchange.mRelay ? aExchange.mRelay->mVm.mValue : std::string() },
        { "status", static_cast<int>(aStatus) },
        { "expected_wait_us",
          static_cast<std::int64_t>(aExchange.mPlacement.mExpectedWait.count()) },
        { "running", static_cast<std::int64_t>(aLoad ? aLoad->mRunning : -1) },
        { "waiting", static_cast<std::int64_t>(aLoad ? aLoad->mWaiting : -1) },
        { "attempt_us", static_cast<std::int64_t>((aNow - aExchange.mAttemptStartedAt).count()) },
        { "total_us",
          static_cast<std::int64_t>((aNow - aExchange.mRequest->mReceivedAt).count()) } },
      aNow);
  }
}

void entry_gateway::LogFailedAttempt(const exchange& aExchange,
                                     std::string_view aOutcome,
                                     unsigned aStatus,
                                     std::string_view aNext,
                                     instant aNow)
{
  if (!mLog.TryReserveLine(event_class::Failure, aNow)) {
    return;
  }
  mLog.Write(
    "attempt_failed",
    { { "request", GetRequestId(aExchange.mRequest->mMessage) },
      { "route", aExchange.mTicket.mRoute->mName },
      { "backend", aExchange.mPlacement.mBackend },
      { "address", aExchange.mPlacement.mAddress.mValue },
      { "zone", aExchange.mPlacement.mZone.mValue },
      { "relay", aExchange.mRelay ? aExchange.mRelay->mVm.mValue : std::string() },
      { "outcome", aOutcome },
      { "status", static_cast<int>(aStatus) },
      { "expected_wait_us", static_cast<std::int64_t>(aExchange.mPlacement.mExpectedWait.count()) },
      { "took_us", static_cast<std::int64_t>((aNow - aExchange.mAttemptStartedAt).count()) },
      { "attempts", aExchange.mTicket.mAttempts },
      { "next", aNext } },
    aNow);
}

std::string entry_gateway::GetRequestId(const http_request& aRequest) const
{
  const std::string* id = FindField(aRequest.mFields, mHeaderNames.mRequestId);
  return id == nullptr ? std::string() : *id;
}

void entry_gateway::LogLoad(instant aNow)
{
  if (const std::optional<thread_load::report> report = mLoad.DrainReport(aNow)) {
    mLog.Write("thread_load",
               { { "span_us", static_cast<std::int64_t>(report->mSpan.count()) },
                 { "max_late_us", static_cast<std::int64_t>(report->mMaxLateness.count()) },
                 { "open_requests", static_cast<std::uint64_t>(mExchanges.size()) } },
               aNow);
  }
}

void entry_gateway::RefreshGauges()
{
  const instant now = GetBootTime();
  const auto& config = mSteering.GetConfig();
  mMetrics.SetGauge("open_requests", static_cast<double>(mExchanges.size()));
  mMetrics.SetGauge("caller_connections", static_cast<double>(mCallerListener.CountSessions()));
  mMetrics.SetGauge("backend_connections_opened", static_cast<double>(mConnector.CountOpened()));
  mMetrics.SetGauge("backend_servers", static_cast<double>(mSteering.GetPool().GetCount()));
  mMetrics.SetGauge("config_version",
                    config ? static_cast<double>(config->GetConfig().mVersion) : 0);
  mMetrics.SetGauge("config_warnings",
                    config ? static_cast<double>(config->GetConfig().mWarnings.size()) : 0);
  mMetrics.SetGauge("fresh_seconds",
                    static_cast<double>((mSteering.GetFreshUntil() - now).count()) / 1e6);
  mMetrics.SetGauge("message_memory_bytes", static_cast<double>(mBudget->GetUsedBytes()));
  mMetrics.SetGauge("statements_unreadable", static_cast<double>(mUnreadableStatements));
  mMetrics.SetGauge("backend_servers_backing_off",
                    static_cast<double>(mSteering.GetPool().CountBackoffs(now)));
  mMetrics.SetGauge("backend_servers_limited",
                    static_cast<double>(mSteering.GetPool().CountLimits()));
  mMetrics.SetGauge("accepts_failed", static_cast<double>(mCallerListener.CountFailedAccepts()));
  mMetrics.SetGauge("idle_connections_evicted",
                    static_cast<double>(mCallerListener.CountEvicted()));
  mMetrics.SetGauge("crash_suspicions", static_cast<double>(mSteering.CountCrashSuspicions()));
  mMetrics.SetGauge("services_cut_off", static_cast<double>(mSteering.CountCutOff()));
  mMetrics.SetGauge("frames_refused", static_cast<double>(mBus.CountRefused()));
  mMetrics.SetGauge("requests_rejected", static_cast<double>(mRejectedRequests));
  mMetrics.SetGauge("log_lines_left_out", static_cast<double>(mLog.CountDroppedLines()));
}

void entry_gateway::RecordRun(const exchange& aExchange,
                              std::optional<channel_end> aEnd,
                              attempt_outcome aOutcome)
{
  const bool hasRun = aOutcome == attempt_outcome::Answered || aOutcome == attempt_outcome::Failed;
  const bool isUnanswered = aEnd == channel_end::Lost || aOutcome == attempt_outcome::TimedOut ||
                            aOutcome == attempt_outcome::Abandoned;
  const http_request& message = aExchange.mRequest->mMessage;
  if (!isUnanswered && (!hasRun || message.mBody.size() > kMaxSharedBodyBytes)) {
    return;
  }
  const digest fingerprint = ComputeFingerprint(message, aExchange.mTicket.mWorkspace);
  const instant now = GetBootTime();
  if (hasRun) {
    mSteering.RecordAnswered(fingerprint, now);
    return;
  }
  mSteering.RecordUnanswered(aExchange.mTicket, aExchange.mPlacement, fingerprint, now);
  if (aEnd == channel_end::Lost) {
    CheckCrash(aExchange, fingerprint);
  }
}

void entry_gateway::CheckCrash(const exchange& aExchange, const digest& aFingerprint)
{
  const placement& placed = aExchange.mPlacement;
  backend_crash& check = mCrashChecks[placed.mAddress];
  check.mRequests.push_back(aFingerprint);
  if (check.mRequests.size() > 1) {
    return;
  }
  check.mStart = { placed.mBackend, placed.mStartedAtMs };
  check.mService = aExchange.mTicket.mPlacement.mService;
  // A lost connection alone does not prove a crash; it counts as one if the backend server cannot
  // be reached any more, or once another process start replaces it.
  mConnector.Probe(placed.mAddress, [this, address = placed.mAddress](bool aIsReachable) {
    const auto found = mCrashChecks.extract(address);
    if (found.empty() || aIsReachable) {
      return;
    }
    mSteering.RecordCrash(found.mapped(), GetBootTime());
    LogCrash(found.mapped(), "unreachable");
  });
}

void entry_gateway::LogCrash(const backend_crash& aCrash, std::string_view aEvidence)
{
  mLog.Write("backend_crashed",
             { { "backend", ToString(aCrash.mStart) },
               { "evidence", aEvidence },
               { "requests", static_cast<std::uint64_t>(aCrash.mRequests.size()) } },
             GetBootTime());
}

} // namespace citronpulley
