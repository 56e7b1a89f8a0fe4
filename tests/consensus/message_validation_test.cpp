#include "consensus/group_harness.h"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <limits>
#include <string>
#include <vector>

using namespace citronpulley;

namespace {

constexpr microseconds kSecond{ 1'000'000 };
constexpr std::uint64_t kSeed = 5;
constexpr std::uint64_t kHuge = std::numeric_limits<std::uint64_t>::max();

} // namespace

/** Feeds a follower and a leader messages that no correct member sends, as bytes that were damaged
 * on the way decode to. */
TEST_GROUP(message_validation)
{
  group_harness mGroups{ 3, kSeed };
  int mLeader = 0;
  int mFollower = 0;

  void setup() override
  {
    CHECK(mGroups.RunUntilFormed(20 * kSecond));
    mLeader = mGroups.FindLeader();
    mFollower = (mLeader + 1) % 3;
    for (int i = 0; i < 5; ++i) {
      CHECK(mGroups.Propose(mLeader));
      mGroups.Run(kSecond / 10);
    }
  }

  static vm_name NameOf(int aVm)
  {
    return vm_name("vm-" + std::to_string(aVm));
  }

  /** @return a heartbeat of the leader that the follower accepts */
  append_request MakeHeartbeat()
  {
    const consensus_group& follower = mGroups.GetGroup(mFollower);
    append_request request;
    request.mTerm = follower.GetTerm();
    request.mLeader = mGroups.GetGroup(mLeader).GetMember();
    request.mPreviousIndex = follower.GetLastIndex();
    request.mPreviousTerm = follower.GetTerm();
    request.mCommitIndex = follower.GetCommitIndex();
    request.mGroup = follower.GetMembership().mGroup;
    request.mReceiver = follower.GetMember();
    return request;
  }

  snapshot_chunk MakeChunk()
  {
    const consensus_group& follower = mGroups.GetGroup(mFollower);
    snapshot_chunk chunk;
    chunk.mTerm = follower.GetTerm();
    chunk.mLeader = mGroups.GetGroup(mLeader).GetMember();
    chunk.mLastIndex = follower.GetLastIndex() + 10;
    chunk.mLastTerm = follower.GetTerm();
    chunk.mMembership = EncodeMembership(follower.GetMembership());
    chunk.mIsLast = true;
    chunk.mGroup = follower.GetMembership().mGroup;
    chunk.mReceiver = follower.GetMember();
    return chunk;
  }

  /** @return number of messages that the VM refused while it handled this one */
  std::uint64_t Feed(int aVm, int aSender, const peer_message& aMessage)
  {
    consensus_group& group = mGroups.GetGroup(aVm);
    const std::uint64_t before = group.CountRefusedMessages();
    group_actions actions;
    group.Receive(NameOf(aSender), aMessage, mGroups.GetNow(), actions);
    return group.CountRefusedMessages() - before;
  }

  void CheckRefusedByFollower(const std::function<void(append_request&)>& aDamage)
  {
    append_request request = MakeHeartbeat();
    aDamage(request);
    const log_index last = mGroups.GetGroup(mFollower).GetLastIndex();
    const term_number term = mGroups.GetGroup(mFollower).GetTerm();
    UNSIGNED_LONGS_EQUAL(1, Feed(mFollower, mLeader, request));
    CHECK(last == mGroups.GetGroup(mFollower).GetLastIndex());
    CHECK(term == mGroups.GetGroup(mFollower).GetTerm());
  }
};

/** Guards against refusing what a correct leader sends. */
TEST(message_validation, accepts_the_messages_of_a_leader)
{
  append_request request = MakeHeartbeat();
  UNSIGNED_LONGS_EQUAL(0, Feed(mFollower, mLeader, request));
  request.mEntries = { { request.mPreviousIndex + 1, request.mTerm, "a", false },
                       { request.mPreviousIndex + 2, request.mTerm, "b", false } };
  UNSIGNED_LONGS_EQUAL(0, Feed(mFollower, mLeader, request));
  UNSIGNED_LONGS_EQUAL(request.mPreviousIndex + 2, mGroups.GetGroup(mFollower).GetLastIndex());
}

/** Guards against an abort of the process, or a gap in the log, by entries that do not follow. */
TEST(message_validation, refuses_entries_that_are_not_contiguous)
{
  CheckRefusedByFollower([](append_request& aRequest) {
    aRequest.mEntries = { { aRequest.mPreviousIndex + 1, aRequest.mTerm, "a", false },
                          { aRequest.mPreviousIndex + 3, aRequest.mTerm, "b", false } };
  });
  CheckRefusedByFollower([](append_request& aRequest) {
    aRequest.mEntries = { { aRequest.mPreviousIndex + 2, aRequest.mTerm, "a", false } };
  });
  CheckRefusedByFollower([](append_request& aRequest) {
    aRequest.mEntries = { { aRequest.mPreviousIndex, aRequest.mTerm, "a", false } };
  });
}

/** Guards against terms that fall along the log or exceed the sender's. */
TEST(message_validation, refuses_entries_with_impossible_terms)
{
  CheckRefusedByFollower([](append_request& aRequest) {
    aRequest.mEntries = { { aRequest.mPreviousIndex + 1, aRequest.mPreviousTerm - 1, "a", false } };
  });
  CheckRefusedByFollower([](append_request& aRequest) {
    aRequest.mEntries = { { aRequest.mPreviousIndex + 1, aRequest.mTerm + 1, "a", false } };
  });
  CheckRefusedByFollower(
    [](append_request& aRequest) { aRequest.mPreviousTerm = aRequest.mTerm + 1; });
}

