#include "citronpulley/fleet/entry_steering.h"
#include "citronpulley/steering/config_history.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

const service_name kService("stock");
const std::string kKey = "secret-key";

traffic_config MakeConfig(config_version aVersion)
{
  traffic_config config;
  config.mVersion = aVersion;
  config.mServices = { { kService }, { service_name("other") } };
  route_rule route;
  route.mName = "idempotent";
  route.mHost = "a.example";
  route.mPrefix = "/get/";
  route.mIsIdempotent = true;
  route.mMaxAttempts = 2;
  route.mTimeout = microseconds(1'000'000);
  route.mServices = { { kService, 1 } };
  config.mRoutes.push_back(route);
  route.mName = "once";
  route.mPrefix = "/post/";
  route.mIsIdempotent = false;
  config.mRoutes.push_back(route);
  route.mName = "split";
  route.mPrefix = "/split/";
  route.mServices = { { kService, 90 }, { service_name("other"), 10 } };
  config.mRoutes.push_back(route);
  workspace_rule workspace;
  workspace.mName = workspace_name("boats");
  workspace.mKeys = { kKey };
  config.mWorkspaces = { workspace };
  return config;
}

/** @return the whole configuration, encoded as in an update */
std::string MakeWholeConfig(config_version aVersion)
{
  config_history history;
  history.Update(MakeConfig(aVersion));
  return history.GetEncodedDelta(0);
}

entry_steering_settings MakeSettings()
{
  entry_steering_settings settings;
  settings.mLocation.mVm = vm_name("10.0.0.1:7600");
  settings.mLocation.mZone = zone_name("a");
  settings.mLocation.mRegion = region_name("north");
  settings.mRegions = { { zone_name("a"), region_name("north") } };
  settings.mLease = microseconds(4'800'000);
  return settings;
}

} // namespace

