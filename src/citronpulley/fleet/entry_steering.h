#ifndef CITRONPULLEY_FLEET_ENTRY_STEERING_H
#define CITRONPULLEY_FLEET_ENTRY_STEERING_H

#include "citronpulley/base/digest.h"
#include "citronpulley/fleet/fleet_message.h"
#include "citronpulley/limits/retry_budget.h"
#include "citronpulley/steering/backend_pool.h"
#include "citronpulley/steering/route_index.h"
#include "citronpulley/steering/run_time_estimate.h"
#include "citronpulley/steering/workspace_meter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronpulley {

/** Fixed values of an entry VM. */
struct entry_steering_settings
{
  entry_location mLocation;
  std::map<zone_name, region_name> mRegions;
  /** Time from the proof of an update for which keys and rates may be used. */
  microseconds mLease{ 4'000'000 };
  /** Retries of all entry VMs together that are allowed for each request. */
  double mRetriesPerRequest = 0.12;
  /** Retries of this VM beyond that share. */
  double mRetryReserve = 2;
};

/** What a request shows before it is placed. */
struct request_info
{
  std::string_view mHost;
  std::string_view mPath;
  const std::string* mKey = nullptr;
  const std::string* mAffinityKey = nullptr;
  /** Time for which the caller waits, if it says so. */
  std::optional<microseconds> mCallerTimeout;
  /** Computes the fingerprint; called only when some request is quarantined. */
  std::function<digest(const workspace_name&)> mFingerprint;
};

/** Request that may run. */
struct admission_ticket
{
  /** Keeps the route alive. */
  std::shared_ptr<const route_index> mConfig;
  const route_rule* mRoute = nullptr;
  workspace_name mWorkspace;
  bool mIsMetered = false;
  int mPriority = 0;
  placement_request mPlacement;
  /** The caller or the route waits no longer. */
  instant mDeadline;
  int mAttempts = 0;
  /** Some attempt ended without proof that it did not run. */
  bool mMayHaveRun = false;
};

/** Why a request is refused by this VM. */
enum class refusal_reason : std::uint8_t
{
  NoConfig,
  UnknownRoute,
  UnknownKey,
  NotFresh,
  RateExceeded,
  Quarantined,
  NoBackend,
  Overloaded,
  NoTime,
  Stopping,
  /** It ran or may have run, and no response can be given. */
  OutcomeUnknown,
  TimedOut,
};

/** @return name of the reason in logs */
std::string_view ToString(refusal_reason aReason) noexcept;

/** Refusal of a request; only `OutcomeUnknown` and `TimedOut` leave open whether it ran. */
struct refusal
{
  refusal_reason mReason = refusal_reason::NoBackend;
  /** Empty before the key is known. */
  workspace_name mWorkspace{};
  /** Time after which the request may be served if it comes again; queues change within it. */
  microseconds mRetryAfter{ 200'000 };
};

/** What follows the end of an attempt. */
enum class next_step : std::uint8_t
{
  /** Give the response of the backend server to the caller. */
  ForwardResponse,
  /** Send the request to another backend server. */
  Retry,
  /** Say that the request has not run. */
  Refuse,
  /** Say that the outcome is unknown. */
  Fail,
};

/** @return name of the step in logs */
std::string_view ToString(next_step aStep) noexcept;

/**
 * Decisions of an entry VM in direct steering: what may run, where, and what follows a failure. It
 * holds a copy of the control state and asks for news. Pure and not thread-safe.
 */
class entry_steering
{
public:
  static constexpr microseconds kReportInterval{ 300'000 };

  entry_steering(entry_steering_settings aSettings,
                 std::function<result<traffic_config>(std::string_view)> aReader);

  /** @return the report to send now; `aIsAccepting` is false while the process stops */
  entry_report MakeReport(bool aIsAccepting, instant aNow);

  /**
   * Takes an update that answers the last report.
   *
   * @param aUpdate update of a confirmed leader
   * @param aSentAt time at which the report was sent
   * @return true when a configuration came into force
   */
  bool HandleUpdate(const entry_update& aUpdate, instant aSentAt, instant aNow);

  /** @return the ticket of a request, or why it may not run */
  std::variant<admission_ticket, refusal> Admit(const request_info& aRequest, instant aNow);

  /** @return where the request goes next, or why it goes nowhere */
  std::variant<placement, refusal> Place(admission_ticket& aTicket, instant aNow);

  /** Notes that a placed request is being sent. */
  void RecordSent(const placement& aPlacement, instant aNow);

  /** Notes the end of an attempt and decides what follows. */
  next_step HandleAttemptEnd(admission_ticket& aTicket,
                             const placement& aPlacement,
                             attempt_outcome aOutcome,
                             const std::optional<load_report>& aLoad,
                             microseconds aTook,
                             instant aNow);

  /** Notes a request that ran on a backend server when it crashed. */
  void RecordCrash(const digest& aFingerprint, const std::string& aBackend);

  /** Adapts what changes with time. */
  void Tick(instant aNow) { mPool.AdaptSpill(aNow); }

  /** @return true once requests can be served */
  bool IsReady(instant aNow) const noexcept { return mConfig != nullptr && aNow < mFreshUntil; }

  const std::shared_ptr<const route_index>& GetConfig() const noexcept { return mConfig; }
  const backend_pool& GetPool() const noexcept { return mPool; }
  instant GetFreshUntil() const noexcept { return mFreshUntil; }

private:
  /** @return time of a run of the route whose key is known, without the queue */
  microseconds GetRunTime(const admission_ticket& aTicket, const placement& aPlacement) const;
  /** @return expected wait for a slot with which a request is refused rather than sent */
  microseconds ComputeWaitLimit(const admission_ticket& aTicket,
                                const placement& aPlacement,
                                instant aNow) const;
  const service_name& PickService(const route_rule& aRoute);
  void UpdateBackends(const entry_update& aUpdate, instant aNow);

  entry_steering_settings mSettings;
  std::function<result<traffic_config>(std::string_view)> mReader;
  std::shared_ptr<const route_index> mConfig;
  backend_pool mPool;
  workspace_meter mMeter;
  retry_budget mRetries;
  instant mFreshUntil;
  std::uint64_t mNumber = 0;
  std::uint64_t mListEpoch = 0;
  std::uint64_t mListRevision = 0;
  std::vector<crash_notice> mCrashes;
  std::set<digest> mQuarantined;
  /** By the name of the route. */
  std::map<std::string, run_time_estimate> mRunTimes;
  /** Credit of each part of a weighted route: the part with the most goes next. */
  std::map<std::string, std::map<service_name, double>> mWeightCredits;
};

} // namespace citronpulley

#endif