/** Guards against an abort when a conflict lies below the commit index. */
TEST(message_validation, refuses_entries_that_contradict_committed_ones)
{
  CheckRefusedByFollower([this](append_request& aRequest) {
    aRequest.mPreviousIndex = 0;
    aRequest.mPreviousTerm = 0;
    const log_index committed = mGroups.GetGroup(mFollower).GetCommitIndex();
    // The entries after the first one belong to a later term than 1.
    for (log_index index = 1; index <= committed; ++index) {
      aRequest.mEntries.push_back({ index, 1, "other", false });
    }
  });
}

/** Guards against an abort by indexes and terms whose sums overflow. */
TEST(message_validation, refuses_numbers_out_of_range)
{
  CheckRefusedByFollower([](append_request& aRequest) { aRequest.mPreviousIndex = kHuge; });
  CheckRefusedByFollower([](append_request& aRequest) { aRequest.mPreviousIndex = 0; });
  CheckRefusedByFollower([](append_request& aRequest) { aRequest.mPreviousTerm = 0; });
  CheckRefusedByFollower([](append_request& aRequest) { aRequest.mTerm = kHuge; });
}

/** Guards against a membership that is lost because its entry cannot be read. */
TEST(message_validation, refuses_an_unreadable_membership)
{
  CheckRefusedByFollower([](append_request& aRequest) {
    aRequest.mEntries = { { aRequest.mPreviousIndex + 1, aRequest.mTerm, "damaged", true } };
  });
  snapshot_chunk chunk = MakeChunk();
  chunk.mMembership = "damaged";
  UNSIGNED_LONGS_EQUAL(1, Feed(mFollower, mLeader, chunk));
  chunk = MakeChunk();
  chunk.mLastTerm = chunk.mTerm + 1;
  UNSIGNED_LONGS_EQUAL(1, Feed(mFollower, mLeader, chunk));
  CHECK(mGroups.GetGroup(mFollower).GetLastIndex() < chunk.mLastIndex);
}

/** Guards against a leader that steps down, or a follower that changes sides, within one term. */
TEST(message_validation, refuses_a_second_leader_in_the_same_term)
{
  const int other = (mLeader + 2) % 3;
  append_request request = MakeHeartbeat();
  request.mLeader = mGroups.GetGroup(other).GetMember();
  UNSIGNED_LONGS_EQUAL(1, Feed(mFollower, other, request));
  request.mReceiver = mGroups.GetGroup(mLeader).GetMember();
  UNSIGNED_LONGS_EQUAL(1, Feed(mLeader, other, request));
  CHECK(mGroups.GetGroup(mLeader).IsLeader());
}

/** Guards against an abort, or a commit of entries that no majority has, by a reply that confirms
 * more than the leader sent. */
TEST(message_validation, refuses_replies_beyond_the_leaders_log)
{
  consensus_group& leader = mGroups.GetGroup(mLeader);
  append_reply reply{ 0,    leader.GetTerm(),          mGroups.GetGroup(mFollower).GetMember(),
                      true, leader.GetLastIndex() + 1, 0 };
  UNSIGNED_LONGS_EQUAL(1, Feed(mLeader, mFollower, reply));
  reply.mMatchIndex = leader.GetLastIndex();
  reply.mRound = kHuge;
  UNSIGNED_LONGS_EQUAL(1, Feed(mLeader, mFollower, reply));
  snapshot_ack ack{ 0, leader.GetTerm(), reply.mMember, leader.GetLastIndex() + 1, 0, true, 0 };
  UNSIGNED_LONGS_EQUAL(1, Feed(mLeader, mFollower, ack));
}

/** Guards against a restarted leader that takes the reply to a heartbeat of its earlier term for
 * the confirmation of a round that it has not sent yet. */
TEST(message_validation, confirms_no_round_of_an_earlier_term)
{
  append_request request = MakeHeartbeat();
  request.mTerm -= 1;
  request.mPreviousTerm = 1;
  request.mRound = 50;
  group_actions actions;
  mGroups.GetGroup(mFollower).Receive(NameOf(mLeader), request, mGroups.GetNow(), actions);
  UNSIGNED_LONGS_EQUAL(1, actions.size());
  const auto& sent = std::get<send_to_member>(actions.front());
  UNSIGNED_LONGS_EQUAL(0, std::get<append_reply>(sent.mMessage).mRound);
}

/** Guards against votes for a log that cannot exist and against members without an identity. */
TEST(message_validation, refuses_impossible_votes_and_joins)
{
  const consensus_group& follower = mGroups.GetGroup(mFollower);
  vote_request request{ 0,
                        follower.GetTerm() + 1,
                        mGroups.GetGroup(mLeader).GetMember(),
                        follower.GetLastIndex(),
                        follower.GetTerm() + 1,
                        false,
                        follower.GetMembership().mGroup,
                        follower.GetMember() };
  UNSIGNED_LONGS_EQUAL(1, Feed(mFollower, mLeader, request));
  request.mTerm = kHuge;
  UNSIGNED_LONGS_EQUAL(1, Feed(mFollower, mLeader, request));
  UNSIGNED_LONGS_EQUAL(1, Feed(mLeader, mFollower, join_request{ {}, NameOf(mFollower) }));
}
