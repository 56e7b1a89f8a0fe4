#include "citronpulley/replay/replay_runner.h"

#include "citronpulley/base/digest.h"
#include "citronpulley/replay/simulated_servers.h"
#include "citronpulley/replay/simulated_vms.h"
#include "citronpulley/replay/virtual_time_scheduler.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <utility>

namespace citronpulley {

namespace {

/** Time after which callers abandon a request unless the event sets `give_up_after_ms`. */
constexpr microseconds kCallerTimeout{ 10'000'000 };
/** Maximum number of VMs that a caller of a `load` event tries. */
constexpr std::size_t kMaxCallerAttempts = 3;

/**
 * @return the configuration text with another routing policy; unchanged when the policy is empty
 */
std::string ReplacePolicy(const std::string& aText, const std::string& aPolicy)
{
  if (aPolicy.empty()) {
    return aText;
  }
  std::string text = "routing_policy = \"" + aPolicy + "\"\n";
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find('\n', start), aText.size() - 1);
    const std::string line = aText.substr(start, end - start + 1);
    if (!line.starts_with("routing_policy")) {
      text += line;
    }
    start = end + 1;
  }
  return text;
}

/** @return idempotency key (UUID version 7) made of a time and the digest of a name */
std::string MakeIdempotencyKey(const std::string& aName, std::int64_t aUnixMilliseconds)
{
  const std::string tail = ToHex(ComputeDigest(aName));
  char time[13];
  std::snprintf(time, sizeof time, "%012llx", static_cast<unsigned long long>(aUnixMilliseconds));
  const std::string head(time);
  return head.substr(0, 8) + "-" + head.substr(8, 4) + "-7" + tail.substr(0, 3) + "-8" +
         tail.substr(3, 3) + "-" + tail.substr(6, 12);
}

/** Plays the events of a trace: sends the requests of callers and operators. */
class trace_player
{
public:
  trace_player(const trace& aTrace, const std::string& aPolicy)
    : mTrace(aTrace)
    , mPolicy(aPolicy)
    , mServers(aTrace, mScheduler, mHistory)
    , mVms(aTrace, mScheduler, mServers, mHistory)
  {
  }

  replay_history Run()
  {
    mVms.Start();
    for (const trace_entry& event : mTrace.mEvents) {
      if (event.GetKind() == "give_key") {
        mWorkspaces[event.GetText("key")] = event.GetText("workspace");
      }
      if (event.GetKind() == "load") {
        ScheduleLoad(event);
      } else {
        mScheduler.ScheduleAt(event.GetTime("at_ms"), [this, &event] { Apply(event); });
      }
    }
    mScheduler.RunUntil(mTrace.mEndsAt);
    return std::move(mHistory);
  }

private:
  /** Request of a caller or operator with the VMs that it tries in turn. */
  struct caller_attempt
  {
    /** Index in replay_history::mRequests. */
    std::size_t mRecordIndex = 0;
    http_request_received mRequest;
    /** VMs to try in this order. */
    std::vector<std::string> mVms;
    /** Index of the current VM in mVms. */
    std::size_t mAttempt = 0;
    microseconds mGivesUpAt{ 0 };
  };

  /** @return API key that the system stores for a key name of the trace */
  static std::string MakeApiKey(const std::string& aName)
  {
    return "cpk_" + aName + "_" + ToHex(ComputeDigest("synthetic key " + aName));
  }

  void Apply(const trace_entry& aEvent)
  {
    const std::string& kind = aEvent.GetKind();
    if (kind == "request") {
      std::vector<std::string> vms{ aEvent.GetText("vm") };
      for (const std::string& name : aEvent.GetList("failover")) {
        vms.push_back(name);
      }
      SendRequest(aEvent, aEvent.GetText("id"), aEvent.GetText("idempotency_key"), vms);
    } else if (kind == "resend") {
      Resend(aEvent);
    } else if (kind == "give_key") {
      const boost::json::object body{ { "key", MakeApiKey(aEvent.GetText("key")) },
                                      { "workspace", aEvent.GetText("workspace") } };
      SendOperation(aEvent, "POST", "/v1/keys", boost::json::serialize(body));
    } else if (kind == "withdraw_key") {
      SendOperation(aEvent, "DELETE", "/v1/keys/" + aEvent.GetText("key"), "");
    } else if (kind == "submit") {
      const std::string& text = mTrace.mConfigTexts.at(aEvent.GetText("text"));
      const boost::json::object body{ { "submission", aEvent.GetText("submission") },
                                      { "expected_version",
                                        aEvent.GetInteger("expected_version", 0) },
                                      { "text", ReplacePolicy(text, mPolicy) } };
      if (aEvent.Has("drains")) {
        mHistory.mDrainEvents.push_back({ "drain", aEvent.GetText("drains"), mScheduler.GetNow() });
      }
      SendOperation(aEvent, "POST", "/v1/config", boost::json::serialize(body));
    } else if (kind.starts_with("server_")) {
      mServers.Apply(aEvent);
    } else {
      mVms.Apply(aEvent);
    }
  }

