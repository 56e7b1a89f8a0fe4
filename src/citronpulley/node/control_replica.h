#ifndef CITRONPULLEY_NODE_CONTROL_REPLICA_H
#define CITRONPULLEY_NODE_CONTROL_REPLICA_H

#include "citronpulley/consensus/consensus_group.h"
#include "citronpulley/node/node_actions.h"
#include "citronpulley/node/node_events.h"
#include "citronpulley/state/control_state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace citronpulley {

/**
 * Replicated state machine of a control VM: proposes commands to the consensus group, applies
 * committed entries and confirms reads. It does no I/O and reads no clock. Not thread-safe.
 */
class control_replica
{
public:
  /** Number of log entries above which the log is replaced by a snapshot. */
  static constexpr std::size_t kSnapshotEntries = 10'000;

  /**
   * Called with the outcome of a proposal. The outcome is null when it is unknown or the command
   * was not proposed, because this VM does not lead or lost the leadership, and when the committed
   * command could not be decoded.
   */
  using on_decided = std::function<void(const apply_result* aOutcome, node_actions& aActions)>;
  /**
   * Called at the end of a read; `aIsConfirmed` is true when the applied state holds all that was
   * committed before the read started.
   */
  using on_read = std::function<void(bool aIsConfirmed, node_actions& aActions)>;

  /** See consensus_group::consensus_group(). */
  control_replica(group_settings aSettings,
                  recovered_member aRecovered,
                  std::uint64_t aSeed,
                  instant aNow);

  /** Carries out timed work such as elections, heartbeats and timeouts. */
  void Tick(instant aNow, node_actions& aActions);

  /** Handles a consensus message of another member. */
  void Receive(const peer_message_received& aMessage, instant aNow, node_actions& aActions);

  /** Handles the report that batches were stored or that storing failed. */
  void HandleStored(const batch_stored& aStored, instant aNow, node_actions& aActions);

  /**
   * Proposes a command to the group.
   *
   * @param aContent command
   * @param aNow current time; its wall-clock part is stored as the time of the command
   * @param aOnDecided called with the outcome; at once with null when this VM does not lead
   * @param aActions receives the actions
   */
  void Propose(command_content aContent,
               current_time aNow,
               on_decided aOnDecided,
               node_actions& aActions);

  /**
   * Requests a linearizable read of the applied state. Reads that arrive while a confirmation round
   * is in progress share the next round.
   */
  void Read(instant aNow, on_read aOnRead, node_actions& aActions);

  /** @return the replicated state as far as this VM has applied it */
  const control_state& GetState() const noexcept { return mState; }
  const consensus_group& GetGroup() const noexcept { return mGroup; }

private:
  struct pending_proposal
  {
    term_number mTerm = 0;
    on_decided mOnDecided;
  };

  void Execute(group_actions& aGroupActions, instant aNow, node_actions& aActions);
  void Execute(send_to_member& aSend, node_actions& aActions);
  void Execute(storage_batch& aBatch, node_actions& aActions);
  void Execute(apply_entry& aApply, node_actions& aActions);
  void Execute(install_state& aInstall, node_actions& aActions);
  void Execute(read_ready& aReady, node_actions& aActions);
  void Execute(read_failed& aFailed, node_actions& aActions);
  void Execute(message_refused& aRefused, node_actions& aActions);
  void FinishReads(std::uint64_t aRead, bool aIsConfirmed, node_actions& aActions);
  void StartReads(instant aNow, node_actions& aActions);
  /** Reports an unknown outcome to the callbacks of all pending proposals. */
  void FailProposals(node_actions& aActions);

  control_state mState;
  consensus_group mGroup;
  /** Undecided proposals of this VM by the index of their log entry. */
  std::map<log_index, pending_proposal> mProposals;
  std::uint64_t mLastRead = 0;
  /** Reads that the confirmation round in progress covers. */
  std::vector<on_read> mCurrentReads;
  /** Reads that wait for the next round. */
  std::vector<on_read> mWaitingReads;
};

} // namespace citronpulley

#endif
