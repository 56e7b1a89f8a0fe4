#ifndef CITRONPULLEY_CONSENSUS_CONSENSUS_GROUP_H
#define CITRONPULLEY_CONSENSUS_CONSENSUS_GROUP_H

#include "citronpulley/base/instant.h"
#include "citronpulley/consensus/group_membership.h"
#include "citronpulley/storage/member_storage.h"
#include "citronpulley/wire/peer_message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace citronpulley {

/** Sends a message to the group member that runs on a VM. */
struct send_to_member
{
  vm_name mVm;
  peer_message mMessage;
};

/**
 * Applies a committed entry to the state machine. Entries arrive in the order of their indexes; one
 * with an empty payload changes nothing.
 */
struct apply_entry
{
  log_entry mEntry;
};

/** Replaces the state machine's content by that of a snapshot received from the leader. */
struct install_state
{
  snapshot_record mSnapshot;
};

/** A read may be served: the applied state holds all entries that were committed before its
 * request. */
struct read_ready
{
  std::uint64_t mRead = 0;
};

/** A read could not be confirmed in time or the leader is unknown; the caller may request it again.
 */
struct read_failed
{
  std::uint64_t mRead = 0;
};

/** A message of a peer was ignored because it contradicts itself or what this member knows. */
struct message_refused
{
  vm_name mSender;
  std::string mReason;
};

/**
 * Action that the caller of a consensus group carries out. Each `storage_batch` must be stored in
 * the order of the batches and then be reported by consensus_group::HandleStored().
 */
using group_action = std::variant<send_to_member,
                                  storage_batch,
                                  apply_entry,
                                  install_state,
                                  read_ready,
                                  read_failed,
                                  message_refused>;
using group_actions = std::vector<group_action>;

