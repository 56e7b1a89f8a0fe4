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
 * Replicated state of a control VM: proposes commands to the group, applies what is committed and
 * confirms reads. Pure and not thread-safe.
 */
class control_replica
{
public:
  /** Log entries after which the log is replaced by a snapshot. */
  static constexpr std::size_t kSnapshotEntries = 10'000;

  /** Gets the outcome, or null when this VM ceased to lead before it learned the outcome. */
  using on_decided = std::function<void(const apply_result* aOutcome, node_actions& aActions)>;
  /** Gets true when the applied state holds all that was committed before the read began. */
  using on_read = std::function<void(bool aIsConfirmed, node_actions& aActions)>;

  /** See consensus_group::consensus_group(). */
  control_replica(group_settings aSettings,
                  recovered_member aRecovered,
                  std::uint64_t aSeed,
                  instant aNow);

  /** Does what is due. */
  void Tick(instant aNow, node_actions& aActions);

  /** Takes a message of another member. */
  void Receive(const peer_message_received& aMessage, instant aNow, node_actions& aActions);

  /** Takes the result of the disk. */
  void TakeStored(const batch_stored& aStored, instant aNow, node_actions& aActions);

  /** Proposes a command; the callback gets null at once when this VM does not lead. */
  void Propose(command_content aContent,
               current_time aNow,
               on_decided aOnDecided,
               node_actions& aActions);

  /** Confirms a read. Reads that arrive while a round is on its way share the next one. */
  void Read(instant aNow, on_read aOnRead, node_actions& aActions);

  const control_state& GetState() const noexcept { return mState; }
  const consensus_group& GetGroup() const noexcept { return mGroup; }

private:
  struct pending_proposal
  {
    term_number mTerm = 0;
    on_decided mOnDecided;
  };

  void Do(group_actions& aGroupActions, instant aNow, node_actions& aActions);
  void DoOne(send_to_member& aSend, node_actions& aActions);
  void DoOne(storage_batch& aBatch, node_actions& aActions);
  void DoOne(apply_entry& aApply, node_actions& aActions);
  void DoOne(install_state& aInstall, node_actions& aActions);
  void DoOne(read_ready& aReady, node_actions& aActions);
  void DoOne(read_failed& aFailed, node_actions& aActions);
  void FinishReads(std::uint64_t aRead, bool aIsConfirmed, node_actions& aActions);
  void BeginReads(instant aNow, node_actions& aActions);
  void FailProposals(node_actions& aActions);

  control_state mState;
  consensus_group mGroup;
  std::map<log_index, pending_proposal> mProposals;
  std::uint64_t mLastRead = 0;
  /** Reads of the round on its way, and those that wait for the next one. */
  std::vector<on_read> mRunningReads;
  std::vector<on_read> mWaitingReads;
};

} // namespace citronpulley

#endif
