#include "citronpulley/node/suspect_coordinator.h"

#include "citronpulley/node/request_failures.h"

#include <algorithm>

namespace citronpulley {

namespace {

/** Time for which a crash report is resent, in case a message is lost. A longer loss of contact
 * with the control group makes this VM refuse requests that need a caller's key. */
constexpr microseconds kReportResendPeriod{ 5'000'000 };
/** Numbers of lease holders that are reserved for the attempts of each request. */
constexpr std::uint64_t kAttemptsPerRequest = 16;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;

} // namespace

suspect_coordinator::suspect_coordinator(const vm_record& aSelf, control_link& aLink)
  : mSelf(aSelf)
  , mLink(aLink)
{
}

bool suspect_coordinator::IsSuspect(const digest& aFingerprint, instant aNow) const noexcept
{
  const auto reported = mReportedUntil.find(aFingerprint);
  return (reported != mReportedUntil.end() && reported->second > aNow) ||
         mLink.GetView().FindSuspect(aFingerprint) != nullptr;
}

void suspect_coordinator::RecordReport(const crash_report& aReport, instant aNow)
{
  std::erase_if(mReportedUntil, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  for (const digest& fingerprint : aReport.mFingerprints) {
    if (aReport.mIsCleared) {
      mReportedUntil.erase(fingerprint);
    } else {
      mReportedUntil[fingerprint] = aNow + kReportLifetime;
    }
  }
}

void suspect_coordinator::SendReport(const crash_report& aReport,
                                     const std::vector<vm_name>& aVms,
                                     instant aNow,
                                     node_actions& aActions)
{
  RecordReport(aReport, aNow);
  for (const vm_name& vm : aVms) {
    aActions.emplace_back(send_peer_message{ vm, aReport });
  }
  if (aReport.mIsUnconfirmed) {
    return;
  }
  aActions.emplace_back(send_peer_message{ mLink.GetLeader(), aReport });
  // The clearing of a suspect is not resent, because a late copy could clear a newer suspicion.
  if (!aReport.mIsCleared) {
    mSentReports.push_back({ aReport, aNow + kResendInterval, aNow + kReportResendPeriod });
  }
}

void suspect_coordinator::SendLeaseRequest(const active_request& aRequest,
                                           instant aNow,
                                           node_actions& aActions) const
{
  suspect_lease_request request = MakeLeaseRequest(aRequest);
  const auto reported = mReportedUntil.find(aRequest.mFingerprint);
  request.mHasUnreplicatedCrash = reported != mReportedUntil.end() && reported->second > aNow;
  request.mRemainingMilliseconds =
    (aRequest.mDeadline - aNow).count() / kMicrosecondsPerMillisecond + 1;
  aActions.emplace_back(send_peer_message{ mLink.GetLeader(), request });
}

void suspect_coordinator::ReturnLease(const active_request& aRequest, node_actions& aActions) const
{
  suspect_lease_request request = MakeLeaseRequest(aRequest);
  request.mIsReturned = true;
  aActions.emplace_back(send_peer_message{ mLink.GetLeader(), request });
}

std::uint64_t suspect_coordinator::GetRequestNumber(const claim_holder& aHolder) noexcept
{
  return aHolder.mRequestNumber / kAttemptsPerRequest;
}

bool suspect_coordinator::IsReplyFor(const suspect_lease_reply& aReply,
                                     const active_request& aRequest) const
{
  return aRequest.mStage == request_stage::WaitsForLease &&
         MakeLeaseRequest(aRequest).mHolder == aReply.mHolder;
}

suspect_coordinator::decision suspect_coordinator::EvaluateReply(const suspect_lease_reply& aReply,
                                                                 instant aNow)
{
  switch (aReply.mVerdict) {
    case suspect_verdict::Granted:
      return granted{};
    case suspect_verdict::NotSuspected:
      // This VM may have learned of a crash since it sent the request.
      if (IsSuspect(aReply.mFingerprint, aNow)) {
        return send_again{ aNow + kLeaseRetryInterval };
      }
      return not_suspected{};
    case suspect_verdict::Quarantined:
      return MakeFailure(error_code::Quarantined,
                         step::Admit,
                         aReply.mLeader.mValue,
                         "the request crashed backend servers; fingerprint " +
                           ToHex(aReply.mFingerprint),
                         request_outcome::NotRun);
    case suspect_verdict::NotLeader:
      mLink.SetLeader(aReply.mLeader);
      return send_again{ aNow + kLeaseRetryInterval };
    default:
      return send_again{ aNow + kLeaseRetryInterval };
  }
}

void suspect_coordinator::Tick(instant aNow, node_actions& aActions)
{
  std::erase_if(mSentReports,
                [aNow](const sent_report& aReport) { return aReport.mResendUntil <= aNow; });
  for (sent_report& report : mSentReports) {
    if (report.mResendAt <= aNow) {
      report.mResendAt = aNow + kResendInterval;
      aActions.emplace_back(send_peer_message{ mLink.GetLeader(), report.mReport });
    }
  }
}

suspect_lease_request suspect_coordinator::MakeLeaseRequest(const active_request& aRequest) const
{
  // Each attempt is a separate holder, so that the lease of an attempt that crashed a server cannot
  // be used by the next one.
  const std::uint64_t number =
    aRequest.mNumber * kAttemptsPerRequest + std::min<std::uint64_t>(aRequest.mAttempts, 15);
  return { aRequest.mFingerprint, { mSelf.mVm, mSelf.mIncarnation, number } };
}

} // namespace citronpulley