/** Settings of a member, fixed for its lifetime except for `mControlVms`. */
struct group_settings
{
  vm_name mSelf;
  /** VMs that may join the group. A VM outside the group sends its join requests to these. */
  std::vector<vm_name> mControlVms;
  microseconds mHeartbeatInterval{ 100'000 };
  /** Time without progress after which a member is sent the entries in flight again. They are lost
   * only with a connection; until they arrive at a slow member, copies make it and the leader
   * slower. */
  microseconds mResendAfter{ 600'000 };
  /** Each election timeout is chosen at random between this time and twice this time. */
  microseconds mElectionTimeout{ 500'000 };
  std::size_t mMaxEntriesPerMessage = 256;
  std::size_t mSnapshotChunkBytes = 256UL * 1024;
  /** Maximum number of voters; further members stay learners until a voter is removed. 0: no limit.
   */
  std::size_t mMaxVoters = 0;
  /** Admits VMs that `mControlVms` does not list, for deployments without a fixed list. */
  bool mAdmitsUnlisted = false;
  /** Time without contact after which the leader removes a learner. If unset, no member is removed
   * for lost contact. */
  std::optional<microseconds> mRemoveAfter;
  /** Time without contact after which the leader removes a voter, if a caught-up learner needs its
   * slot (see `mMaxVoters`); `mRemoveAfter` if unset. A new leader counts it from its election, so
   * it limits how many leaders in a row may be lost. */
  std::optional<microseconds> mReplaceVoterAfter;
};

/**
 * Log index and term of a proposed entry. The proposal has succeeded if the entry applied at this
 * index has this term; an entry of another term there means that the proposal was lost.
 */
struct proposal
{
  log_index mIndex = 0;
  term_number mTerm = 0;
};

/**
 * One member of a Raft group: elections with pre-vote, log replication, read index, snapshots and
 * single-member changes of membership. It does no input or output and reads no clock: each call
 * gets the current time and appends the actions that the caller must carry out. Not thread-safe.
 */
class consensus_group
{
public:
  /** Maximum age of the last confirmed heartbeat round at which a leader may grant rates. */
  static constexpr microseconds kMaxConfirmationAge{ 500'000 };

  /**
   * @param aSettings settings of the member
   * @param aRecovered content of the data folder
   * @param aSeed seed of the election timeouts and read numbers; it must differ in each run
   * @param aNow current time
   */
  consensus_group(group_settings aSettings,
                  recovered_member aRecovered,
                  std::uint64_t aSeed,
                  instant aNow);

  /** Handles elapsed timers: elections, heartbeats, read timeouts and join requests. Call it every
   * few milliseconds. */
  void Tick(instant aNow, group_actions& aActions);

  /**
   * Handles a message of a peer. Messages of other protocols are ignored. So are messages that no
   * correct member sends; the action `message_refused` reports them.
   *
   * @param aSender authenticated VM of the sender
   */
  void Receive(const vm_name& aSender,
               const peer_message& aMessage,
               instant aNow,
               group_actions& aActions);

  /** Records that all batches up to number `aNumber` are durable, and sends the messages that
   * waited for this. */
  void HandleStored(std::uint64_t aNumber, instant aNow, group_actions& aActions);

  /**
   * Stops this member after a failed write or sync. It ignores all further events, because it no
   * longer knows what its disk holds; a new object made from the content of the disk takes its
   * place. All reads fail, and no leader is known.
   */
  void HandleStorageFailure(group_actions& aActions);

  bool IsFailed() const noexcept { return mIsFailed; }

  /** Appends an entry to the log if this member is the leader.
   *
   * @return index and term of the entry, or nothing if this member is not the leader */
  std::optional<proposal> Propose(std::string aPayload, instant aNow, group_actions& aActions);

  /**
   * Requests a linearizable read. A later action `read_ready` or `read_failed` with the same number
   * reports its end.
   *
   * @param aRead number chosen by the caller; unique in this run of the process
   */
  void RequestRead(std::uint64_t aRead, instant aNow, group_actions& aActions);

  /** Replaces the log up to the last applied entry by a snapshot of the applied state. */
  void Compact(std::string aState, group_actions& aActions);

  /** Replaces the list of VMs that may join the group and that get this member's join requests. */
  void SetControlVms(std::vector<vm_name> aControlVms)
  {
    mSettings.mControlVms = std::move(aControlVms);
  }

  bool IsLeader() const noexcept { return mRole == role::Leader; }

  /** @return true if this member is the leader, the first entry of its term is committed, and a
   * majority confirmed a heartbeat round that began less than kMaxConfirmationAge ago */
  bool IsConfirmedLeader(instant aNow) const noexcept;

  /** @return start of the last heartbeat round of this leader that a majority confirmed, or nothing
   */
  std::optional<instant> GetConfirmedAt() const noexcept { return mConfirmedAt; }

  /** @return VM of the leader, or an empty name when it is unknown */
  const vm_name& GetLeaderVm() const noexcept { return mLeaderVm; }

  member_id GetMember() const noexcept { return mSelf; }
  term_number GetTerm() const noexcept { return mVote.mTerm; }
  log_index GetCommitIndex() const noexcept { return mCommitIndex; }
  log_index GetAppliedIndex() const noexcept { return mAppliedIndex; }
  log_index GetLastIndex() const noexcept { return mBaseIndex + mEntries.size(); }
  std::size_t CountEntries() const noexcept { return mEntries.size(); }
  /** @return number of messages that were reported as `message_refused` */
  std::uint64_t CountRefusedMessages() const noexcept { return mRefusedMessages; }

  /** @return the latest membership in the log, committed or not */
  const group_membership& GetMembership() const noexcept;

private:
  enum class role : std::uint8_t
  {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
  };

  /** Replication progress of another member, as the leader tracks it. */
  struct member_progress
  {
    log_index mNext = 1;
    log_index mMatch = 0;
    std::uint64_t mRound = 0;
    instant mLastSeenAt;
    instant mAdvancedAt;
    /** While true, no entries are sent: the index up to which the member's log matches is not known
     * yet. */
    bool mIsProbing = true;
    std::uint64_t mSnapshotOffset = 0;
    log_index mSnapshotIndex = 0;
  };

  struct pending_batch
  {
    std::uint64_t mNumber = 0;
    term_number mTerm = 0;
    log_index mLastIndex = 0;
  };

  struct deferred_message
  {
    std::uint64_t mBatch = 0;
    vm_name mVm;
    peer_message mMessage;
  };

  /** Read that waits for the confirmation of its read index, or for the applied index to reach it.
   */
  struct pending_read
  {
    std::uint64_t mRead = 0;
    /** Follower that requested the read index from this leader; 0 for a read of this VM. */
    member_id mRequester;
    /** Heartbeat round that confirms the read; 0 while it waits for the next round or, at a
     * follower, for the leader's reply. */
    std::uint64_t mRound = 0;
    std::optional<log_index> mIndex;
    bool mIsConfirmed = false;
    instant mDeadline;
    /** Number of the read index request to the leader. */
    std::uint64_t mNumber = 0;
  };

  struct indexed_membership
  {
    log_index mIndex = 0;
    group_membership mMembership;
  };

  // Log and storage.
  term_number GetEntryTerm(log_index aIndex) const noexcept;
  const log_entry& GetEntry(log_index aIndex) const { return mEntries[aIndex - mBaseIndex - 1]; }
  void AppendEntries(std::vector<log_entry> aEntries, group_actions& aActions);
  void RemoveEntriesFrom(log_index aIndex);
  void Persist(storage_batch aBatch, group_actions& aActions);
  void SaveVote(term_number aTerm, member_id aVotedFor, group_actions& aActions);
  void SendDeferred(const vm_name& aVm, peer_message aMessage, group_actions& aActions);
  bool IsTermStored() const noexcept { return mStoredTerm == mVote.mTerm; }
  log_index FindConflictHint(log_index aPrevious) const noexcept;
  void CommitTo(log_index aIndex, group_actions& aActions);
  void AddMembership(const log_entry& aEntry);

  // Validation: each function returns the reason for which no correct member sends the message.
  static std::optional<std::string> FindFault(const vote_request& aRequest);
  static std::optional<std::string> FindFault(const vote_reply& aReply);
  static std::optional<std::string> FindFault(const append_request& aRequest);
  static std::optional<std::string> FindFault(const snapshot_chunk& aChunk);
  static std::optional<std::string> FindFault(const join_request& aRequest);
  static std::optional<std::string> FindFault(const read_index_request&) { return std::nullopt; }
  static std::optional<std::string> FindFault(const read_index_reply&) { return std::nullopt; }
  std::optional<std::string> FindFault(const append_reply& aReply) const;
  std::optional<std::string> FindFault(const snapshot_ack& aAck) const;
  std::optional<std::string> FindRoundFault(std::uint64_t aRound) const;
  /** @return true if the sender claims to lead a term that has another leader */
  bool IsSecondLeader(term_number aTerm, member_id aLeader) const noexcept;
  /** @return index of the first entry that contradicts a committed or verified one */
  std::optional<log_index> FindCommittedConflict(const append_request& aRequest) const;
  void RefuseMessage(std::string aReason, group_actions& aActions);

  // Elections.
  void BecomeFollower(term_number aTerm, group_actions& aActions);
  void StartPreVote(instant aNow, group_actions& aActions);
  void StartElection(instant aNow, group_actions& aActions);
  void BecomeLeader(instant aNow, group_actions& aActions);
  void CountVotes(instant aNow, group_actions& aActions);
  void RequestVotes(bool aIsPreVote, term_number aTerm, group_actions& aActions);
  void ResetElectionTimer(instant aNow);
  bool IsUpToDate(const vote_request& aRequest) const noexcept;
  bool HasLeaderContact(instant aNow) const noexcept;
  void HandleMessage(const vote_request& aRequest, instant aNow, group_actions& aActions);
  void HandleMessage(const vote_reply& aReply, instant aNow, group_actions& aActions);

  // Replication.
  void StartRound(instant aNow, group_actions& aActions);
  void SendEntries(const group_member& aMember, bool aAlways, group_actions& aActions);
  void SendSnapshot(const group_member& aMember,
                    member_progress& aProgress,
                    group_actions& aActions);
  void SendToOthers(bool aAlways, group_actions& aActions);
  void AdvanceCommit(group_actions& aActions);
  void ReplyToLeader(bool aIsAccepted, log_index aMatch, group_actions& aActions);
  void ConfirmMatch(group_actions& aActions);
  std::uint64_t FindMajorityValue(std::uint64_t aOwn, std::uint64_t member_progress::*aField) const;
  bool AcceptLeader(term_number aTerm,
                    member_id aLeader,
                    std::uint64_t aGroup,
                    std::uint64_t aRound,
                    instant aNow,
                    group_actions& aActions);
  member_progress* RecordReply(member_id aMember,
                               term_number aTerm,
                               std::uint64_t aRound,
                               instant aNow,
                               group_actions& aActions);
  void FinishEvent(instant aNow, group_actions& aActions);
  void HandleMessage(const append_request& aRequest, instant aNow, group_actions& aActions);
  void HandleMessage(const append_reply& aReply, instant aNow, group_actions& aActions);
  void HandleMessage(const snapshot_chunk& aChunk, instant aNow, group_actions& aActions);
  void HandleMessage(const snapshot_ack& aAck, instant aNow, group_actions& aActions);
  void InstallSnapshot(snapshot_record aSnapshot, group_actions& aActions);
  bool HasQuorumSince(instant aTime) const noexcept;

  // Reads.
  void ConfirmRounds();
  void FinishReads(instant aNow, group_actions& aActions);
  void FailReads(group_actions& aActions);
  void HandleMessage(const read_index_request& aRequest, instant aNow, group_actions& aActions);
  void HandleMessage(const read_index_reply& aReply, instant aNow, group_actions& aActions);

  // Membership.
  bool CanChangeMembership() const noexcept;
  void ProposeMembership(const group_membership& aMembership,
                         instant aNow,
                         group_actions& aActions);
  void RepairMembership(instant aNow, group_actions& aActions);
  const group_member* FindUnreachableMember(bool aIsLearner, instant aNow) const;
  std::size_t GetVoterLimit() const noexcept;
  void RequestJoin(instant aNow, group_actions& aActions);
  void HandleMessage(const join_request& aRequest, instant aNow, group_actions& aActions);

  group_settings mSettings;
  std::mt19937_64 mRandom;
  member_id mSelf;
  bool mIsFailed = false;

  vote_record mVote;
  term_number mStoredTerm = 0;
  log_index mBaseIndex = 0;
  term_number mBaseTerm = 0;
  std::deque<log_entry> mEntries;
  std::optional<snapshot_record> mSnapshot;
  /** Memberships by the index of their entry. Never empty: the first one is that of the snapshot,
   * or an empty one if there is no snapshot. */
  std::vector<indexed_membership> mMemberships;
  log_index mSyncedIndex = 0;
  log_index mCommitIndex = 0;
  log_index mAppliedIndex = 0;
  std::uint64_t mLastBatch = 0;
  std::deque<pending_batch> mPendingBatches;
  std::deque<deferred_message> mDeferredMessages;

  role mRole = role::Follower;
  /** Sender of the message that is being handled. */
  vm_name mSender;
  vm_name mLeaderVm;
  instant mLeaderSeenAt;
  bool mWasLeaderSeen = false;
  instant mElectionAt;
  std::set<member_id> mVotes;
  instant mNextJoinAt;

  // Follower: last index known to match the log of the current leader, and the snapshot being
  // received.
  log_index mVerifiedIndex = 0;
  std::uint64_t mLeaderRound = 0;
  snapshot_record mIncomingSnapshot;

  // Leader.
  std::map<member_id, member_progress> mProgress;
  log_index mTermStartIndex = 0;
  std::uint64_t mRound = 0;
  std::uint64_t mConfirmedRound = 0;
  std::deque<std::pair<std::uint64_t, instant>> mUnconfirmedRounds;
  std::optional<instant> mConfirmedAt;
  instant mNextHeartbeatAt;

  std::vector<pending_read> mPendingReads;
  std::uint64_t mReadNumber = 0;
  std::uint64_t mRefusedMessages = 0;
};

} // namespace citronpulley

#endif
