#ifndef CITRONPULLEY_WIRE_CONSENSUS_MESSAGES_H
#define CITRONPULLEY_WIRE_CONSENSUS_MESSAGES_H

#include "citronpulley/base/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * @file
 * Messages between the members of the control group.
 */

namespace citronpulley {

using term_number = std::uint64_t;
using log_index = std::uint64_t;
using partition_number = std::uint32_t;

/**
 * Identity of one data folder. A new data folder, for example on a replaced disk, gets a new
 * identity, so that it cannot vote a second time as the member whose stored votes were lost.
 */
struct member_id
{
  std::uint64_t mValue = 0;

  friend auto operator<=>(const member_id&, const member_id&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mValue);
  }
};

/** Entry of the replicated log. */
struct log_entry
{
  log_index mIndex = 0;
  term_number mTerm = 0;
  /** Encoded `command` or membership; empty for the entry that a leader appends at the start of its
   * term. */
  std::string mPayload;
  bool mIsMembership = false;

  friend auto operator<=>(const log_entry&, const log_entry&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIndex, mTerm, mPayload, mIsMembership);
  }
};

/** Requests a vote. A pre-vote asks whether the vote would be granted and changes no state. */
struct vote_request
{
  partition_number mPartition = 0;
  term_number mTerm = 0;
  member_id mCandidate;
  log_index mLastIndex = 0;
  term_number mLastTerm = 0;
  bool mIsPreVote = false;
  /** Identity of the group, generated when the group was bootstrapped. */
  std::uint64_t mGroup = 0;
  /** Member that the request is for. A receiver with another identity ignores it, because its VM
   * may have a new data folder since. */
  member_id mReceiver;

  friend auto operator<=>(const vote_request&, const vote_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPartition, mTerm, mCandidate, mLastIndex, mLastTerm, mIsPreVote, mGroup, mReceiver);
  }
};

/** Reply to a `vote_request`. */
struct vote_reply
{
  partition_number mPartition = 0;
  term_number mTerm = 0;
  member_id mVoter;
  bool mIsGranted = false;
  bool mIsPreVote = false;

  friend auto operator<=>(const vote_reply&, const vote_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPartition, mTerm, mVoter, mIsGranted, mIsPreVote);
  }
};

/** Sent by the leader to append log entries; also its heartbeat, then without entries. */
struct append_request
{
  partition_number mPartition = 0;
  term_number mTerm = 0;
  member_id mLeader;
  log_index mPreviousIndex = 0;
  term_number mPreviousTerm = 0;
  std::vector<log_entry> mEntries;
  log_index mCommitIndex = 0;
  /** Number of the heartbeat round. The reply repeats it, which confirms that the sender was still
   * leader in its term when the round started. */
  std::uint64_t mRound = 0;
  std::uint64_t mGroup = 0;
  member_id mReceiver;

  friend auto operator<=>(const append_request&, const append_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPartition,
             mTerm,
             mLeader,
             mPreviousIndex,
             mPreviousTerm,
             mEntries,
             mCommitIndex,
             mRound,
             mGroup,
             mReceiver);
  }
};

/** Reply to an `append_request`. */
struct append_reply
{
  partition_number mPartition = 0;
  term_number mTerm = 0;
  member_id mMember;
  bool mIsAccepted = false;
  /** Index of the last entry that is synced to disk and matches the log of the leader. After a
   * refusal: the `mPreviousIndex` that the leader should try next. */
  log_index mMatchIndex = 0;
  std::uint64_t mRound = 0;

  friend auto operator<=>(const append_reply&, const append_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPartition, mTerm, mMember, mIsAccepted, mMatchIndex, mRound);
  }
};

/** Part of a snapshot, sent to a member that lacks log entries which the leader has already
 * compacted. */
struct snapshot_chunk
{
  partition_number mPartition = 0;
  term_number mTerm = 0;
  member_id mLeader;
  log_index mLastIndex = 0;
  term_number mLastTerm = 0;
  /** Encoded group membership as of the last log entry that the snapshot covers. */
  std::string mMembership;
  std::uint64_t mOffset = 0;
  std::string mBytes;
  bool mIsLast = false;
  std::uint64_t mRound = 0;
  std::uint64_t mGroup = 0;
  member_id mReceiver;

  friend auto operator<=>(const snapshot_chunk&, const snapshot_chunk&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPartition,
             mTerm,
             mLeader,
             mLastIndex,
             mLastTerm,
             mMembership,
             mOffset,
             mBytes,
             mIsLast,
             mRound,
             mGroup,
             mReceiver);
  }
};

/** Reply to a `snapshot_chunk`. */
struct snapshot_ack
{
  partition_number mPartition = 0;
  term_number mTerm = 0;
  member_id mMember;
  log_index mLastIndex = 0;
  /** Offset in bytes at which the next chunk must start. */
  std::uint64_t mNextOffset = 0;
  /** True once the whole snapshot, or the log entries that it covers, are synced to disk. */
  bool mIsInstalled = false;
  std::uint64_t mRound = 0;

  friend auto operator<=>(const snapshot_ack&, const snapshot_ack&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPartition, mTerm, mMember, mLastIndex, mNextOffset, mIsInstalled, mRound);
  }
};

/** Asks the leader to confirm its term and to return an index at which a read is linearizable. */
struct read_index_request
{
  partition_number mPartition = 0;
  std::uint64_t mReadNumber = 0;
  member_id mMember;

  friend auto operator<=>(const read_index_request&, const read_index_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPartition, mReadNumber, mMember);
  }
};

/** Reply to a `read_index_request`, sent once a majority has confirmed the term of the leader; sent
 * at once with `mIsConfirmed` false if the receiver of the request is not the leader or the sender
 * is not a member. */
struct read_index_reply
{
  partition_number mPartition = 0;
  std::uint64_t mReadNumber = 0;
  bool mIsConfirmed = false;
  log_index mIndex = 0;

  friend auto operator<=>(const read_index_reply&, const read_index_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPartition, mReadNumber, mIsConfirmed, mIndex);
  }
};

/** Asks the leader to add the sender, which is not a member, or may have been removed because it
 * has been without contact with a leader for long. */
struct join_request
{
  member_id mMember;
  vm_name mVm;

  friend auto operator<=>(const join_request&, const join_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMember, mVm);
  }
};

} // namespace citronpulley

#endif