TEST_GROUP(entry_steering)
{
  instant mNow{ microseconds(100'000'000) };
  entry_steering mSteering{ MakeSettings() };
  std::string mKey = kKey;

  static bool IsNewConfig(const result<bool>& aOutcome)
  {
    return aOutcome && aOutcome.Get();
  }

  bool Update(config_version aVersion, microseconds aProofAge = microseconds(0))
  {
    const entry_report report = mSteering.MakeReport(true, mNow);
    entry_update update;
    update.mNumber = report.mNumber;
    update.mIsConfirmed = true;
    update.mProofAge = aProofAge.count();
    update.mConfig = aVersion;
    update.mConfigDelta = MakeWholeConfig(aVersion);
    update.mListEpoch = 1;
    update.mIsWholeList = true;
    update.mListSnapshot = EncodeBackendList({});
    for (const char* id : { "i-1", "i-2", "i-3" }) {
      backend_record record;
      record.mId = id;
      record.mService = kService;
      record.mAddress = server_name(std::string("10.1.0.1:") + id);
      record.mZone = zone_name("a");
      record.mSlots = 4;
      update.mBackends.push_back(record);
    }
    return IsNewConfig(mSteering.HandleUpdate(update, mNow));
  }

  std::variant<admission_ticket, refusal> Admit(std::string_view aPath)
  {
    request_info info;
    info.mHost = "a.example";
    info.mPath = aPath;
    info.mKey = &mKey;
    info.mFingerprint = [](const workspace_name&) { return digest{}; };
    return mSteering.Admit(info, mNow);
  }

  admission_ticket GetTicket(std::string_view aPath)
  {
    return std::get<admission_ticket>(Admit(aPath));
  }

  refusal_reason GetReason(std::string_view aPath)
  {
    return std::get<refusal>(Admit(aPath)).mReason;
  }

  next_step Attempt(admission_ticket & aTicket, attempt_outcome aOutcome)
  {
    const placement chosen = std::get<placement>(mSteering.Place(aTicket, mNow));
    mSteering.RecordSent(chosen, mNow);
    return mSteering.HandleAttemptEnd(
      aTicket, chosen, aOutcome, std::nullopt, microseconds(1'000), mNow);
  }
};

/** Guards against responding with 404 or 401 before the VM has any configuration. */
TEST(entry_steering, refuses_as_not_ready_before_the_first_configuration)
{
  CHECK(refusal_reason::NoConfig == GetReason("/get/x"));
  CHECK(Update(1));
  CHECK(std::holds_alternative<admission_ticket>(Admit("/get/x")));
  CHECK(refusal_reason::UnknownRoute == GetReason("/nothing/x"));
  mKey = "wrong";
  CHECK(refusal_reason::UnknownKey == GetReason("/get/x"));
}

/**
 * Guards against counting the lease from the arrival of the update: the proof of leadership may be
 * as old as the report.
 */
TEST(entry_steering, the_lease_counts_from_the_time_at_which_the_report_was_sent)
{
  Update(1);
  const instant sentAt = mNow;
  entry_update update;
  update.mNumber = mSteering.MakeReport(true, mNow).mNumber;
  update.mIsConfirmed = true;
  update.mConfig = 1;
  mNow += microseconds(700'000);
  CHECK(static_cast<bool>(mSteering.HandleUpdate(update, mNow)));
  CHECK(mSteering.GetFreshUntil() == sentAt + microseconds(4'800'000));
}

/**
 * Guards against callers that use up their few retries before a control VM can be reached again.
 */
TEST(entry_steering, without_a_control_vm_the_retry_delay_covers_an_election)
{
  const microseconds early = std::get<refusal>(Admit("/get/x")).mRetryAfter;
  CHECK(early >= microseconds(1'000'000));
  Update(1);
  mNow += microseconds(4'800'000);
  const refusal stale = std::get<refusal>(Admit("/get/x"));
  CHECK(refusal_reason::NotFresh == stale.mReason);
  CHECK(stale.mRetryAfter >= microseconds(1'000'000));
}

/** Guards against a VM without contact to the leader accepting a withdrawn key. */
TEST(entry_steering, keys_are_refused_once_the_proof_is_too_old)
{
  Update(1, microseconds(300'000));
  mNow += microseconds(4'499'999);
  CHECK(std::holds_alternative<admission_ticket>(Admit("/get/x")));
  mNow += microseconds(1);
  CHECK(refusal_reason::NotFresh == GetReason("/get/x"));
}

/** Guards against going back to an older configuration. */
TEST(entry_steering, never_applies_an_older_configuration)
{
  CHECK(Update(5));
  CHECK_FALSE(Update(4));
  UNSIGNED_LONGS_EQUAL(5, mSteering.GetConfig()->GetConfig().mVersion);
}

/** Guards against an update that answers an earlier report and undoes a later one. */
TEST(entry_steering, ignores_an_update_that_answers_a_report_before_the_last_one_answered)
{
  const entry_report earlier = mSteering.MakeReport(true, mNow);
  CHECK(Update(2));
  const instant freshUntil = mSteering.GetFreshUntil();
  mNow += microseconds(100'000);
  entry_update update;
  update.mNumber = earlier.mNumber;
  update.mIsConfirmed = true;
  update.mConfig = 3;
  update.mConfigDelta = MakeWholeConfig(3);
  CHECK_FALSE(IsNewConfig(mSteering.HandleUpdate(update, mNow)));
  UNSIGNED_LONGS_EQUAL(2, mSteering.GetConfig()->GetConfig().mVersion);
  CHECK(freshUntil == mSteering.GetFreshUntil());
}

/**
 * Guards against discarding what a slow leader sent, which makes every VM ask for it again, and
 * against a late update that extends the lease beyond its proof.
 */
TEST(entry_steering, a_late_update_is_used_and_counts_from_its_own_report)
{
  const instant sentAt = mNow;
  const entry_report report = mSteering.MakeReport(true, mNow);
  mNow += microseconds(1'500'000);
  mSteering.MakeReport(true, mNow);
  entry_update update;
  update.mNumber = report.mNumber;
  update.mIsConfirmed = true;
  update.mConfig = 1;
  update.mConfigDelta = MakeWholeConfig(1);
  CHECK(IsNewConfig(mSteering.HandleUpdate(update, mNow)));
  CHECK(sentAt + microseconds(4'800'000) == mSteering.GetFreshUntil());
}

/** Guards against running a request twice that is not idempotent. */
TEST(entry_steering, a_request_that_may_have_run_is_not_sent_again)
{
  Update(1);
  admission_ticket lost = GetTicket("/post/x");
  CHECK(next_step::Fail == Attempt(lost, attempt_outcome::Lost));
  CHECK(lost.mMayHaveRun);
  admission_ticket failed = GetTicket("/post/x");
  CHECK(next_step::ForwardResponse == Attempt(failed, attempt_outcome::Failed));
}

/**
 * Guards against returning a failure to the caller although another backend server can run the
 * request.
 */
TEST(entry_steering, a_request_that_did_not_run_is_sent_again)
{
  Update(1);
  for (const attempt_outcome outcome :
       { attempt_outcome::NotSent, attempt_outcome::NotExecuted, attempt_outcome::WrongInstance }) {
    admission_ticket ticket = GetTicket("/post/x");
    CHECK(next_step::Retry == Attempt(ticket, outcome));
    CHECK_FALSE(ticket.mMayHaveRun);
    Update(1);
    mNow += microseconds(10'000'000);
    Update(1);
  }
}

/** Guards against sending a request to more backend servers than its route permits. */
TEST(entry_steering, attempts_end_at_the_limit_of_the_route)
{
  Update(1);
  admission_ticket ticket = GetTicket("/get/x");
  CHECK(next_step::Retry == Attempt(ticket, attempt_outcome::Lost));
  CHECK(next_step::Fail == Attempt(ticket, attempt_outcome::Lost));
}

/**
 * Guards against reporting to the caller that the request did not run after an attempt that may
 * have run.
 */
TEST(entry_steering, not_executed_on_the_last_attempt_does_not_cover_the_first)
{
  Update(1);
  admission_ticket ticket = GetTicket("/get/x");
  CHECK(next_step::Retry == Attempt(ticket, attempt_outcome::Lost));
  CHECK(next_step::Fail == Attempt(ticket, attempt_outcome::NotExecuted));
}

/** Guards against exceeding the retry budget of a service. */
TEST(entry_steering, retries_stay_within_their_budget)
{
  Update(1);
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    admission_ticket ticket = GetTicket("/get/x");
    retries += Attempt(ticket, attempt_outcome::NotExecuted) == next_step::Retry ? 1 : 0;
  }
  CHECK(retries <= 0.12 * 1'000 + 2);
  CHECK(retries >= 100);
}

/** Guards against a traffic split that drifts from its weights. */
TEST(entry_steering, weights_are_kept_exactly)
{
  Update(1);
  int other = 0;
  for (int i = 0; i < 1'000; ++i) {
    other += GetTicket("/split/x").mPlacement.mService == service_name("other") ? 1 : 0;
  }
  LONGS_EQUAL(100, other);
}

/**
 * Guards against sending requests to a backend server whose departure a former leader acknowledged:
 * the new leader never listed it, and has received too few announcements for its full list to
 * remove others.
 */
TEST(entry_steering, a_departure_is_applied_although_the_new_leader_never_listed_the_backend_server)
{
  Update(1);
  entry_update update;
  update.mNumber = mSteering.MakeReport(true, mNow).mNumber;
  update.mIsConfirmed = true;
  update.mConfig = 1;
  update.mListEpoch = 2;
  update.mIsWholeList = true;
  update.mListSnapshot = EncodeBackendList({});
  update.mDepartures = { { "i-1", 0 }, { "i-2", 0 } };
  CHECK(static_cast<bool>(mSteering.HandleUpdate(update, mNow)));
  LONGS_EQUAL(1, mSteering.GetPool().GetCount());
}

/**
 * Guards against a process that was paused, or that waited for a connection, and then sends what is
 * no longer permitted: to a backend server that left, with a key whose lease ran out, or with a
 * deadline that counts from before.
 */
TEST(entry_steering, nothing_is_sent_on_a_permission_that_ran_out)
{
  Update(1);
  admission_ticket ticket = GetTicket("/get/x");
  const placement chosen = std::get<placement>(mSteering.Place(ticket, mNow));
  CHECK(mSteering.MaySend(ticket, chosen, mNow, mNow + microseconds(200'000)));
  CHECK_FALSE(mSteering.MaySend(ticket, chosen, mNow, mNow + microseconds(900'000)));
  // The lease ends 4.8 s after the update; the deadline of this ticket lies beyond it.
  ticket.mDeadline = mNow + microseconds(9'000'000);
  mNow += microseconds(5'000'000);
  CHECK_FALSE(mSteering.MaySend(ticket, chosen, mNow, mNow));
  CHECK(refusal_reason::NotFresh == std::get<refusal>(mSteering.Place(ticket, mNow)).mReason);
  Update(1);
  CHECK(mSteering.MaySend(ticket, chosen, mNow, mNow));
  entry_update update;
  update.mNumber = mSteering.MakeReport(true, mNow).mNumber;
  update.mIsConfirmed = true;
  update.mConfig = 1;
  update.mListEpoch = 1;
  update.mRemoved = { chosen.mBackend };
  CHECK(static_cast<bool>(mSteering.HandleUpdate(update, mNow)));
  CHECK_FALSE(mSteering.MaySend(ticket, chosen, mNow, mNow));
}

/** Guards against a withheld attempt that uses up an attempt or counts against the backend server.
 */
TEST(entry_steering, a_withheld_attempt_is_placed_again)
{
  Update(1);
  admission_ticket ticket = GetTicket("/post/x");
  for (int i = 0; i < 2; ++i) {
    CHECK(next_step::Retry == Attempt(ticket, attempt_outcome::Withheld));
  }
  LONGS_EQUAL(0, ticket.mAttempts);
  CHECK_FALSE(ticket.mMayHaveRun);
  CHECK(std::holds_alternative<placement>(mSteering.Place(ticket, mNow)));
}

/** Guards against losing the list of a leader whose snapshot is older than its last changes. */
TEST(entry_steering, a_full_list_is_its_snapshot_and_the_changes_after_it)
{
  Update(1);
  entry_update update;
  update.mNumber = mSteering.MakeReport(true, mNow).mNumber;
  update.mIsConfirmed = true;
  update.mConfig = 1;
  update.mListEpoch = 2;
  update.mIsWholeList = true;
  std::vector<backend_record> snapshot(4);
  for (std::size_t i = 0; i < snapshot.size(); ++i) {
    snapshot[i].mId = "n-" + std::to_string(i);
    snapshot[i].mService = kService;
    snapshot[i].mSlots = 4;
  }
  update.mListSnapshot = EncodeBackendList(snapshot);
  update.mBackends = { snapshot.front() };
  update.mBackends.front().mId = "n-later";
  update.mRemoved = { "n-2" };
  CHECK(static_cast<bool>(mSteering.HandleUpdate(update, mNow)));
  LONGS_EQUAL(4, mSteering.GetPool().GetCount());
  // A list that cannot be read changes nothing, and the VM asks again.
  entry_update damaged = update;
  damaged.mNumber = mSteering.MakeReport(true, mNow).mNumber;
  damaged.mListSnapshot.resize(damaged.mListSnapshot.size() / 2);
  CHECK_FALSE(static_cast<bool>(mSteering.HandleUpdate(damaged, mNow)));
  LONGS_EQUAL(4, mSteering.GetPool().GetCount());
}

/**
 * Guards against admitting a quarantined request, which would crash one backend server after the
 * other.
 */
TEST(entry_steering, a_quarantined_request_is_refused)
{
  Update(1);
  entry_update update;
  update.mNumber = mSteering.MakeReport(true, mNow).mNumber;
  update.mIsConfirmed = true;
  update.mConfig = 1;
  update.mListEpoch = 1;
  update.mQuarantined = { digest{} };
  CHECK(static_cast<bool>(mSteering.HandleUpdate(update, mNow)));
  CHECK(refusal_reason::Quarantined == GetReason("/get/x"));
}

/**
 * Guards against refusing a look-up that many callers share: it is in progress at any backend
 * server that crashes, whatever the cause.
 */
TEST(entry_steering, a_request_that_is_answered_does_not_count_as_the_cause_of_a_crash)
{
  Update(1);
  const digest shared;
  const digest crashing = ComputeDigest("crashing");
  mSteering.RecordAnswered(shared, mNow);
  mSteering.RecordCrash({ { "i-1", 0 }, kService, { shared, crashing } }, mNow);
  const std::vector<crash_notice> expected{ { crashing, "i-1/0" } };
  CHECK(expected == mSteering.MakeReport(true, mNow).mCrashes);
  // Without answers it counts again.
  mNow += crash_monitor::kAnswerLifetime;
  mSteering.RecordCrash({ { "i-2", 0 }, kService, { shared } }, mNow);
  const std::vector<crash_notice> expectedLater{ { crashing, "i-1/0" }, { shared, "i-2/0" } };
  CHECK(expectedLater == mSteering.MakeReport(true, mNow).mCrashes);
}

/** Guards against refusing it at all VMs because some saw it only on servers that crashed. */
TEST(entry_steering, a_quarantined_request_that_is_answered_here_is_admitted)
{
  Update(1);
  const auto quarantine = [this] {
    entry_update update;
    update.mNumber = mSteering.MakeReport(true, mNow).mNumber;
    update.mIsConfirmed = true;
    update.mConfig = 1;
    update.mListEpoch = 1;
    update.mQuarantined = { digest{} };
    CHECK(static_cast<bool>(mSteering.HandleUpdate(update, mNow)));
  };
  mSteering.RecordAnswered(digest{}, mNow);
  quarantine();
  GetTicket("/get/x");
  mNow += crash_monitor::kAnswerLifetime;
  quarantine();
  CHECK(refusal_reason::Quarantined == GetReason("/get/x"));
}
