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

/** Identity of one data folder; a replaced disk gets a new one, so that it never votes as the
 * former. */
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
  /** Encoded `command` or membership; empty for the entry with which a leader begins its term. */
  std::string mPayload;
  bool mIsMembership = false;

  friend auto operator<=>(const log_entry&, const log_entry&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIndex, mTerm, mPayload, mIsMembership);
  }
};

/** Asks for a vote; a pre-vote asks whether one would be given and changes no state. */
struct vote_request
{
  partition_number mPartition = 0;
  term_number mTerm = 0;
  member_id mCandidate;
  log_index mLastIndex = 0;
  term_number mLastTerm = 0;
  bool mIsPreVote = false;
  /** Identity of the group, chosen when it was formed. */
  std::uint64_t mGroup = 0;
  /** Member that is meant; its VM may have got a new data folder since. */
  member_id mReceiver;

  friend auto operator<=>(const vote_request&, const vote_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPartition, mTerm, mCandidate, mLastIndex, mLastTerm, mIsPreVote, mGroup, mReceiver);
  }
};

/** Answer to a vote request. */
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

/** Entries and heartbeat of the leader. */
struct append_request
{
  partition_number mPartition = 0;
  term_number mTerm = 0;
  member_id mLeader;
  log_index mPreviousIndex = 0;
  term_number mPreviousTerm = 0;
  std::vector<log_entry> mEntries;
  log_index mCommitIndex = 0;
  /** Number of the leader's round; the reply repeats it and so confirms the leader's term. */
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

/** Answer of a member; `mMatchIndex` counts synced entries only. */
struct append_reply
{
  partition_number mPartition = 0;
  term_number mTerm = 0;
  member_id mMember;
  bool mIsAccepted = false;
  /** Last synced entry known to match; after a refusal the index from which the leader tries next.
   */
  log_index mMatchIndex = 0;
  std::uint64_t mRound = 0;

  friend auto operator<=>(const append_reply&, const append_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPartition, mTerm, mMember, mIsAccepted, mMatchIndex, mRound);
  }
};

/** Part of a snapshot for a member whose missing entries the leader no longer has. */
struct snapshot_chunk
{
  partition_number mPartition = 0;
  term_number mTerm = 0;
  member_id mLeader;
  log_index mLastIndex = 0;
  term_number mLastTerm = 0;
  /** Encoded membership at the snapshot. */
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

/** Answer to a part of a snapshot. */
struct snapshot_ack
{
  partition_number mPartition = 0;
  term_number mTerm = 0;
  member_id mMember;
  log_index mLastIndex = 0;
  /** Offset that the member wants next. */
  std::uint64_t mNextOffset = 0;
  /** True when the whole snapshot is synced. */
  bool mIsInstalled = false;
  std::uint64_t mRound = 0;

  friend auto operator<=>(const snapshot_ack&, const snapshot_ack&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPartition, mTerm, mMember, mLastIndex, mNextOffset, mIsInstalled, mRound);
  }
};

/** Asks the leader to confirm its term and to name an index that is safe to read at. */
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

/** Answer to a read index request, sent once a majority has confirmed the leader's term. */
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

/** Asks the leader to admit a member that belongs to no group yet. */
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
