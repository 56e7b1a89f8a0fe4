#ifndef CITRONPULLEY_GATEWAY_ENTRY_GATEWAY_H
#define CITRONPULLEY_GATEWAY_ENTRY_GATEWAY_H

#include "citronpulley/fleet/entry_steering.h"
#include "citronpulley/gateway/backend_connector.h"
#include "citronpulley/gateway/control_subscription.h"
#include "citronpulley/gateway/event_log.h"
#include "citronpulley/gateway/fleet_bus.h"
#include "citronpulley/gateway/gateway_metrics.h"
#include "citronpulley/gateway/http_listener.h"
#include "citronpulley/gateway/memory_budget.h"
#include "citronpulley/gateway/stop_schedule.h"
#include "citronpulley/gateway/thread_load.h"
#include "citronpulley/gateway/wire_dialect.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronpulley {

/** Memory of a VM whose settings name none. */
constexpr std::size_t kDefaultMemoryBytes = 128UL * 1024 * 1024;

/** Settings of an entry VM process. */
struct entry_gateway_settings
{
  std::string mName;
  entry_steering_settings mSteering;
  /** Control VMs to contact first; others are learned from their replies. */
  std::vector<vm_name> mControlVms;
  /** `IP:port` of the listener for readiness probes. */
  std::string mReadyAddress;
  /** `IP:port` of the metrics endpoint; empty disables it. */
  std::string mMetricsAddress;
  /** Memory of the VM in bytes. */
  std::size_t mMemoryBytes = kDefaultMemoryBytes;
  /** Time between the stop signal and the latest exit of the process. */
  microseconds mGracePeriod{ 6'000'000 };
};

/**
 * Entry VM process in direct steering: accepts requests of callers, forwards each to the backend
 * server that the steering chooses, and returns the response. Single-threaded.
 */
