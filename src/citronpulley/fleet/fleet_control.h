#ifndef CITRONPULLEY_FLEET_FLEET_CONTROL_H
#define CITRONPULLEY_FLEET_FLEET_CONTROL_H

#include "citronpulley/consensus/consensus_group.h"
#include "citronpulley/fleet/backend_health_table.h"
#include "citronpulley/fleet/backend_limit_ledger.h"
#include "citronpulley/fleet/backend_registry.h"
#include "citronpulley/fleet/backend_status_table.h"
#include "citronpulley/fleet/entry_registry.h"
#include "citronpulley/fleet/fleet_message.h"
#include "citronpulley/fleet/fleet_state.h"
#include "citronpulley/fleet/workspace_ledger.h"
#include "citronpulley/steering/config_history.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace citronpulley {

/** Sends a message to a VM. */
struct send_fleet_message
{
  vm_name mVm;
  fleet_message mMessage;
};

/** Event for the log, such as a change of the leader or of the configuration. */
struct fleet_event
{
  std::string mName;
  std::vector<std::pair<std::string, std::string>> mDetails;
};

/**
 * Reads the data folder again after a failed write; the outcome is passed to HandleReopened(). All
 * storage batches before it are discarded.
 */
struct reopen_storage
{};

/**
 * Action that the caller of fleet_control carries out. Storage batches are stored in order and then
 * confirmed with HandleStored().
 */
using fleet_action = std::variant<send_fleet_message, storage_batch, fleet_event, reopen_storage>;
using fleet_actions = std::vector<fleet_action>;

/** Settings of the control VM that do not change while it runs. */
struct fleet_control_settings
{
  vm_name mSelf;
  /** Control VMs listed in the settings file. */
  std::vector<vm_name> mSeeds;
  /**
   * Time after the leader's proof of leadership for which an entry VM uses API keys and rates of an
   * update.
   */
  microseconds mLease{ 4'000'000 };
  quota_bounds mQuota;
};

/** Parses and validates the text of a configuration. */
using config_reader = std::function<result<traffic_config>(std::string_view)>;

/**
 * Bootstraps a new control group if this VM is responsible for it: it has the smallest name of the
 * seeds and no stored state. Call it only at the first start of the deployment.
 *
 * @param aGroup identifier of the new group
 * @return the batch to store before the member starts, or nothing when this VM does not bootstrap
 */
std::optional<storage_batch> BootstrapGroup(const fleet_control_settings& aSettings,
                                            const recovered_member& aRecovered,
                                            std::uint64_t aGroup);

/**
 * Makes all decisions of a control VM in direct steering. Keeps the replicated state and the
 * registries of backend servers and entry VMs, and makes the updates for entry VMs. Does no input
 * or output. Not thread-safe.
 */
