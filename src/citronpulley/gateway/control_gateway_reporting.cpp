#include "citronpulley/gateway/control_gateway.h"

#include "citronpulley/gateway/clock.h"

namespace citronpulley {

void control_gateway::LogLoad(instant aNow)
{
  const std::optional<thread_load::report> report = mLoad.DrainReport(aNow);
  if (!report) {
    return;
  }
  std::string work;
  for (const thread_load::work& entry : report->mWork) {
    work.append(work.empty() ? "" : ", ").append(entry.mKind);
    work.append(" ").append(std::to_string(entry.mCount));
    work.append(" in ").append(std::to_string(entry.mDuration.count())).append(" us");
  }
  mLog.Write("thread_load",
             { { "span_us", static_cast<std::int64_t>(report->mSpan.count()) },
               { "max_late_us", static_cast<std::int64_t>(report->mMaxLateness.count()) },
               { "is_leader", mControl->IsLeader() ? "yes" : "no" },
               { "work", work } },
             aNow);
}

void control_gateway::RefreshGauges()
{
  const consensus_group& group = mControl->GetGroup();
  mMetrics.SetGauge("is_leader", group.IsLeader() ? 1 : 0);
  mMetrics.SetGauge("term", static_cast<double>(group.GetTerm()));
  mMetrics.SetGauge("commit_index", static_cast<double>(group.GetCommitIndex()));
  mMetrics.SetGauge("voters", static_cast<double>(group.GetMembership().CountVoters()));
  mMetrics.SetGauge("config_version", static_cast<double>(mControl->GetState().GetVersion()));
  mMetrics.SetGauge("config_warnings", static_cast<double>(mControl->CountConfigWarnings()));
  mMetrics.SetGauge("group_messages_refused", static_cast<double>(group.CountRefusedMessages()));
  mMetrics.SetGauge("frames_refused", static_cast<double>(mBus.CountRefused()));
  mMetrics.SetGauge("entry_vms", static_cast<double>(mControl->ListEntryVms(GetBootTime()).size()));
  mMetrics.SetGauge("requests_rejected", static_cast<double>(mRejectedRequests));
  mMetrics.SetGauge("log_lines_left_out", static_cast<double>(mLog.CountDroppedLines()));
}

void control_gateway::RecordRejected(unsigned aStatus)
{
  ++mRejectedRequests;
  const instant now = GetBootTime();
  if (mLog.TryReserveLine(event_class::Failure, now)) {
    mLog.Write("request_rejected", { { "status", static_cast<int>(aStatus) } }, now);
  }
}

void control_gateway::LogOrder(const inbound_request& aRequest,
                               std::optional<fleet_outcome> aOutcome)
{
  const instant now = GetBootTime();
  mLog.Write("order_ended",
             { { "call", aRequest.mCallName },
               { "outcome", aOutcome ? ToString(*aOutcome) : "unknown" },
               { "index", static_cast<std::uint64_t>(mControl->GetState().GetIndex()) },
               { "held_us", static_cast<std::int64_t>((now - aRequest.mReceivedAt).count()) } },
             now);
}

} // namespace citronpulley
