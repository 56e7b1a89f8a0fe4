#include "citronpulley/dispatch/backend_dispatcher.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

constexpr microseconds kSecond{ 1'000'000 };

} // namespace

TEST_GROUP(backend_dispatcher)
{
  void Announce(const std::string& aName, std::uint32_t aSlots, std::uint32_t aRunning = 0)
  {
    server_announcement announcement;
    announcement.mServer = server_name(aName);
    announcement.mService = service_name("s");
    announcement.mSlots = aSlots;
    announcement.mRunning = aRunning;
    announcement.mIsLeaving = mIsLeaving;
    announcement.mHasRunningCount = mHasReport;
    announcement.mInstance = aName + mRun;
    mDispatcher.HandleAnnouncement(announcement, mIsOtherHomePossible, mNow, mActions);
  }

  /** Announces servers until their slow start has ended. */
  void AnnounceWarm(const std::vector<std::string>& aNames, std::uint32_t aSlots)
  {
    for (int step = 0; step < 6; ++step) {
      for (const std::string& name : aNames) {
        Announce(name, aSlots);
      }
      mNow += 2 * kSecond;
    }
    for (const std::string& name : aNames) {
      Announce(name, aSlots);
    }
  }

  std::uint64_t Submit(
    microseconds aTime = kSecond, bool aIsUrgent = false, bool aRunsAlone = false)
  {
    dispatch_job job;
    job.mJob = ++mLastJob;
    job.mService = service_name("s");
    job.mDeadline = mNow + aTime;
    job.mIsUrgent = aIsUrgent;
    job.mRunsAlone = aRunsAlone;
    job.mFingerprint = ComputeDigest(std::to_string(job.mJob));
    job.mRequest.mBody = std::to_string(job.mJob);
    mDispatcher.Submit(job, mNow, mActions);
    return job.mJob;
  }

  /** @return requests sent since the last call; all other collected actions are discarded */
  std::vector<send_to_backend> DrainSent()
  {
    std::vector<send_to_backend> sent;
    sent.reserve(mActions.size());
    for (const dispatcher_action& action : mActions) {
      if (const auto* send = std::get_if<send_to_backend>(&action)) {
        sent.push_back(*send);
      }
    }
    mActions.clear();
    return sent;
  }

  void Answer(std::uint64_t aDispatch, std::uint16_t aStatus = 200)
  {
    mDispatcher.HandleOutcome(aDispatch, http_answer{ aStatus, {}, {} }, mNow, mActions);
  }

  void LoseConnection(std::uint64_t aDispatch)
  {
    mDispatcher.HandleOutcome(
      aDispatch,
      backend_failure{ MakeError(error_code::ConnectionLost, step::ReadFromBackend, "", ""), true },
      mNow,
      mActions);
  }

  /** @return number of confirmed crashes reported */
  long CountCrashes() const
  {
    const std::vector<crash_report> reports = Find<crash_report>();
    return std::count_if(reports.begin(), reports.end(), [](const crash_report& aReport) {
      return !aReport.mIsCleared && !aReport.mIsUnconfirmed;
    });
  }

  template<typename Action>
  std::vector<Action> Find() const
  {
    std::vector<Action> found;
    for (const dispatcher_action& action : mActions) {
      if (const auto* one = std::get_if<Action>(&action)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  bool IsRefused(std::uint64_t aJob) const
  {
    const std::vector<job_done> ends = Find<job_done>();
    return std::any_of(ends.begin(), ends.end(), [aJob](const job_done& aEnd) {
      const auto* failure = std::get_if<request_failure>(&aEnd.mOutcome);
      return aEnd.mJob == aJob && failure != nullptr &&
             failure->mOutcome == request_outcome::NotRun;
    });
  }

  backend_dispatcher mDispatcher;
  std::vector<dispatcher_action> mActions;
  instant mNow{ kSecond };
  std::string mRun = "/1";
  std::uint64_t mLastJob = 0;
  bool mIsLeaving = false;
  bool mHasReport = true;
  bool mIsOtherHomePossible = false;
};

/** Guards against more running requests than slots, whatever the order of answers, cancellations,
 * deadlines and announcements. The simulated server keeps running a cancelled request for a while.
 */
TEST(backend_dispatcher, random_schedules_never_exceed_the_slots)
{
  struct fake_run
  {
    std::uint64_t mDispatch;
    instant mEndsAt;
    bool mIsClosed;
  };
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    mDispatcher = backend_dispatcher();
    std::mt19937_64 random(seed);
    std::map<std::string, std::vector<fake_run>> servers{ { "a", {} }, { "b", {} }, { "c", {} } };
    for (int step = 0; step < 4'000; ++step) {
      mNow += microseconds(random() % 10'000);
      for (auto& [name, runs] : servers) {
        if (random() % 40 == 0) {
          Announce(name, 3, static_cast<std::uint32_t>(runs.size()));
        }
        for (std::size_t index = 0; index < runs.size();) {
          if (runs[index].mEndsAt > mNow) {
            ++index;
            continue;
          }
          const fake_run ended = runs[index];
          runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(index));
          if (!ended.mIsClosed) {
            Answer(ended.mDispatch, random() % 20 == 0 ? 500 : 200);
          }
        }
      }
      if (random() % 3 != 0) {
        Submit(microseconds(20'000 + random() % 300'000), random() % 4 == 0, random() % 30 == 0);
      } else if (random() % 4 == 0) {
        mDispatcher.Cancel(
          mLastJob - random() % std::min<std::uint64_t>(mLastJob + 1, 8), mNow, mActions);
      }
      mDispatcher.Tick(mNow, mActions);
      for (const dispatcher_action& action : mActions) {
        if (const auto* cancel = std::get_if<cancel_backend_request>(&action)) {
          for (auto& [name, runs] : servers) {
            for (fake_run& run : runs) {
              if (run.mDispatch == cancel->mDispatch) {
                run.mIsClosed = true;
                run.mEndsAt = std::min(run.mEndsAt, mNow + microseconds(random() % 80'000));
              }
            }
          }
        } else if (const auto* send = std::get_if<send_to_backend>(&action)) {
          std::vector<fake_run>& runs = servers.at(send->mServer.mValue);
          runs.push_back({ send->mDispatch, mNow + microseconds(random() % 200'000), false });
          if (runs.size() > 3) {
            FAIL(("seed " + std::to_string(seed) + ": a fourth request on 3 slots").c_str());
          }
        }
      }
      mActions.clear();
    }
    CHECK(mLastJob > 1'000);
  }
}

/** Guards against a new home that sends requests while the former one may still do so. */
TEST(backend_dispatcher, requests_start_after_the_hold_period_of_another_home)
{
  mIsOtherHomePossible = true;
  for (int step = 0; step < 3; ++step) {
    Announce("a", 4);
    CHECK(IsRefused(Submit()));
    mNow += kSecond;
  }
  Announce("a", 4);
  Submit();
  LONGS_EQUAL(1, DrainSent().size());
}

/** Guards against a cold server that gets full load, and against a slow start that never ends. */
TEST(backend_dispatcher, slots_of_a_cold_server_grow_in_ten_seconds)
{
  Announce("a", 11);
  LONGS_EQUAL(1, mDispatcher.ListServers(mNow).front().mSlots);
  for (int second = 0; second < 10; ++second) {
    mNow += kSecond;
    Announce("a", 11);
    LONGS_EQUAL(2 + second, mDispatcher.ListServers(mNow).front().mSlots);
  }
  mRun = "/2";
  Announce("a", 11);
  LONGS_EQUAL(1, mDispatcher.ListServers(mNow).front().mSlots);
}

/** Guards against use of slots that are occupied by requests of another home, and against
 * reliance on load reports that have stopped arriving. */
TEST(backend_dispatcher, reported_requests_of_other_homes_occupy_slots_while_the_report_is_recent)
{
  AnnounceWarm({ "a" }, 4);
  Announce("a", 4, 3);
  Submit();
  Submit();
  LONGS_EQUAL(1, DrainSent().size());
  mHasReport = false;
  for (int second = 0; second < 3; ++second) {
    mNow += kSecond;
    Announce("a", 4);
  }
  Submit();
  Submit();
  CHECK(DrainSent().size() >= 2);
  for (int second = 0; second < 8; ++second) {
    mNow += kSecond;
    Announce("a", 4);
  }
  LONGS_EQUAL(2, mDispatcher.ListServers(mNow).front().mSlots);
}

/** Guards against new requests to a draining server, and against cancelling its running requests.
 */
TEST(backend_dispatcher, draining_server_finishes_running_requests_and_gets_no_new_ones)
{
  AnnounceWarm({ "a" }, 4);
  Submit();
  const std::vector<send_to_backend> sent = DrainSent();
  mIsLeaving = true;
  Announce("a", 4, 1);
  CHECK(IsRefused(Submit()));
  LONGS_EQUAL(0, DrainSent().size());
  Answer(sent.front().mDispatch);
  CHECK(std::holds_alternative<http_answer>(Find<job_done>().front().mOutcome));
}

/** Guards against a server that fails fast and therefore attracts the traffic, and against the
 * ejection of too many servers. */
TEST(backend_dispatcher, fast_failing_server_is_ejected_but_never_more_than_a_third)
{
  const std::vector<std::string> names{ "a", "b", "c", "d" };
  AnnounceWarm(names, 4);
  std::map<std::string, int> counts;
  for (int job = 0; job < 400; ++job) {
    Submit();
    const std::vector<send_to_backend> sent = DrainSent();
    LONGS_EQUAL(1, sent.size());
    const std::string& server = sent.front().mServer.mValue;
    ++counts[server];
    mNow += microseconds(server < "c" ? 1'000 : 20'000);
    Answer(sent.front().mDispatch, server < "c" ? 500 : 200);
    for (const std::string& name : names) {
      Announce(name, 4);
    }
  }
  CHECK(counts["a"] + counts["b"] < 40);
  const std::vector<homed_server> servers = mDispatcher.ListServers(mNow);
  CHECK(std::count_if(servers.begin(), servers.end(), [](const homed_server& aServer) {
          return !aServer.mAcceptsRequests;
        }) <= 1);
}

/** Guards against urgent requests that starve normal ones. */
TEST(backend_dispatcher, at_most_four_urgent_jobs_overtake_a_waiting_normal_job)
{
  AnnounceWarm({ "a" }, 1);
  Submit();
  std::uint64_t dispatch = DrainSent().front().mDispatch;
  std::vector<std::uint64_t> others;
  others.reserve(3);
  for (int job = 0; job < 3; ++job) {
    others.push_back(Submit());
  }
  for (int job = 0; job < 12; ++job) {
    Submit(kSecond, true);
  }
  std::string order;
  for (int job = 0; job < 15; ++job) {
    Answer(dispatch);
    const send_to_backend sent = DrainSent().front();
    dispatch = sent.mDispatch;
    const bool isOther = std::count(others.begin(), others.end(), std::stoull(sent.mRequest.mBody));
    order += isOther ? 'o' : 'u';
  }
  STRCMP_EQUAL("uuuuouuuuouuuuo", order.c_str());
}

/** Guards against a job that waits although its deadline cannot be met, and against a slow service
 * whose jobs are refused while slots are free. */
TEST(backend_dispatcher, job_that_cannot_meet_its_deadline_is_refused_at_once)
{
  AnnounceWarm({ "a" }, 1);
  for (int job = 0; job < 6; ++job) {
    Submit();
    mNow += microseconds(100'000);
    Answer(DrainSent().front().mDispatch);
  }
  DrainSent();
  CHECK_FALSE(IsRefused(Submit(microseconds(50'000))));
  CHECK(IsRefused(Submit(microseconds(150'000))));
  CHECK_FALSE(IsRefused(Submit(microseconds(350'000))));
}

/** Guards against more connections than the limit of the service. */
TEST(backend_dispatcher, connection_limit_bounds_the_running_requests)
{
  AnnounceWarm({ "a", "b" }, 4);
  mDispatcher.SetConnectionLimit(service_name("s"), 3);
  for (int job = 0; job < 8; ++job) {
    Submit();
  }
  LONGS_EQUAL(3, DrainSent().size());
}

/** Guards against a refusal by a server that counts as run, and a plain 503 that does not. */
TEST(backend_dispatcher, only_a_marked_503_counts_as_not_run)
{
  AnnounceWarm({ "a" }, 4);
  const std::uint64_t marked = Submit();
  const std::uint64_t plain = Submit();
  const std::vector<send_to_backend> sent = DrainSent();
  mDispatcher.HandleOutcome(sent[0].mDispatch,
                            http_answer{ 503, { { "Citronpulley-Not-Run", "true" } }, {} },
                            mNow,
                            mActions);
  Answer(sent[1].mDispatch, 503);
  CHECK(IsRefused(marked));
  CHECK_FALSE(IsRefused(plain));
}

/** Guards against a lost connection that is reported as a crash, and a crash that is not reported.
 */
TEST(backend_dispatcher,
     lost_connection_is_a_crash_only_with_a_new_instance_or_expired_announcement)
{
  AnnounceWarm({ "a" }, 4);
  Submit();
  Submit();
  std::vector<send_to_backend> sent = DrainSent();
  LoseConnection(sent[0].mDispatch);
  Announce("a", 4, 1);
  LONGS_EQUAL(0, Find<job_done>().size());
  mNow += kSecond;
  Announce("a", 4, 1);
  LONGS_EQUAL(0, CountCrashes());
  LONGS_EQUAL(1, Find<job_done>().size());
  mActions.clear();
  LoseConnection(sent[1].mDispatch);
  mRun = "/2";
  Announce("a", 4);
  LONGS_EQUAL(1, CountCrashes());
  LONGS_EQUAL(1, Find<job_done>().size());
  mActions.clear();
  Submit();
  sent = DrainSent();
  mNow += microseconds(10'000);
  LoseConnection(sent[0].mDispatch);
  for (int step = 0; step < 4; ++step) {
    mNow += kSecond;
    mDispatcher.Tick(mNow, mActions);
  }
  LONGS_EQUAL(1, CountCrashes());
}

/** Guards against a crash suspect that runs beside other requests, whichever of them starts first.
 */
TEST(backend_dispatcher, suspect_runs_alone)
{
  AnnounceWarm({ "a" }, 4);
  Submit();
  const std::uint64_t first = DrainSent().front().mDispatch;
  Submit(kSecond, false, true);
  Submit();
  LONGS_EQUAL(0, DrainSent().size());
  Answer(first);
  std::vector<send_to_backend> sent = DrainSent();
  LONGS_EQUAL(1, sent.size());
  STRCMP_EQUAL("2", sent.front().mRequest.mBody.c_str());
  Answer(sent.front().mDispatch);
  CHECK(Find<crash_report>().front().mIsCleared);
  STRCMP_EQUAL("3", DrainSent().front().mRequest.mBody.c_str());
}
