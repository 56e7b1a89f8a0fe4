#ifndef CITRONPULLEY_FLEET_FLEET_CONTROL_H
#define CITRONPULLEY_FLEET_FLEET_CONTROL_H

#include "citronpulley/consensus/consensus_group.h"
#include "citronpulley/fleet/backend_health_table.h"
#include "citronpulley/fleet/backend_registry.h"
#include "citronpulley/fleet/entry_registry.h"
#include "citronpulley/fleet/fleet_message.h"
#include "citronpulley/fleet/fleet_state.h"
#include "citronpulley/fleet/workspace_ledger.h"

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

/** Something that changed what the process believes, for the log. */
struct fleet_event
{
  std::string mName;
  std::vector<std::pair<std::string, std::string>> mDetails;
};

/** Action of a control VM. Batches are stored in order and then reported. */
using fleet_action = std::variant<send_fleet_message, storage_batch, fleet_event>;
using fleet_actions = std::vector<fleet_action>;

/** Fixed values of a control VM. */
struct fleet_control_settings
{
  vm_name mSelf;
  /** Control VMs that were known when the settings were written. */
  std::vector<vm_name> mSeeds;
  /** Time from the proof of an update for which an entry VM uses keys and rates. */
  microseconds mLease{ 4'000'000 };
  quota_bounds mQuota;
};

/** Reads a text of the configuration; it fails for texts that are invalid as a whole. */
using config_reader = std::function<result<traffic_config>(std::string_view)>;

/**
 * Forms a new group, if this VM is the one to do it: the first seed, at the first start of the
 * deployment, with an empty folder.
 *
 * @return the batch to store before the member starts, or nothing
 */
std::optional<storage_batch> BootstrapGroup(const fleet_control_settings& aSettings,
                                            const recovered_member& aRecovered,
                                            std::uint64_t aGroup);

/**
 * All decisions of a control VM in direct steering: the replicated state, the lists of backend
 * servers and entry VMs, and the updates for entry VMs. Pure and not thread-safe.
 */
class fleet_control
{
public:
  static constexpr microseconds kContactInterval{ 300'000 };
  static constexpr microseconds kForwardInterval{ 100'000 };
  static constexpr microseconds kDirectoryInterval{ 400'000 };
  /** Voters of the largest group: four copies of seven survive the loss of three. */
  static constexpr std::size_t kMaxVoters = 7;
  /** Silence after which a member is replaced by a learner. */
  static constexpr microseconds kRemoveAfter{ 6'000'000 };
  /** Log entries and bytes after which the log is replaced by a snapshot. */
  static constexpr std::size_t kSnapshotEntries = 400;
  static constexpr std::size_t kSnapshotBytes = 1'000'000;
  /** Crashes after which a request is refused. */
  static constexpr std::size_t kQuarantineCrashes = 3;
  static constexpr microseconds kQuarantineFor{ 120'000'000 };

  /** Gets the outcome, or nothing while it is unknown. */
  using on_outcome = std::function<void(std::optional<fleet_outcome>)>;
  /** Gets true once the state holds all that was acknowledged before the read began. */
  using on_read = std::function<void(bool)>;

  fleet_control(fleet_control_settings aSettings,
                config_reader aReader,
                recovered_member aRecovered,
                std::uint64_t aSeed,
                instant aNow);

  /** Does what is due; to be called every few milliseconds. */
  void Tick(instant aNow, fleet_actions& aActions);

  /** Takes a message of another process. */
  void Receive(const fleet_message& aMessage,
               instant aNow,
               const std::function<void(fleet_message)>& aReply,
               fleet_actions& aActions);

  /** Notes that all batches up to a number are durable. */
  void HandleStored(std::uint64_t aNumber, instant aNow, fleet_actions& aActions);

  /** Ends this VM's part in the group after a write or sync failed. */
  void HandleStorageFailure() noexcept { mGroup.HandleStorageFailure(); }

  /** Proposes a command; its callback may run at once. Only a settled leader proposes. */
  void Submit(const fleet_command& aCommand,
              on_outcome aOnOutcome,
              instant aNow,
              fleet_actions& aActions);

  /** Confirms a read at the leader. */
  void Read(on_read aOnRead, instant aNow, fleet_actions& aActions);

  /** Takes an announcement of a backend server that is not leaving. */
  void HandleAnnouncement(const backend_record& aRecord, instant aNow);

  /** @return the latest known start of a backend server, or 0 */
  std::int64_t GetStartedAtMs(const std::string& aBackend) const
  {
    return mBackends.GetStartedAtMs(aBackend);
  }

  /** @return true while this VM leads a group with enough voters to accept changes */
  bool CanAccept(instant aNow) const noexcept;

  bool IsLeader() const noexcept { return mGroup.IsLeader(); }
  const vm_name& GetLeader() const noexcept { return mGroup.GetLeaderVm(); }
  const fleet_state& GetState() const noexcept { return mState; }
  const consensus_group& GetGroup() const noexcept { return mGroup; }

  /** @return entry VMs that take callers, as far as this VM knows */
  std::vector<entry_location> ListEntryVms(instant aNow) const;

private:
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
  void FinishRead(std::uint64_t aRead, bool aIsConfirmed);
  void CompactIfNeeded(instant aNow, fleet_actions& aActions);
  void HandleApplied(const fleet_command& aCommand,
                     fleet_outcome aOutcome,
                     instant aNow,
                     fleet_actions& aActions);
  void HandleLeaderChange(instant aNow, fleet_actions& aActions);
  void RefreshConfig(instant aNow, fleet_actions& aActions);
  void AddControlVms(const std::vector<vm_name>& aVms);
  contact_reply GetContacts() const;
  void RequestContacts(instant aNow, fleet_actions& aActions);
  void ForwardAnnouncements(instant aNow, fleet_actions& aActions);
  void SendDirectory(instant aNow, fleet_actions& aActions);
  void RecordCrashes(const entry_report& aReport, instant aNow, fleet_actions& aActions);
  void HandleObservations(const entry_report& aReport, instant aNow);
  /** Tells the log which backend servers are suspected, and which no longer. */
  void UpdateSuspects(const std::vector<backend_health>& aSuspects, fleet_actions& aActions);
  void FillPermits(const entry_report& aReport, instant aNow, entry_update& aUpdate);
  fleet_message HandleReport(const entry_report& aReport, instant aNow, fleet_actions& aActions);

  fleet_control_settings mSettings;
  config_reader mReader;
  fleet_state mState;
  /** Configuration in force, decoded; empty before the first one. */
  traffic_config mConfig;
  /** Compressed once for all entry VMs: their links are narrow, and each copy costs time here. */
  std::string mCompressedText;
  consensus_group mGroup;
  std::uint64_t mEpoch;
  backend_registry mBackends;
  entry_registry mEntries;
  workspace_ledger mLedger;
  backend_health_table mHealth;
  /** Backend servers that the log names as suspected. */
  std::set<std::string> mSuspects;
  std::vector<vm_name> mControlVms;
  std::map<log_index, pending_command> mPending;
  std::map<std::uint64_t, on_read> mReads;
  std::uint64_t mLastRead = 0;
  std::size_t mBytesSinceSnapshot = 0;
  std::map<digest, crash_record> mCrashes;
  std::vector<backend_record> mAnnouncementsToForward;
  std::vector<entry_location> mListedEntryVms;
  vm_name mLastLeader;
  instant mNextContactAt;
  instant mNextForwardAt;
  instant mNextDirectoryAt;
};

} // namespace citronpulley

#endif
