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
  std::uint64_t mStored = 0;
  std::uint64_t mWaiting = 0;

  control_node MakeNode(bool aIsFormed) const
  {
    recovered_member recovered;
    recovered.mMember = member_id{ 7 };
    if (aIsFormed) {
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

  /** Handles an event; batches wait until Store(). */
  std::vector<http_answer> Handle(control_node & aNode, const node_event& aEvent)
  {
    node_actions actions;
    aNode.Handle(aEvent, mNow, actions);
    std::vector<http_answer> answers;
    for (const node_action& action : actions) {
      if (const auto* batch = std::get_if<storage_batch>(&action)) {
        mWaiting = batch->mNumber;
      }
      if (const auto* reply = std::get_if<reply_to_client>(&action)) {
        answers.push_back(reply->mAnswer);
      }
    }
    return answers;
  }

  std::vector<http_answer> Store()
  {
    mStored = mWaiting;
    return Handle(mNode, batch_stored{ mStored, false, {} });
  }

  void Lead()
  {
    for (int tick = 0; tick < 400; ++tick) {
      mNow.mMonotonic += kTick;
      Handle(mNode, timer_ticked{});
      if (mWaiting > mStored) {
        Store();
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

/** Guards against an operator's change that is acknowledged before it is durable. */
TEST(control_node, answers_a_change_only_after_its_batch_is_stored)
{
  Lead();
  const auto request = MakeRequest(
    "POST", "/v1/config", R"({"submission":"s","expected_version":0,"text":"deployment = 1"})");
  const auto refused = Handle(mNode, request);
  LONGS_EQUAL(1, refused.size());
  CHECK(refused[0].mStatus != 200);
  const auto early = Handle(mNode, MakeRequest("DELETE", "/v1/keys/none", ""));
  CHECK(early.empty());
  CHECK(mWaiting > mStored);
  const auto late = Store();
  LONGS_EQUAL(1, late.size());
  LONGS_EQUAL(404, late[0].mStatus);
}

/** Guards against a member without a group that serves operators or polls. */
TEST(control_node, a_member_that_does_not_lead_refuses_operators)
{
  control_node node = MakeNode(false);
  const auto answers = Handle(node, MakeRequest("GET", "/v1/config", ""));
  LONGS_EQUAL(1, answers.size());
  LONGS_EQUAL(503, answers[0].mStatus);
  STRCMP_CONTAINS("not_leader", answers[0].mBody.c_str());
}

/** Guards against a VM that works on after its disk failed. */
TEST(control_node, stops_after_a_failed_write)
{
  Lead();
  node_actions actions;
  mNode.Handle(batch_stored{ 0, true, "the sync failed" }, mNow, actions);
  CHECK(std::ranges::any_of(actions, [](const node_action& aAction) {
    return std::holds_alternative<stop_process>(aAction);
  }));
  const auto answers = Handle(mNode, MakeRequest("DELETE", "/v1/keys/none", ""));
  LONGS_EQUAL(1, answers.size());
  LONGS_EQUAL(503, answers[0].mStatus);
  LONGS_EQUAL(mStored, mWaiting);
}

/** Guards against rates that are lent out without a confirmed leadership. */
TEST(control_node, lends_nothing_unless_it_leads)
{
  control_node node = MakeNode(false);
  node_actions actions;
  node.Handle(
    peer_message_received{ vm_name("entry-1"), grant_request{ 3, 1, {} } }, mNow, actions);
  LONGS_EQUAL(1, actions.size());
  const auto& sent = std::get<send_peer_message>(actions[0]);
  CHECK_FALSE(std::get<grant_reply>(sent.mMessage).mIsLeader);
}
