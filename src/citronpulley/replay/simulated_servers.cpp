#include "citronpulley/replay/simulated_servers.h"

#include "citronpulley/node/caller_request.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace citronpulley {

simulated_servers::simulated_servers(const trace& aTrace,
                                     virtual_time_scheduler& aScheduler,
                                     replay_history& aHistory)
  : mTrace(aTrace)
  , mScheduler(aScheduler)
  , mHistory(aHistory)
  , mServers(aTrace.mServers.size())
{
  for (std::size_t index = 0; index < mServers.size(); ++index) {
    mServersByAddress.emplace(MakeAddress(index), index);
  }
}

std::string simulated_servers::MakeAddress(std::size_t aServer)
{
  return "127.42." + std::to_string(aServer / 250) + "." + std::to_string(aServer % 250 + 1) +
         ":9000";
}

std::optional<std::size_t> simulated_servers::FindByAddress(const std::string& aAddress) const
{
  const auto found = mServersByAddress.find(aAddress);
  return found == mServersByAddress.end() ? std::nullopt : std::optional(found->second);
}

const simulated_servers::behaviour* simulated_servers::FindBehaviour(const server_state& aServer,
                                                                     const std::string& aPath) const
{
  const behaviour* best = nullptr;
  for (const behaviour& candidate : aServer.mBehaviours) {
    if (aPath.starts_with(candidate.mPath) &&
        (best == nullptr || candidate.mPath.size() >= best->mPath.size())) {
      best = &candidate;
    }
  }
  return best;
}

std::uint64_t simulated_servers::HandleRequest(std::size_t aServer,
                                               const backend_request& aRequest,
                                               finish_handler aOnFinished)
{
  server_state& server = mServers[aServer];
  const trace_server& declared = mTrace.mServers[aServer];
  if (!server.mIsUp) {
    aOnFinished(backend_failure{
      MakeError(
        error_code::ConnectionLost, step::Connect, MakeAddress(aServer), "connection refused"),
      false });
    return 0;
  }
  const std::uint64_t number = ++mLastRun;
  run_record record;
  record.mRequest = FindHeader(aRequest.mHeaders, "x-replay-request");
  record.mServer = declared.mName;
  record.mService = declared.mService;
  record.mZone = declared.mZone;
  record.mRegion = declared.mRegion;
  record.mPath = aRequest.mTarget;
  record.mWorkspace = FindHeader(aRequest.mHeaders, "citronpulley-workspace");
  record.mHasCallerKey = !FindHeader(aRequest.mHeaders, "authorization").empty();
  record.mStartedAt = mScheduler.GetNow();
  record.mEndedAt = mTrace.mEndsAt;
  mRuns.emplace(number, active_run{ aServer, mHistory.mRuns.size(), std::move(aOnFinished) });
  mHistory.mRuns.push_back(record);
  server.mRuns.insert(number);

  const behaviour* active = FindBehaviour(server, aRequest.mTarget);
  const std::string mode = active == nullptr ? "normal" : active->mMode;
  double factor = mode == "slow" ? active->mFactor : 1;
  if (mScheduler.GetNow() < server.mStartedAt + declared.mColdTime && server.mInstance > 1) {
    factor *= declared.mColdFactor;
  }
  const microseconds time(
    static_cast<std::int64_t>(static_cast<double>(declared.mServiceTime.count()) * factor));
  if (mode == "silent") {
    return number;
  }
  if (mode == "crash") {
    mScheduler.ScheduleAfter(time, [this, number, aServer, restartAfter = active->mRestartAfter] {
      if (mRuns.contains(number)) {
        CrashServer(aServer, restartAfter);
      }
    });
    return number;
  }
  http_answer answer{ 200,
                      { { "Content-Type", "application/json" } },
                      MakeAnswerBody(record, aRequest) };
  microseconds answersAfter = time;
  if (mode == "fail") {
    // Failing requests are answered after at most 200 us, which makes a failing server look idle.
    answer.mStatus = active->mStatus;
    answersAfter = microseconds(std::min<std::int64_t>(time.count(), 200));
  }
  mScheduler.ScheduleAfter(
    answersAfter, [this, number, answer = std::move(answer)] { FinishRun(number, answer); });
  return number;
}

std::string simulated_servers::MakeAnswerBody(const run_record& aRun,
                                              const backend_request& aRequest) const
{
  return boost::json::serialize(boost::json::object{ { "request", aRun.mRequest },
                                                     { "server", aRun.mServer },
                                                     { "zone", aRun.mZone },
                                                     { "region", aRun.mRegion },
                                                     { "workspace", aRun.mWorkspace },
                                                     { "method", aRequest.mMethod },
                                                     { "path", aRun.mPath },
                                                     { "body", aRequest.mBody } });
}

