#include "consensus/group_harness.h"

#include <CppUTest/TestHarness.h>
#include <optional>
#include <variant>

using namespace citronpulley;

namespace {

constexpr microseconds kSecond{ 1'000'000 };
constexpr std::uint64_t kSeed = 11;

} // namespace

/** Sends vote requests of two peers to a follower that was isolated until it lost contact with the
 * leader. */
TEST_GROUP(vote)
{
  group_harness mGroups{ 3, kSeed };
  int mVoter = 0;
  /** Term of the voter's last entry, and of the requests. */
  term_number mLogTerm = 0;
  term_number mTerm = 0;

  void setup() override
  {
    CHECK(mGroups.RunUntilFormed(20 * kSecond));
    const int leader = mGroups.FindLeader();
    CHECK(leader >= 0);
    for (int i = 0; i < 5; ++i) {
      CHECK(mGroups.Propose(leader));
      mGroups.Run(kSecond / 10);
    }
    mVoter = (leader + 1) % 3;
    mGroups.Isolate(mVoter, true);
    mGroups.Run(3 * kSecond);
    // Because of pre-votes, the isolated member does not raise its term without a majority.
    mLogTerm = mGroups.GetGroup(mVoter).GetTerm();
    mTerm = mLogTerm + 5;
  }

  member_id FindMember(int aVm)
  {
    for (const citronpulley::group_member& member :
         mGroups.GetGroup(mVoter).GetMembership().mMembers) {
      if (member.mVm == vm_name("vm-" + std::to_string(aVm))) {
        return member.mMember;
      }
    }
    return {};
  }

  vote_request MakeRequest(int aCandidate)
  {
    consensus_group& voter = mGroups.GetGroup(mVoter);
    vote_request request;
    request.mTerm = mTerm;
    request.mCandidate = FindMember(aCandidate);
    request.mLastIndex = voter.GetLastIndex();
    request.mLastTerm = mLogTerm;
    request.mGroup = voter.GetMembership().mGroup;
    request.mReceiver = FindMember(mVoter);
    return request;
  }

  /** @return whether the vote is granted once all batches are stored, or nothing if there is no
   * reply */
  std::optional<bool> SendVoteRequest(int aCandidate, const vote_request& aRequest)
  {
    consensus_group& voter = mGroups.GetGroup(mVoter);
    group_actions actions;
    voter.Receive(vm_name("vm-" + std::to_string(aCandidate)), aRequest, mGroups.GetNow(), actions);
    std::optional<bool> granted;
    for (std::size_t i = 0; i < actions.size(); ++i) {
      if (const auto* batch = std::get_if<storage_batch>(&actions[i])) {
        voter.HandleStored(batch->mNumber, mGroups.GetNow(), actions);
      }
      if (const auto* send = std::get_if<send_to_member>(&actions[i])) {
        if (const auto* reply = std::get_if<vote_reply>(&send->mMessage)) {
          granted = reply->mIsGranted;
        }
      }
    }
    return granted;
  }
};

/** Guards against two leaders in a term because a member votes for more than one candidate. */
TEST(vote, is_granted_to_one_candidate_per_term)
{
  const int one = (mVoter + 1) % 3;
  const int other = (mVoter + 2) % 3;
  CHECK(SendVoteRequest(one, MakeRequest(one)) == true);
  CHECK(SendVoteRequest(other, MakeRequest(other)) == false);
  CHECK(SendVoteRequest(one, MakeRequest(one)) == true);
  ++mTerm;
  CHECK(SendVoteRequest(other, MakeRequest(other)) == true);
}

/** Guards against the election of a candidate that lacks acknowledged entries. */
TEST(vote, is_refused_to_a_candidate_whose_log_is_behind)
{
  const int candidate = (mVoter + 1) % 3;
  vote_request shorter = MakeRequest(candidate);
  --shorter.mLastIndex;
  CHECK(SendVoteRequest(candidate, shorter) == false);
  ++mTerm;
  vote_request older = MakeRequest(candidate);
  older.mLastIndex += 100;
  --older.mLastTerm;
  CHECK(SendVoteRequest(candidate, older) == false);
  ++mTerm;
  CHECK(SendVoteRequest(candidate, MakeRequest(candidate)) == true);
}

/** Guards against votes cast for another group, or under the identity of a former member. */
TEST(vote, is_not_answered_for_another_member_or_group)
{
  const int candidate = (mVoter + 1) % 3;
  vote_request foreign = MakeRequest(candidate);
  ++foreign.mGroup;
  CHECK(!SendVoteRequest(candidate, foreign));
  vote_request former = MakeRequest(candidate);
  former.mReceiver = former.mCandidate;
  CHECK(!SendVoteRequest(candidate, former));
}