class fleet_control
{
public:
  /** Interval at which the other control VMs are asked for the leader while it is unknown. */
  static constexpr microseconds kContactInterval{ 300'000 };
  /** Time after a failed write, or a failed try to continue, until the next try. */
  static constexpr microseconds kReopenInterval{ 500'000 };
  /** Minimum time between two batches of announcements forwarded to the leader. */
  static constexpr microseconds kForwardInterval{ 100'000 };
  /** Maximum age of an announcement that is forwarded to the leader. */
  static constexpr microseconds kMaxForwardAge{ 6'000'000 };
  /**
   * Time from which a new leader knows the latest process start of each backend server: three
   * announcement intervals, since one may announce to a VM that is paused until a call fails.
   */
  static constexpr microseconds kStartsKnownAfter{ 4'500'000 };
  /**
   * Time after the departure of an unknown process start in which announcements of the backend
   * server are taken for earlier ones: the age at which they are forwarded at most, and two seconds
   * for the way. A later process under the same identity is registered that much later.
   */
  static constexpr microseconds kLateAnnouncementTime = kMaxForwardAge + microseconds(2'000'000);
  /** Interval at which the leader sends its directory to the other control VMs. */
  static constexpr microseconds kDirectoryInterval{ 400'000 };
  /** Maximum number of voters; a group of seven survives the loss of three. */
  static constexpr std::size_t kMaxVoters = 7;
  /** Time without contact after which a learner is removed. */
  static constexpr microseconds kRemoveAfter{ 6'000'000 };
  /**
   * Time without contact after which a learner takes the place of a voter. With the election of a
   * leader and the changes of the membership it stays below the time after which the platform
   * counts the loss of a VM as mended, so that losses do not add up.
   */
  static constexpr microseconds kReplaceVoterAfter{ 2'000'000 };
  /** Number of log entries, and of bytes, after which the log is compacted into a snapshot. */
  static constexpr std::size_t kSnapshotEntries = 400;
  static constexpr std::size_t kSnapshotBytes = 1'000'000;
  /** Number of crashes of backend servers after which a request is quarantined. */
  static constexpr std::size_t kQuarantineCrashes = 3;
  /** Time after its last crash for which a request stays quarantined. */
  static constexpr microseconds kQuarantineFor{ 120'000'000 };

  /** Callback with the outcome of a command, or nothing when the outcome is unknown. */
  using on_outcome = std::function<void(std::optional<fleet_outcome>)>;
  /**
   * Callback with true once the state contains every change acknowledged before the read started,
   * or false when the read failed.
   */
  using on_read = std::function<void(bool)>;

  fleet_control(fleet_control_settings aSettings,
                config_reader aReader,
                recovered_member aRecovered,
                std::uint64_t aSeed,
                instant aNow);

  /** Performs timed work; call it every few milliseconds. */
  void Tick(instant aNow, fleet_actions& aActions);

  /**
   * Handles a message from another process.
   *
   * @param aReply sends a reply to the sender
   */
  void Receive(const fleet_message& aMessage,
               instant aNow,
               const std::function<void(fleet_message)>& aReply,
               fleet_actions& aActions);

  /** Handles the confirmation that all storage batches up to a number are durable. */
  void HandleStored(std::uint64_t aNumber, instant aNow, fleet_actions& aActions);

  /**
   * Stops the participation of this VM in the group after a write or sync failed, until its data
   * folder could be read and written again.
   */
  void HandleStorageFailure(instant aNow, fleet_actions& aActions);

  /**
   * Continues as a member of the group with the content of the data folder, as after a restart of
   * the process, or tries again later.
   *
   * @param aSeed random number that differs in each call
   */
  void HandleReopened(result<recovered_member> aRecovered,
                      std::uint64_t aSeed,
                      instant aNow,
                      fleet_actions& aActions);

  /**
   * Proposes a command. The callback may run before this function returns; it gets nothing if
   * CanAccept() is false.
   */
  void Submit(const fleet_command& aCommand,
              on_outcome aOnOutcome,
              instant aNow,
              fleet_actions& aActions);

  /** Starts a linearizable read; it succeeds only on the leader. */
  void Read(on_read aOnRead, instant aNow, fleet_actions& aActions);

  /**
   * Handles an announcement of a backend server that accepts requests. It is ignored if that
   * process start, or a later one, has deregistered, or if an unknown one did a short time ago.
   */
  void HandleAnnouncement(const backend_record& aRecord, instant aNow);

  /**
   * Finds the process start that a departure without one stands for: the latest one that is
   * registered or has departed. It may be an earlier one while this VM has not led for long.
   *
   * @return process start in Unix milliseconds, or 0 when it is not known for sure
   */
  std::int64_t FindDepartingStartMs(const std::string& aBackend, instant aNow) const;

  /** @return true when this VM would list the backend server to entry VMs if it led */
  bool IsListed(const std::string& aBackend) const { return mBackends.Find(aBackend) != nullptr; }

  /**
   * @return true while this VM is the confirmed leader of a group with enough voters to accept
   * changes
   */
  bool CanAccept(instant aNow) const noexcept;

  bool IsLeader() const noexcept { return mGroup.IsLeader(); }
  /** @return the leader, or an empty name when neither this VM nor another one knows it */
  const vm_name& GetLeader(instant aNow) const noexcept;
  const fleet_state& GetState() const noexcept { return mState; }
  const consensus_group& GetGroup() const noexcept { return mGroup; }

  /** @return number of warnings about the configuration in force */
  std::size_t CountConfigWarnings() const noexcept { return GetConfig().mWarnings.size(); }

  /** @return entry VMs that accept requests; on a follower as the leader reported them last */
  std::vector<entry_location> ListEntryVms(instant aNow) const;

private:
  static fleet_state RestoreState(const recovered_member& aRecovered);
  static group_settings MakeGroupSettings(const fleet_control_settings& aSettings);

  struct pending_command
  {
    term_number mTerm = 0;
    on_outcome mOnOutcome;
  };

  struct crash_record
  {
    std::set<std::string> mBackends;
    instant mLastCrashAt;
  };

  void Execute(group_actions& aGroupActions, instant aNow, fleet_actions& aActions);
  void Execute(send_to_member& aSend, instant aNow, fleet_actions& aActions);
  void Execute(storage_batch& aBatch, instant aNow, fleet_actions& aActions);
  void Execute(apply_entry& aApply, instant aNow, fleet_actions& aActions);
  void Execute(install_state& aInstall, instant aNow, fleet_actions& aActions);
  void Execute(read_ready& aReady, instant aNow, fleet_actions& aActions);
  void Execute(read_failed& aFailed, instant aNow, fleet_actions& aActions);
  void Execute(message_refused& aRefused, instant aNow, fleet_actions& aActions);
  /** Ends the commands that this VM proposed, whose outcome it will not learn. */
  void AbandonCommands();
  /** Stops after a failure that leaves the content of the disk unknown. */
  void FailStorage(instant aNow, fleet_actions& aActions);
  void ReopenStorageIfDue(instant aNow, fleet_actions& aActions);
  void FinishRead(std::uint64_t aRead, bool aIsConfirmed);
  const traffic_config& GetConfig() const noexcept { return mConfigs.GetCurrent(); }
  void CompactIfNeeded(instant aNow, fleet_actions& aActions);
  void HandleApplied(const fleet_command& aCommand,
                     fleet_outcome aOutcome,
                     instant aNow,
                     fleet_actions& aActions);
  /** Removes a backend server that left. */
  void HandleDeparture(const record_departure& aDeparture, instant aNow);
  /** Removes what left, after the state was replaced without applying each command. */
  void RemoveDepartedBackends();
  void HandleLeaderChange(instant aNow, fleet_actions& aActions);
  void RefreshConfig(instant aNow, fleet_actions& aActions);
  void AddControlVms(const std::vector<vm_name>& aVms);
  contact_reply GetContacts() const;
  void RequestContacts(instant aNow, fleet_actions& aActions);
  void ForwardAnnouncements(instant aNow, fleet_actions& aActions);
  void HandleContactRequest(instant aNow, const std::function<void(fleet_message)>& aReply);
  void HandleDirectory(const directory_update& aUpdate, instant aNow);
  void SendDirectory(instant aNow, fleet_actions& aActions);
  void RecordCrashes(const entry_report& aReport, instant aNow, fleet_actions& aActions);
  void HandleObservations(const entry_report& aReport, instant aNow);
  /** Logs the backend servers that became suspected and those that no longer are. */
  void UpdateSuspects(const std::vector<backend_health>& aSuspects, fleet_actions& aActions);
  /** Logs limits that began, changed or ended. */
  void LogLimits(const std::vector<backend_limit>& aLimits, fleet_actions& aActions);
  /** Brings the loads and health for entry VMs up to date. */
  void UpdateStatuses(instant aNow, fleet_actions& aActions);
  void FillPermits(const entry_report& aReport, instant aNow, entry_update& aUpdate);
  fleet_message HandleReport(const entry_report& aReport, instant aNow, fleet_actions& aActions);

  fleet_control_settings mSettings;
  config_reader mReader;
  fleet_state mState;
  /** Parsed configuration in force, empty before the first one, and its latest changes. */
  config_history mConfigs;
  consensus_group mGroup;
  std::uint64_t mEpoch;
  backend_registry mBackends;
  entry_registry mEntries;
  workspace_ledger mLedger;
  backend_health_table mHealth;
  backend_status_table mStatuses;
  instant mNextStatusAt;
  backend_limit_ledger mLimits;
  /** Limits that were last logged, by backend server. */
  std::map<std::string, double> mLoggedLimits;
  /** Backend servers that were last logged as suspected. */
  std::set<std::string> mSuspects;
  std::vector<vm_name> mControlVms;
  std::map<log_index, pending_command> mPending;
  std::map<std::uint64_t, on_read> mReads;
  std::uint64_t mLastRead = 0;
  std::size_t mBytesSinceSnapshot = 0;
  std::map<digest, crash_record> mCrashes;
  std::set<std::string> mBackendsToForward;
  /** Backend servers of which an unknown process start left, until it is forgotten. */
  std::map<std::string, instant> mDepartedUntil;
  /** Entry VMs that another control VM listed, and when the leader sent them last. */
  std::vector<entry_location> mListedEntryVms;
  instant mListedAt;
  vm_name mLastLeader;
  /** Time at which this VM began to lead; used while it leads. */
  instant mLeadsSince;
  /** Leader that another control VM named, for a VM that is no working member itself. */
  vm_name mNamedLeader;
  instant mNamedLeaderUntil;
  std::optional<instant> mReopenAt;
  instant mNextContactAt;
  instant mNextForwardAt;
  instant mNextDirectoryAt;
};

} // namespace citronpulley

#endif
