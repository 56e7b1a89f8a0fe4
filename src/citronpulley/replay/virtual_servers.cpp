#include "citronpulley/replay/virtual_servers.h"

#include "citronpulley/node/caller_request.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace citronpulley {

virtual_servers::virtual_servers(const trace& aTrace,
                                 virtual_queue& aQueue,
                                 replay_history& aHistory)
  : mTrace(aTrace)
  , mQueue(aQueue)
  , mHistory(aHistory)
  , mServers(aTrace.mServers.size())
{
  for (std::size_t index = 0; index < mServers.size(); ++index) {
    mByAddress.emplace(MakeAddress(index), index);
  }
}

std::string virtual_servers::MakeAddress(std::size_t aServer)
{
  return "127.42." + std::to_string(aServer / 250) + "." + std::to_string(aServer % 250 + 1) +
         ":9000";
}

std::optional<std::size_t> virtual_servers::FindByAddress(const std::string& aAddress) const
{
  const auto found = mByAddress.find(aAddress);
  return found == mByAddress.end() ? std::nullopt : std::optional(found->second);
}

const virtual_servers::behaviour* virtual_servers::FindBehaviour(const server_state& aServer,
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

std::uint64_t virtual_servers::Run(std::size_t aServer,
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
  record.mIsKeySeen = !FindHeader(aRequest.mHeaders, "authorization").empty();
  record.mStartedAt = mQueue.GetNow();
  record.mEndedAt = mTrace.mEndsAt;
  mRuns.emplace(number, active_run{ aServer, mHistory.mRuns.size(), std::move(aOnFinished) });
  mHistory.mRuns.push_back(record);
  server.mRuns.insert(number);

  const behaviour* special = FindBehaviour(server, aRequest.mTarget);
  const std::string kind = special == nullptr ? "normal" : special->mDo;
  double factor = kind == "slow" ? special->mFactor : 1;
  if (mQueue.GetNow() < server.mStartedAt + declared.mColdTime && server.mInstance > 1) {
    factor *= declared.mColdFactor;
  }
  const microseconds time(
    static_cast<std::int64_t>(static_cast<double>(declared.mServiceTime.count()) * factor));
  if (kind == "silent") {
    return number;
  }
  if (kind == "crash") {
    mQueue.After(time, [this, number, aServer, restartAfter = special->mRestartAfter] {
      if (mRuns.contains(number)) {
        Crash(aServer, restartAfter);
      }
    });
    return number;
  }
  http_answer answer{ 200,
                      { { "Content-Type", "application/json" } },
                      MakeAnswer(record, aRequest) };
  microseconds answersAfter = time;
  if (kind == "fail") {
    // A server that fails fast answers at once, which makes it look idle.
    answer.mStatus = special->mStatus;
    answersAfter = microseconds(std::min<std::int64_t>(time.count(), 200));
  }
  mQueue.After(answersAfter,
               [this, number, answer = std::move(answer)] { Finish(number, answer); });
  return number;
}

std::string virtual_servers::MakeAnswer(const run_record& aRun,
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

void virtual_servers::Finish(std::uint64_t aRun, backend_outcome aOutcome)
{
  const auto found = mRuns.find(aRun);
  if (found == mRuns.end()) {
    return;
  }
  const active_run run = std::move(found->second);
  mRuns.erase(found);
  mServers[run.mServer].mRuns.erase(aRun);
  mHistory.mRuns[run.mRecord].mEndedAt = mQueue.GetNow();
  run.mOnFinished(std::move(aOutcome));
}

void virtual_servers::Cancel(std::uint64_t aRun)
{
  const auto found = mRuns.find(aRun);
  if (found != mRuns.end()) {
    found->second.mOnFinished = [](const backend_outcome&) {};
    Finish(aRun, backend_failure{});
  }
}

void virtual_servers::Start(std::size_t aServer)
{
  server_state& server = mServers[aServer];
  if (!server.mIsUp) {
    server.mIsUp = true;
    server.mIsLeaving = false;
    ++server.mInstance;
    server.mStartedAt = mQueue.GetNow();
  }
}

void virtual_servers::Crash(std::size_t aServer, microseconds aRestartAfter)
{
  server_state& server = mServers[aServer];
  server.mIsUp = false;
  const std::set<std::uint64_t> runs = server.mRuns;
  for (const std::uint64_t run : runs) {
    Finish(run,
           backend_failure{ MakeError(error_code::ConnectionLost,
                                      step::ReadFromBackend,
                                      MakeAddress(aServer),
                                      "the connection was closed"),
                            true });
  }
  if (aRestartAfter.count() > 0) {
    mQueue.After(aRestartAfter, [this, aServer] { Start(aServer); });
  }
}

void virtual_servers::Apply(const trace_entry& aEvent)
{
  const std::string& kind = aEvent.GetKind();
  for (std::size_t index = 0; index < mServers.size(); ++index) {
    const std::vector<std::string> names = aEvent.GetList("servers");
    const bool isNamed = std::any_of(names.begin(), names.end(), [&](const std::string& aName) {
      return trace::IsNamed(mTrace.mServers[index], aName);
    });
    if (!isNamed) {
      continue;
    }
    server_state& server = mServers[index];
    if (kind == "server_start") {
      Start(index);
    } else if (kind == "server_crash") {
      Crash(index, aEvent.GetTime("restart_after_ms"));
    } else if (kind == "server_leave") {
      server.mIsLeaving = true;
      mHistory.mOccasions.push_back({ "drain", mTrace.mServers[index].mName, mQueue.GetNow() });
    } else if (kind == "server_behaviour") {
      const std::string path = aEvent.GetText("path");
      std::erase_if(server.mBehaviours, [&](const behaviour& aOne) { return aOne.mPath == path; });
      server.mBehaviours.push_back({ path,
                                     aEvent.GetText("do"),
                                     aEvent.GetNumber("factor", 10),
                                     static_cast<std::uint16_t>(aEvent.GetInteger("status", 500)),
                                     aEvent.GetTime("restart_after_ms", 1'000) });
    } else {
      const auto running = static_cast<std::int64_t>(server.mRuns.size());
      server.mReport = aEvent.GetText("do");
      server.mReportedRunning = aEvent.GetInteger("running", running);
      server.mReportedLoad =
        aEvent.GetNumber("load", ComputeLoad(running, mTrace.mServers[index].mSlots));
    }
  }
}

double virtual_servers::ComputeLoad(std::int64_t aRunning, std::int64_t aSlots)
{
  return std::min(1.0, static_cast<double>(aRunning) / static_cast<double>(aSlots));
}

std::optional<std::string> virtual_servers::MakeAnnouncement(std::size_t aServer) const
{
  const server_state& server = mServers[aServer];
  if (!server.mIsUp || server.mReport == "stopped") {
    return std::nullopt;
  }
  const trace_server& declared = mTrace.mServers[aServer];
  const bool isTrue = server.mReport == "normal";
  const std::int64_t running =
    isTrue ? static_cast<std::int64_t>(server.mRuns.size()) : server.mReportedRunning;
  const double load = isTrue ? ComputeLoad(running, declared.mSlots) : server.mReportedLoad;
  boost::json::object body{
    { "service", declared.mService }, { "address", MakeAddress(aServer) },
    { "zone", declared.mZone },       { "slots", declared.mSlots },
    { "leaving", server.mIsLeaving }, { "instance", "run-" + std::to_string(server.mInstance) }
  };
  if (server.mReport != "absent") {
    body["running"] = running;
    body["load"] = load;
  }
  return boost::json::serialize(body);
}

} // namespace citronpulley
