#include "citronpulley/node/control_node.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

constexpr const char* kSecret = "0123456789abcdef0123456789abcdef";
constexpr const char* kOperatorKey = "fedcba9876543210fedcba9876543210";
constexpr microseconds kTick{ 5'000 };

} // namespace

TEST_GROUP(control_node)
{
  current_time mNow{ instant(microseconds(1'000'000)), { 1'000 } };
  control_node mNode = MakeNode(true);
  std::uint64_t mStoredBatch = 0;
  std::uint64_t mPendingBatch = 0;

  control_node MakeNode(bool aHasGroup) const
  {
    recovered_member recovered;
    recovered.mMember = member_id{ 7 };
    if (aHasGroup) {
      recovered.mVote.mTerm = 1;
      recovered.mEntries = { MakeBootstrapEntry(9, member_id{ 7 }, vm_name("control-1")) };
    }
    group_settings settings;
    settings.mSelf = vm_name("control-1");
    settings.mControlVms = { vm_name("control-1"), vm_name("control-2") };
    return {
      std::move(settings), std::move(recovered), kSecret, kOperatorKey, { 1, 1, mNow.mMonotonic }
    };
  }

  /** Handles an event and returns the answers; batches stay pending until CompleteStorage(). */
  std::vector<http_answer> Handle(control_node & aNode, const node_event& aEvent)
  {
    node_actions actions;
    aNode.Handle(aEvent, mNow, actions);
    std::vector<http_answer> answers;
    for (const node_action& action : actions) {
      if (const auto* batch = std::get_if<storage_batch>(&action)) {
        mPendingBatch = batch->mNumber;
      }
      if (const auto* reply = std::get_if<reply_to_client>(&action)) {
        answers.push_back(reply->mAnswer);
      }
    }
    return answers;
  }

  std::vector<http_answer> CompleteStorage()
  {
    mStoredBatch = mPendingBatch;
    return Handle(mNode, batch_stored{ mStoredBatch, false, {} });
  }

  void BecomeLeader()
  {
    for (int tick = 0; tick < 400; ++tick) {
      mNow.mMonotonic += kTick;
      Handle(mNode, timer_ticked{});
      if (mPendingBatch > mStoredBatch) {
        CompleteStorage();
      }
    }
  }

  static http_request_received MakeRequest(
    std::string aMethod, std::string aTarget, std::string aBody)
  {
    return { 1,
             std::move(aMethod),
             std::move(aTarget),
             { { "Authorization", std::string("Bearer ") + kOperatorKey } },
             std::move(aBody),
             "127.0.0.1" };
  }
};

/** Guards against acknowledging an operator's change before its log entry is durable. */
TEST(control_node, answers_a_change_only_after_its_batch_is_stored)
{
  BecomeLeader();
  const auto request = MakeRequest(
    "POST", "/v1/config", R"({"submission":"s","expected_version":0,"text":"deployment = 1"})");
  const auto refused = Handle(mNode, request);
  LONGS_EQUAL(1, refused.size());
  CHECK(refused[0].mStatus != 200);
  const auto early = Handle(mNode, MakeRequest("DELETE", "/v1/keys/none", ""));
  CHECK(early.empty());
  CHECK(mPendingBatch > mStoredBatch);
  const auto late = CompleteStorage();
  LONGS_EQUAL(1, late.size());
  LONGS_EQUAL(404, late[0].mStatus);
}

/** Guards against serving operators from a VM that has not joined a group and so does not lead. */
TEST(control_node, refuses_operators_while_it_does_not_lead)
{
  control_node node = MakeNode(false);
  const auto answers = Handle(node, MakeRequest("GET", "/v1/config", ""));
  LONGS_EQUAL(1, answers.size());
  LONGS_EQUAL(503, answers[0].mStatus);
  STRCMP_CONTAINS("not_leader", answers[0].mBody.c_str());
}

/** Guards against a VM that keeps serving after a failed write: the process must stop, and a
 * request that arrives before it ends must be refused without another batch. */
TEST(control_node, stops_after_a_failed_write)
{
  BecomeLeader();
  node_actions actions;
  mNode.Handle(batch_stored{ 0, true, "the sync failed" }, mNow, actions);
  CHECK(std::ranges::any_of(actions, [](const node_action& aAction) {
    return std::holds_alternative<stop_process>(aAction);
  }));
  const auto answers = Handle(mNode, MakeRequest("DELETE", "/v1/keys/none", ""));
  LONGS_EQUAL(1, answers.size());
  LONGS_EQUAL(503, answers[0].mStatus);
  LONGS_EQUAL(mStoredBatch, mPendingBatch);
}

/** Guards against granting tokens of a rate without confirmed leadership. */
TEST(control_node, grants_nothing_unless_it_leads)
{
  control_node node = MakeNode(false);
  node_actions actions;
  node.Handle(
    peer_message_received{ vm_name("entry-1"), grant_request{ 3, 1, {} } }, mNow, actions);
  LONGS_EQUAL(1, actions.size());
  const auto& sent = std::get<send_peer_message>(actions[0]);
  CHECK_FALSE(std::get<grant_reply>(sent.mMessage).mIsLeader);
}
