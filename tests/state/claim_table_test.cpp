#include "citronpulley/state/claim_table.h"
#include "citronpulley/state/control_state.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

constexpr std::int64_t kIssuedAt = 0x018f00000000;
constexpr std::int64_t kHour = 3'600'000;
const std::string kKey = "018f0000-0000-7000-8000-000000000001";

claim_request MakeClaim(const std::string& aVm, std::uint64_t aNumber, std::string_view aBody = "a")
{
  return { { workspace_name("boats"), kKey }, { vm_name(aVm), 7, aNumber }, ComputeDigest(aBody) };
}

claim_outcome MakeRelease(const claim_request& aClaim)
{
  return { aClaim.mKey, aClaim.mHolder, true, false, {} };
}

claim_outcome MakeCompletion(const claim_request& aClaim, std::string aBody)
{
  return { aClaim.mKey, aClaim.mHolder, false, true, { 200, {}, std::move(aBody) } };
}

std::string MakeText(std::int64_t aWindowSeconds)
{
  return "deployment = \"t\"\nidempotency_window_seconds = " + std::to_string(aWindowSeconds) +
         R"(
[[regions]]
name = "r"
zones = ["a"]
capacity_per_second = 100
[[services]]
name = "s"
shift_cap_percent_per_minute = 10
[[services.routes]]
path = "/"
deadline_ms = 1000
[[workspaces]]
name = "boats"
rate_per_second = 10
burst = 10
)";
}

} // namespace

TEST_GROUP(claim_table)
{
  claim_verdict Claim(const claim_request& aClaim)
  {
    return mTable.Claim(aClaim, unix_time{ kIssuedAt + 1'000 }).mVerdict;
  }

  claim_table mTable;
};

/** Guards against a claim message that is delivered after its holder released the claim and then
 * blocks the key permanently. */
TEST(claim_table, delayed_claim_of_a_released_holder_is_refused)
{
  const claim_request first = MakeClaim("vm1", 1);
  CHECK(Claim(first) == claim_verdict::Granted);
  mTable.RecordOutcome(MakeRelease(first));
  CHECK(Claim(first) == claim_verdict::InProgress);
  const claim_request second = MakeClaim("vm2", 1);
  CHECK(Claim(second) == claim_verdict::Granted);
  CHECK(Claim(first) == claim_verdict::InProgress);
}

/** Guards against a claim that is delivered after its own release, is granted, and blocks the next
 * holder. */
TEST(claim_table, release_that_arrives_before_its_claim_keeps_the_key_free)
{
  const claim_request first = MakeClaim("vm1", 1);
  CHECK(mTable.RecordOutcome(MakeRelease(first)).mIsRecorded);
  CHECK(Claim(first) == claim_verdict::InProgress);
  CHECK(Claim(MakeClaim("vm2", 4)) == claim_verdict::Granted);
}

/** Guards against a delayed outcome of an earlier holder that releases or completes the claim of
 * the current one. */
TEST(claim_table, delayed_outcome_of_an_earlier_holder_changes_nothing)
{
  const claim_request first = MakeClaim("vm1", 1);
  const claim_request second = MakeClaim("vm2", 1);
  Claim(first);
  mTable.RecordOutcome(MakeRelease(first));
  Claim(second);
  mTable.RecordOutcome(MakeRelease(first));
  mTable.RecordOutcome(MakeCompletion(first, "wrong"));
  CHECK(Claim(MakeClaim("vm3", 1)) == claim_verdict::InProgress);
  mTable.RecordOutcome(MakeCompletion(second, "right"));
  mTable.RecordOutcome(MakeCompletion(second, "again"));
  mTable.RecordOutcome(MakeRelease(second));
  const claim_reply reply = mTable.Claim(MakeClaim("vm3", 2), unix_time{ kIssuedAt });
  CHECK(reply.mVerdict == claim_verdict::Completed);
  STRCMP_EQUAL("right", reply.mAnswer.mBody.c_str());
}

/** Guards against a second run of a request whose claim expired, after the window was made longer
 * or the clock went back. */
TEST(claim_table, expired_key_stays_refused_when_the_window_grows)
{
  control_state state;
  state_index index = 0;
  const auto apply = [&](std::int64_t aAfterMilliseconds, command_content aContent) {
    return state.Apply(++index, { kIssuedAt + aAfterMilliseconds, std::move(aContent) });
  };
  const auto claim = [&](std::int64_t aAfterMilliseconds, std::uint64_t aNumber) {
    return std::get<claim_reply>(apply(aAfterMilliseconds, MakeClaim("vm1", aNumber))).mVerdict;
  };
  apply(0, submit_configuration{ submission_id("1"), 0, MakeText(3'600) });
  CHECK(claim(0, 1) == claim_verdict::Granted);
  CHECK(claim(kHour - 1, 2) == claim_verdict::InProgress);
  apply(kHour - 1, submit_configuration{ submission_id("2"), 1, MakeText(600) });
  CHECK(claim(kHour - 1, 3) == claim_verdict::OutsideWindow);
  apply(kHour - 1, submit_configuration{ submission_id("3"), 2, MakeText(36'000) });
  CHECK(claim(kHour - 1, 4) == claim_verdict::OutsideWindow);
  CHECK(claim(0, 5) == claim_verdict::OutsideWindow);
}

/** Guards against claims that are shared between workspaces, and against a key that is reused for
 * another request. */
TEST(claim_table, key_is_scoped_by_workspace_and_bound_to_its_request)
{
  CHECK(Claim(MakeClaim("vm1", 1)) == claim_verdict::Granted);
  CHECK(Claim(MakeClaim("vm1", 2, "b")) == claim_verdict::KeyReused);
  claim_request other = MakeClaim("vm1", 3, "b");
  other.mKey.mWorkspace = workspace_name("nets");
  CHECK(Claim(other) == claim_verdict::Granted);
}
