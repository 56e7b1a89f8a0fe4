#ifndef CITRONPULLEY_GATEWAY_CONTROL_GATEWAY_H
#define CITRONPULLEY_GATEWAY_CONTROL_GATEWAY_H

#include "citronpulley/fleet/fleet_control.h"
#include "citronpulley/gateway/disk_writer.h"
#include "citronpulley/gateway/event_log.h"
#include "citronpulley/gateway/fleet_bus.h"
#include "citronpulley/gateway/gateway_metrics.h"
#include "citronpulley/gateway/http_listener.h"
#include "citronpulley/gateway/parsed_config_cache.h"
#include "citronpulley/gateway/thread_load.h"
#include "citronpulley/gateway/wire_dialect.h"
#include "citronpulley/storage/posix_file_system.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace citronpulley {

/** Settings of a control VM process. */
struct control_gateway_settings
{
  std::string mName;
  fleet_control_settings mControl;
  /** `IP:port` of the listener for operators and backend servers. */
  std::string mControlAddress;
  /** `IP:port` of the listener for callers that look up entry VMs. */
  std::string mDirectoryAddress;
  /** `IP:port` of the metrics endpoint; empty disables it. */
  std::string mMetricsAddress;
  std::string mDataFolder;
  /** True only for the first start of a whole deployment: the group is then bootstrapped. */
  bool mIsFirstStart = false;
};

/**
 * Control VM process in direct steering. Serves operators, backend servers and callers that look up
 * entry VMs. One thread runs all decisions and connections; a second one writes to the disk.
 */
class control_gateway
{
public:
  static constexpr microseconds kTick{ 25'000 };
  /** Time for which callers may cache the addresses of entry VMs. */
  static constexpr microseconds kEntryVmListTtl{ 2'000'000 };
  /** With at least this many entry VMs in the caller's zone, no others are listed. */
  static constexpr std::size_t kMinEntryVmsInZone = 2;
  static constexpr std::size_t kMaxListedEntryVms = 64;
  /** Largest request body; the configurations that operators send are the largest. */
  static constexpr std::uint64_t kMaxBodyBytes = 32UL * 1024 * 1024;

  control_gateway(control_gateway_settings aSettings, std::unique_ptr<wire_dialect> aDialect);
  ~control_gateway();
  control_gateway(const control_gateway&) = delete;
  control_gateway& operator=(const control_gateway&) = delete;

  /**
   * Opens the data folder and the listeners and runs until SIGTERM or SIGINT.
   *
   * @return an error when the data folder or a listener cannot be opened
   */
  status Run();

private:
  using request_ptr = std::shared_ptr<inbound_request>;

  status OpenStorage();
  void HandleRequest(const request_ptr& aRequest);
  void HandleCall(const request_ptr& aRequest, const put_config_call& aCall);
  void HandleCall(const request_ptr& aRequest, const get_config_call& aCall);
  void HandleCall(const request_ptr& aRequest, const evacuation_call& aCall);
  void HandleCall(const request_ptr& aRequest, const announcement_call& aCall);
  void HandleCall(const request_ptr& aRequest, const departure_call& aCall);
  void HandleCall(const request_ptr& aRequest, const resolve_call& aCall);
  void Submit(const request_ptr& aRequest, const fleet_command& aCommand);
  /**
   * If this VM cannot accept commands, responds with a redirect to the leader, or with 503 when
   * none is known or this VM is itself the leader.
   *
   * @return true when the request was answered
   */
  bool RedirectToLeader(const request_ptr& aRequest);
  void RespondError(const request_ptr& aRequest, unsigned aStatus, std::string_view aMessage);
  void Respond(const request_ptr& aRequest, const http_response& aResponse);
  void ReopenStorage();
  void RefreshGauges();
  void Execute(fleet_actions& aActions);
  void ReceiveMessage(const fleet_message& aMessage, const fleet_bus::send_reply& aReply);
  /** Logs how long an accepted or failed order of an operator or a backend server took. */
  void LogOrder(const inbound_request& aRequest, std::optional<fleet_outcome> aOutcome);
  /** Counts and logs a call that was refused before it was read completely. */
  void RecordRejected(unsigned aStatus);
  void LogLoad(instant aNow);
  void Tick();
  void WaitForSignal();

  control_gateway_settings mSettings;
  std::unique_ptr<wire_dialect> mDialect;
  parsed_config_cache mParsedConfigs;
  boost::asio::io_context mIo{ 1 };
  event_log mLog;
  posix_file_system mFileSystem;
  member_storage mStorage;
  std::unique_ptr<fleet_control> mControl;
  std::unique_ptr<disk_writer> mDiskWriter;
  std::shared_ptr<http_session_context> mSessionContext;
  http_listener mControlListener;
  http_listener mDirectoryListener;
  gateway_metrics mMetrics;
  http_listener mMetricsListener;
  fleet_bus mBus;
  boost::asio::signal_set mSignals;
  boost::asio::steady_timer mTimer;
  thread_load mLoad;
  std::uint64_t mRejectedRequests = 0;
  /** Time for which the timer is set; empty before the first tick. */
  std::optional<instant> mTickDueAt;
  instant mNextHousekeepingAt;
  std::optional<instant> mStopAt;
};

} // namespace citronpulley

#endif