void simulated_servers::FinishRun(std::uint64_t aRun, backend_outcome aOutcome)
{
  const auto found = mRuns.find(aRun);
  if (found == mRuns.end()) {
    return;
  }
  const active_run run = std::move(found->second);
  mRuns.erase(found);
  mServers[run.mServer].mRuns.erase(aRun);
  mHistory.mRuns[run.mRecordIndex].mEndedAt = mScheduler.GetNow();
  run.mOnFinished(std::move(aOutcome));
}

void simulated_servers::Cancel(std::uint64_t aRun)
{
  const auto found = mRuns.find(aRun);
  if (found != mRuns.end()) {
    found->second.mOnFinished = [](const backend_outcome&) {};
    FinishRun(aRun, backend_failure{});
  }
}

void simulated_servers::StartServer(std::size_t aServer)
{
  server_state& server = mServers[aServer];
  if (!server.mIsUp) {
    server.mIsUp = true;
    server.mIsLeaving = false;
    ++server.mInstance;
    server.mStartedAt = mScheduler.GetNow();
  }
}

void simulated_servers::CrashServer(std::size_t aServer, microseconds aRestartAfter)
{
  server_state& server = mServers[aServer];
  server.mIsUp = false;
  const std::set<std::uint64_t> runs = server.mRuns;
  for (const std::uint64_t run : runs) {
    FinishRun(run,
              backend_failure{ MakeError(error_code::ConnectionLost,
                                         step::ReadFromBackend,
                                         MakeAddress(aServer),
                                         "the connection was closed"),
                               true });
  }
  if (aRestartAfter.count() > 0) {
    mScheduler.ScheduleAfter(aRestartAfter, [this, aServer] { StartServer(aServer); });
  }
}

void simulated_servers::Apply(const trace_entry& aEvent)
{
  const std::string& kind = aEvent.GetKind();
  for (std::size_t index = 0; index < mServers.size(); ++index) {
    const std::vector<std::string> names = aEvent.GetList("servers");
    const bool isNamed = std::any_of(names.begin(), names.end(), [&](const std::string& aName) {
      return trace::IsSelectedBy(mTrace.mServers[index], aName);
    });
    if (!isNamed) {
      continue;
    }
    server_state& server = mServers[index];
    if (kind == "server_start") {
      StartServer(index);
    } else if (kind == "server_crash") {
      CrashServer(index, aEvent.GetTime("restart_after_ms"));
    } else if (kind == "server_leave") {
      server.mIsLeaving = true;
      mHistory.mDrainEvents.push_back(
        { "drain", mTrace.mServers[index].mName, mScheduler.GetNow() });
    } else if (kind == "server_behaviour") {
      const std::string path = aEvent.GetText("path");
      std::erase_if(server.mBehaviours,
                    [&](const behaviour& aBehaviour) { return aBehaviour.mPath == path; });
      server.mBehaviours.push_back({ path,
                                     aEvent.GetText("do"),
                                     aEvent.GetNumber("factor", 10),
                                     static_cast<std::uint16_t>(aEvent.GetInteger("status", 500)),
                                     aEvent.GetTime("restart_after_ms", 1'000) });
    } else {
      const auto running = static_cast<std::int64_t>(server.mRuns.size());
      server.mReportMode = aEvent.GetText("do");
      server.mReportedRunning = aEvent.GetInteger("running", running);
      server.mReportedLoad =
        aEvent.GetNumber("load", ComputeLoad(running, mTrace.mServers[index].mSlots));
    }
  }
}

double simulated_servers::ComputeLoad(std::int64_t aRunning, std::int64_t aSlots)
{
  return std::min(1.0, static_cast<double>(aRunning) / static_cast<double>(aSlots));
}

std::optional<std::string> simulated_servers::MakeAnnouncement(std::size_t aServer) const
{
  const server_state& server = mServers[aServer];
  if (!server.mIsUp || server.mReportMode == "stopped") {
    return std::nullopt;
  }
  const trace_server& declared = mTrace.mServers[aServer];
  const bool isAccurate = server.mReportMode == "normal";
  const std::int64_t running =
    isAccurate ? static_cast<std::int64_t>(server.mRuns.size()) : server.mReportedRunning;
  const double load = isAccurate ? ComputeLoad(running, declared.mSlots) : server.mReportedLoad;
  boost::json::object body{
    { "service", declared.mService }, { "address", MakeAddress(aServer) },
    { "zone", declared.mZone },       { "slots", declared.mSlots },
    { "leaving", server.mIsLeaving }, { "instance", "run-" + std::to_string(server.mInstance) }
  };
  if (server.mReportMode != "absent") {
    body["running"] = running;
    body["load"] = load;
  }
  return boost::json::serialize(body);
}

} // namespace citronpulley