class entry_gateway
{
public:
  /** Intervals of deadline checks while requests are in progress, and while there are none. */
  static constexpr microseconds kBusyTick{ 20'000 };
  static constexpr microseconds kIdleTick{ 100'000 };
  entry_gateway(entry_gateway_settings aSettings, std::unique_ptr<wire_dialect> aDialect);

  /**
   * Opens the listeners and runs until SIGTERM or SIGINT and the shutdown that follows.
   *
   * @return an error when a listener cannot be opened
   */
  status Run();

private:
  /** Request of a caller and its current attempt at a backend server. */
  struct exchange
  {
    std::shared_ptr<inbound_request> mRequest;
    admission_ticket mTicket;
    placement mPlacement;
    /** Entry VM of the current attempt; empty when it goes to a backend server. */
    std::optional<relay_target> mRelay;
    /** Cancels the attempt in progress. */
    std::function<void()> mCancelAttempt;
    instant mAttemptStartedAt;
    bool mIsAttemptRunning = false;
  };

  using exchange_ptr = std::shared_ptr<exchange>;

  void HandleRequest(const std::shared_ptr<inbound_request>& aRequest,
                     const std::optional<relayed_request>& aRelayed);
  /** Handles a request at the internal port, where only entry VMs send some. */
  void HandleRelayedRequest(const std::shared_ptr<inbound_request>& aRequest);
  void StartAttempt(const exchange_ptr& aExchange);
  void StartAttemptAt(const exchange_ptr& aExchange, placement aPlacement, instant aNow);
  /** Sends the request to another entry VM. */
  void StartRelay(const exchange_ptr& aExchange, const relay_target& aTarget, instant aNow);
  channel_request MakeRelayRequest(const exchange& aExchange, instant aNow) const;
  void HandleRelayEnd(const exchange_ptr& aExchange, channel_end aEnd, http_response aResponse);
  /** Adds to a response what the entry VM that sent the request on needs to know. */
  void AddRelayFields(const exchange& aExchange, http_fields& aFields) const;
  /** Starts the probes that find out which services this VM reaches, and logs changes. */
  void StartProbes(instant aNow);
  /** @return fields of the caller to send on, with the remaining time and without the key */
  http_fields CopyCallerFields(const exchange& aExchange, instant aNow) const;
  channel_request EncodeChannelRequest(const http_request& aMessage,
                                       const http_fields& aFields) const;
  channel_request MakeChannelRequest(const exchange& aExchange, instant aNow) const;
  void HandleAttemptEnd(const exchange_ptr& aExchange, channel_end aEnd, http_response aResponse);
  attempt_outcome Classify(channel_end aEnd, const http_response& aResponse) const;
  /** @return what the response says about the rate that its backend server takes */
  limit_notice ReadLimit(const exchange& aExchange,
                         attempt_outcome aOutcome,
                         const http_response& aResponse,
                         instant aNow);
  /** @return time until which the response asks this VM to send its backend server nothing */
  std::optional<instant> ReadBackoff(const exchange& aExchange,
                                     attempt_outcome aOutcome,
                                     const http_response& aResponse,
                                     instant aNow);
  /** Records what the response says about further requests to its backend server. */
  void RecordStatements(const exchange& aExchange,
                        attempt_outcome aOutcome,
                        const http_response& aResponse,
                        instant aNow);
  /** Counts and logs header values of a backend server that cannot be read and change nothing. */
  void RecordUnreadable(const exchange& aExchange,
                        std::string_view aEvent,
                        const std::vector<std::string_view>& aValues,
                        instant aNow);
  /**
   * Does what was decided after an attempt.
   *
   * @param aLoad load that the response reported, if any
   * @param aReason reason of a refusal, if that was decided
   */
  void ContinueExchange(const exchange_ptr& aExchange,
                        next_step aNext,
                        const std::optional<load_report>& aLoad,
                        http_response aResponse,
                        refusal_reason aReason);
  void ForwardResponse(const exchange_ptr& aExchange,
                       const std::optional<load_report>& aLoad,
                       http_response aResponse);
  void Refuse(const std::shared_ptr<inbound_request>& aRequest, const refusal& aRefusal);
  void RefuseExchange(const exchange_ptr& aExchange, refusal_reason aReason);
  void CancelExchange(const exchange_ptr& aExchange);
  void RemoveExchange(const exchange_ptr& aExchange) { mExchanges.erase(aExchange); }
  void ExpireExchanges(instant aNow);
  void EndAttempt(exchange& aExchange, attempt_outcome aOutcome, instant aNow);
  void LogRefusal(const inbound_request& aRequest, const refusal& aRefusal, instant aNow);
  /** @param aLoad load that the response reported, if any */
  void LogAnswer(const exchange& aExchange,
                 unsigned aStatus,
                 const std::optional<load_report>& aLoad,
                 instant aNow);
  void LogFailedAttempt(const exchange& aExchange,
                        std::string_view aOutcome,
                        unsigned aStatus,
                        std::string_view aNext,
                        instant aNow);
  std::string GetRequestId(const http_request& aRequest) const;
  void LogLoad(instant aNow);
  /** Counts and logs a request that was refused before it was read completely. */
  void RecordRejected(unsigned aStatus);
  void RefreshGauges();
  /**
   * Records what the end of an attempt says about a crash of its backend server.
   *
   * @param aEnd empty when this VM ended the attempt
   */
  void RecordRun(const exchange& aExchange,
                 std::optional<channel_end> aEnd,
                 attempt_outcome aOutcome);
  /** Finds out whether the backend server of a request that lost its connection has crashed. */
  void CheckCrash(const exchange& aExchange, const digest& aFingerprint);
  void LogCrash(const backend_crash& aCrash, std::string_view aEvidence);
  digest ComputeFingerprint(const http_request& aRequest, const workspace_name& aWorkspace) const;
  void HandleReadyCall(const std::shared_ptr<inbound_request>& aRequest);
  void ScheduleTick();
  void Tick();
  void WaitForSignal();
  void StartStopping();
  void CheckStop(instant aNow);
  /** @return true unless the process ends before the request may end */
  bool MayTake(const admission_ticket& aTicket, instant aNow) const;
  /** Answers all requests that are still open when the process is about to end. */
  void AnswerAll(instant aNow);

  entry_gateway_settings mSettings;
  std::unique_ptr<wire_dialect> mDialect;
  header_names mHeaderNames;
  std::shared_ptr<memory_budget> mBudget;
  boost::asio::io_context mIo{ 1 };
  event_log mLog;
  entry_steering mSteering;
  backend_connector mConnector;
  /** Connections to other entry VMs. */
  backend_connector mRelayConnector;
  std::shared_ptr<http_session_context> mCallerContext;
  http_listener mCallerListener;
  http_listener mReadyListener;
  std::shared_ptr<http_session_context> mRelayContext;
  http_listener mRelayListener;
  gateway_metrics mMetrics;
  http_listener mMetricsListener;
  fleet_bus mBus;
  control_subscription mSubscription;
  boost::asio::signal_set mSignals;
  boost::asio::steady_timer mTimer;
  std::set<exchange_ptr> mExchanges;
  /** Requests that lost the connection to a backend server whose crash check is pending. */
  std::map<server_name, backend_crash> mCrashChecks;
  thread_load mLoad;
  /** Time for which the timer is set; empty before the first tick. */
  std::optional<instant> mTickDueAt;
  instant mNextHousekeepingAt;
  /** Set by the stop signal. */
  std::optional<stop_schedule> mStop;
  std::uint64_t mUnreadableStatements = 0;
  std::uint64_t mRejectedRequests = 0;
};

} // namespace citronpulley

#endif
