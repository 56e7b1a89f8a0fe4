#include "citronpulley/state/control_state.h"

#include "citronpulley/state/state_view.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

/** @return a minimal valid operators' text; the comment makes texts differ */
std::string MakeText(const std::string& aComment)
{
  return "# " + aComment +
         "\ndeployment = \"d\"\n[[regions]]\nname = \"r\"\nzones = [\"z\"]\ncapacity_per_second = "
         "1\n"
         "[[services]]\nname = \"s\"\nshift_cap_percent_per_minute = 1\n[[services.routes]]\npath "
         "= "
         "\"/\"\n";
}

key_digest MakeDigest(std::uint8_t aByte)
{
  key_digest value;
  value.mBytes.fill(aByte);
  return value;
}

} // namespace

TEST_GROUP(control_state)
{
  control_state mState;
  state_index mIndex = 0;

  apply_result Apply(command_content aContent)
  {
    return mState.Apply(++mIndex, { 1'000, std::move(aContent) });
  }

  submit_result Submit(
    const std::string& aName, std::uint64_t aExpected, const std::string& aComment)
  {
    return std::get<submit_result>(
      Apply(submit_configuration{ submission_id(aName), aExpected, MakeText(aComment) }));
  }

  bool Give(const std::string& aKey, std::uint8_t aByte)
  {
    return std::get<change_result>(
             Apply(give_key{ {}, key_id(aKey), workspace_name("w"), MakeDigest(aByte) }))
      .mIsApplied;
  }

  bool Withdraw(const std::string& aKey)
  {
    return std::get<change_result>(Apply(withdraw_key{ key_id(aKey) })).mIsApplied;
  }
};

/** Guards against two concurrent submissions that are both reported as accepted. */
TEST(control_state, accepts_exactly_one_of_two_concurrent_submissions)
{
  const submit_result first = Submit("a", 0, "first");
  const submit_result second = Submit("b", 0, "second");
  CHECK(first.mIsAccepted);
  CHECK_FALSE(second.mIsAccepted);
  LONGS_EQUAL(1, second.mVersion);
  CHECK(second.mDigest == ComputeDigest(MakeText("first")));
}

/** Guards against a submission, sent again after a lost reply, that is refused or replaces a later
 * text. */
TEST(control_state, returns_the_first_outcome_for_a_resent_submission)
{
  const submit_result first = Submit("a", 0, "first");
  Submit("b", 1, "second");
  CHECK(Submit("a", 0, "first") == first);
  LONGS_EQUAL(2, mState.GetConfiguration().mVersion);
  CHECK(mState.GetConfiguration().mText == MakeText("second"));
}

/** Guards against outcomes of submissions that are missing in a snapshot. */
TEST(control_state, keeps_outcomes_of_submissions_in_a_snapshot)
{
  const submit_result first = Submit("a", 0, "first");
  result<control_state> copy = control_state::Decode(mState.Encode());
  CHECK(!!copy);
  const apply_result again = copy.Get().Apply(
    ++mIndex, { 1'000, submit_configuration{ submission_id("a"), 0, MakeText("first") } });
  CHECK(std::get<submit_result>(again) == first);
}

/** Guards against a key id whose key is replaced when the id is given again. */
TEST(control_state, refuses_another_key_with_the_same_id)
{
  CHECK(Give("k", 1));
  CHECK(Give("k", 1));
  CHECK_FALSE(Give("k", 2));
  CHECK(Withdraw("k"));
  CHECK_FALSE(Withdraw("k"));
}

/** Guards against deltas that lack a change, for each index that the receiver may have applied. */
TEST(control_state, brings_a_view_of_any_index_up_to_date)
{
  std::vector<state_view> views(1);
  const auto recordView = [&] {
    state_view view;
    CHECK(view.Apply(mState.MakeDelta(0)));
    views.push_back(view);
  };
  Submit("a", 0, "first");
  recordView();
  Give("k1", 1);
  recordView();
  Give("k2", 2);
  recordView();
  Withdraw("k1");
  recordView();
  digest fingerprint;
  fingerprint.mBytes[0] = 9;
  Apply(crash_report{ server_name("s"), "run", { fingerprint }, false });
  recordView();
  Apply(set_steering_plan{ { { service_name("s"), region_name("r"), region_name("r"), 1 } } });
  recordView();
  Apply(clear_quarantine{ fingerprint });
  Submit("b", 1, "second");
  for (state_view& view : views) {
    CHECK(view.Apply(mState.MakeDelta(view.GetIndex())));
    LONGS_EQUAL(mIndex, view.GetIndex());
    LONGS_EQUAL(2, view.GetConfigurationVersion());
    POINTERS_EQUAL(nullptr, view.FindKey(key_id("k1")));
    CHECK(view.FindKey(key_id("k2")) != nullptr);
    POINTERS_EQUAL(nullptr, view.FindSuspect(fingerprint));
    LONGS_EQUAL(1, view.GetPlan().size());
  }
}

/** Guards against a delayed reply that restores an older text or a withdrawn key. */
TEST(control_state, view_rejects_a_delta_that_is_older_than_its_index)
{
  Submit("a", 0, "first");
  Give("k", 1);
  const view_delta old = mState.MakeDelta(0);
  Withdraw("k");
  Submit("b", 1, "second");
  state_view view;
  CHECK(view.Apply(mState.MakeDelta(0)));
  CHECK_FALSE(view.Apply(old));
  POINTERS_EQUAL(nullptr, view.FindKey(key_id("k")));
  LONGS_EQUAL(2, view.GetConfigurationVersion());
}

/** Guards against deltas whose size depends on the state instead of on the changes. */
TEST(control_state, delta_holds_only_the_changes_since_the_index_of_the_receiver)
{
  Submit("a", 0, "first");
  for (int number = 0; number < 200; ++number) {
    Give("k" + std::to_string(number), 1);
  }
  const state_index before = mIndex;
  Give("one more", 1);
  const view_delta delta = mState.MakeDelta(before);
  LONGS_EQUAL(1, delta.mKeys.size());
  CHECK_FALSE(delta.mConfiguration.has_value());
  CHECK_FALSE(delta.mIsSnapshot);
}