  /** Schedules all requests of a `load` event. */
  void ScheduleLoad(const trace_entry& aEvent)
  {
    std::vector<std::string> vms;
    for (const std::string& name : aEvent.GetList("vms")) {
      for (const std::string& vm : mTrace.ListEntryVms(name)) {
        vms.push_back(vm);
      }
    }
    const double rate = aEvent.GetNumber("rate_per_second", 1);
    const bool isPoisson = aEvent.GetBoolean("poisson", true);
    std::mt19937_64 random(mTrace.mSeed * 1'000'003 + aEvent.GetLine() +
                           static_cast<std::uint64_t>(aEvent.GetInteger("seed", 0)) * 7'919);
    const std::string name =
      aEvent.GetText("group", "load") + "-" + std::to_string(aEvent.GetLine());
    const double end = aEvent.GetNumber("for_ms", 0) * 1'000;
    double offset = 0;
    for (std::size_t number = 1; rate > 0 && !vms.empty(); ++number) {
      // Computed here so that all platforms give the same times; the distributions of the standard
      // library differ between implementations.
      const double uniform = (static_cast<double>(random() >> 11U) + 0.5) / 9007199254740992.0;
      offset += 1e6 / rate * (isPoisson ? -std::log(uniform) : 1);
      if (offset >= end) {
        return;
      }
      std::vector<std::string> attemptVms;
      const std::size_t first = random() % vms.size();
      const std::size_t count = aEvent.GetBoolean("failover", false) ? vms.size() : 1;
      for (std::size_t index = 0; index < std::min(count, kMaxCallerAttempts); ++index) {
        attemptVms.push_back(vms[(first + index) % vms.size()]);
      }
      const std::string id = name + "-" + std::to_string(number);
      const bool hasKey = aEvent.GetBoolean("own_idempotency_keys", false);
      mScheduler.ScheduleAt(aEvent.GetTime("at_ms") +
                              microseconds(static_cast<std::int64_t>(offset)),
                            [this, &aEvent, id, hasKey, attemptVms = std::move(attemptVms)] {
                              SendRequest(aEvent, id, hasKey ? id : "", attemptVms);
                            });
    }
  }

  void SendRequest(const trace_entry& aEvent,
                   const std::string& aId,
                   const std::string& aIdempotencyKey,
                   std::vector<std::string> aVms)
  {
    caller_attempt attempt;
    http_request_received& request = attempt.mRequest;
    request.mMethod = aEvent.GetText("method", "GET");
    request.mTarget = aEvent.GetText("path");
    request.mBody = aEvent.GetText("body");
    const auto add = [&](const char* aName, std::string aValue) {
      request.mHeaders.push_back({ aName, std::move(aValue) });
    };
    if (aEvent.Has("key")) {
      add("Authorization", "Bearer " + MakeApiKey(aEvent.GetText("key")));
    }
    if (aEvent.Has("deadline_ms")) {
      add("Citronpulley-Deadline-Ms", std::to_string(aEvent.GetInteger("deadline_ms", 0)));
    }
    if (aEvent.GetBoolean("urgent", false)) {
      add("Citronpulley-Priority", "urgent");
    }
    if (!aIdempotencyKey.empty()) {
      const std::int64_t sentAt =
        mTrace.mStartsAt.mMilliseconds + mScheduler.GetNow().count() / 1'000;
      const std::int64_t age = aEvent.GetTime("idempotency_age_ms").count() / 1'000;
      const auto key = mIdempotencyKeys.emplace(aIdempotencyKey,
                                                MakeIdempotencyKey(aIdempotencyKey, sentAt - age));
      add("Idempotency-Key", key.first->second);
    }
    request_record record;
    record.mId = aId;
    record.mGroup = aEvent.GetText("group");
    record.mWorkspace = aEvent.Has("key") ? mWorkspaces.at(aEvent.GetText("key")) : "";
    record.mIdempotencyKey = aIdempotencyKey;
    attempt.mVms = std::move(aVms);
    attempt.mGivesUpAt =
      mScheduler.GetNow() + aEvent.GetTime("give_up_after_ms", kCallerTimeout.count() / 1e3);
    StartRequest(std::move(record), std::move(attempt));
  }

  /** Sends the request of an earlier event again; ignored when that one was not sent. */
  void Resend(const trace_entry& aEvent)
  {
    const auto first = mSentRequests.find(aEvent.GetText("of"));
    if (first == mSentRequests.end()) {
      return;
    }
    caller_attempt attempt = first->second;
    attempt.mVms = { aEvent.GetText("vm", attempt.mVms.front()) };
    attempt.mGivesUpAt = mScheduler.GetNow() + kCallerTimeout;
    request_record record;
    record.mId = aEvent.GetText("id");
    record.mGroup = aEvent.GetText("group", mHistory.mRequests[attempt.mRecordIndex].mGroup);
    record.mWorkspace = mHistory.mRequests[attempt.mRecordIndex].mWorkspace;
    record.mIdempotencyKey = mHistory.mRequests[attempt.mRecordIndex].mIdempotencyKey;
    record.mIsOperation = mHistory.mRequests[attempt.mRecordIndex].mIsOperation;
    StartRequest(std::move(record), std::move(attempt));
  }

  void SendOperation(const trace_entry& aEvent,
                     const std::string& aMethod,
                     const std::string& aTarget,
                     const std::string& aBody)
  {
    caller_attempt attempt;
    attempt.mRequest.mMethod = aMethod;
    attempt.mRequest.mTarget = aTarget;
    attempt.mRequest.mBody = aBody;
    attempt.mRequest.mHeaders.push_back(
      { "Authorization", "Bearer " + simulated_vms::GetOperatorKey() });
    const auto control = std::find_if(
      mTrace.mVms.begin(), mTrace.mVms.end(), [](const trace_vm& aVm) { return aVm.mIsControl; });
    attempt.mVms = { aEvent.GetText("vm", control->mName) };
    attempt.mGivesUpAt = mScheduler.GetNow() + kCallerTimeout;
    request_record record;
    record.mId = aEvent.GetText("id");
    record.mIsOperation = true;
    StartRequest(std::move(record), std::move(attempt));
  }

  void StartRequest(request_record aRecord, caller_attempt aAttempt)
  {
    aRecord.mMethod = aAttempt.mRequest.mMethod;
    aRecord.mPath = aAttempt.mRequest.mTarget;
    aRecord.mBody = aRecord.mIsOperation ? "" : aAttempt.mRequest.mBody;
    aRecord.mVm = aAttempt.mVms.front();
    aRecord.mSentAt = mScheduler.GetNow();
    aAttempt.mRecordIndex = mHistory.mRequests.size();
    std::erase_if(aAttempt.mRequest.mHeaders,
                  [](const http_header& aHeader) { return aHeader.mName == "X-Replay-Request"; });
    if (!aRecord.mId.empty()) {
      aAttempt.mRequest.mHeaders.push_back({ "X-Replay-Request", aRecord.mId });
      mSentRequests.emplace(aRecord.mId, aAttempt);
    }
    mHistory.mRequests.push_back(std::move(aRecord));
    SendAttempt(std::move(aAttempt));
  }

  void SendAttempt(caller_attempt aAttempt)
  {
    const std::size_t vm = mVms.GetPosition(aAttempt.mVms[aAttempt.mAttempt]);
    mHistory.mRequests[aAttempt.mRecordIndex].mVm = aAttempt.mVms[aAttempt.mAttempt];
    const microseconds delay = mTrace.mDelays.mClient;
    mScheduler.ScheduleAfter(delay, [this, vm, delay, attempt = std::move(aAttempt)] {
      if (!mVms.IsUp(vm)) {
        mScheduler.ScheduleAfter(
          delay, [this, attempt] { EndAttempt(attempt, std::nullopt, "no_connection"); });
        return;
      }
      const auto isAnswered = std::make_shared<bool>(false);
      const std::uint64_t number =
        mVms.DeliverHttp(vm, attempt.mRequest, [=, this](std::optional<http_answer> aAnswer) {
          *isAnswered = true;
          mScheduler.ScheduleAfter(delay, [this, attempt, answer = std::move(aAnswer)] {
            EndAttempt(attempt, answer, "connection_lost");
          });
        });
      mScheduler.ScheduleAt(attempt.mGivesUpAt, [=, this] {
        if (!*isAnswered) {
          mVms.CloseHttp(vm, number);
          EndAttempt(attempt, std::nullopt, "gave_up");
        }
      });
    });
  }

  /**
   * Records the result of an attempt. The caller tries the next VM after a refused connection or a
   * 503 for a request that was not run, as long as it has time left.
   */
  void EndAttempt(caller_attempt aAttempt,
                  const std::optional<http_answer>& aAnswer,
                  const std::string& aCodeWithoutAnswer)
  {
    request_record& record = mHistory.mRequests[aAttempt.mRecordIndex];
    record.mIsEnded = true;
    record.mEndedAt = mScheduler.GetNow();
    record.mStatus = aAnswer ? aAnswer->mStatus : 0;
    record.mCode = aAnswer ? "ok" : aCodeWithoutAnswer;
    record.mOutcome.clear();
    if (aAnswer) {
      ParseAnswer(*aAnswer, record);
    }
    const bool isRefusedConnection = !aAnswer && aCodeWithoutAnswer == "no_connection";
    const bool isUnavailable = record.mStatus == 503 && record.mOutcome == "not_run";
    const bool hasTime = mScheduler.GetNow() < aAttempt.mGivesUpAt;
    if ((isRefusedConnection || isUnavailable) && hasTime &&
        aAttempt.mAttempt + 1 < aAttempt.mVms.size()) {
      ++aAttempt.mAttempt;
      record.mIsEnded = false;
      SendAttempt(std::move(aAttempt));
    }
  }

  static void ParseAnswer(const http_answer& aAnswer, request_record& aRecord)
  {
    aRecord.mAnswer = aAnswer.mBody;
    boost::system::error_code failure;
    const boost::json::value body = boost::json::parse(aAnswer.mBody, failure);
    if (failure || !body.is_object()) {
      return;
    }
    const auto read = [](const boost::json::object& aObject, const char* aKey) {
      const boost::json::value* value = aObject.if_contains(aKey);
      return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
    };
    if (const auto* fault = body.get_object().if_contains("error")) {
      aRecord.mCode = read(fault->get_object(), "code");
      aRecord.mOutcome = read(fault->get_object(), "outcome");
      return;
    }
    aRecord.mServer = read(body.get_object(), "server");
    aRecord.mZone = read(body.get_object(), "zone");
    aRecord.mRegion = read(body.get_object(), "region");
    aRecord.mAnsweredRequest = read(body.get_object(), "request");
  }

  const trace& mTrace;
  std::string mPolicy;
  virtual_time_scheduler mScheduler;
  replay_history mHistory;
  simulated_servers mServers;
  simulated_vms mVms;
  /** Workspaces by key name. */
  std::map<std::string, std::string> mWorkspaces;
  /** Idempotency keys by their name in the trace. */
  std::map<std::string, std::string> mIdempotencyKeys;
  /** First attempts by request id, for Resend(). */
  std::map<std::string, caller_attempt> mSentRequests;
};

} // namespace

result<replay_history> RunTrace(const trace& aTrace, const std::string& aPolicy)
{
  const auto controlVms = std::count_if(
    aTrace.mVms.begin(), aTrace.mVms.end(), [](const trace_vm& aVm) { return aVm.mIsControl; });
  if (controlVms < 1 ||
      static_cast<std::size_t>(controlVms) > control_vm_driver::GetMaxControlVms()) {
    return MakeError(error_code::BadRequest,
                     step::Recover,
                     aTrace.mFile,
                     "the trace must declare 1 to " +
                       std::to_string(control_vm_driver::GetMaxControlVms()) +
                       " control VMs, but declares " + std::to_string(controlVms));
  }
  return trace_player(aTrace, aPolicy).Run();
}

} // namespace citronpulley
