#include "citronpulley/node/suspect_coordinator.h"

#include "citronpulley/node/request_failures.h"

#include <algorithm>

namespace citronpulley {

namespace {

/** A lost report is made up for in this time; a longer loss of contact stops keyed requests. */
constexpr microseconds kReportTime{ 5'000'000 };
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
  const auto note = mNotes.find(aFingerprint);
  return (note != mNotes.end() && note->second > aNow) ||
         mLink.GetView().FindSuspect(aFingerprint) != nullptr;
}

void suspect_coordinator::Note(const crash_report& aReport, instant aNow)
{
  std::erase_if(mNotes, [aNow](const auto& aNote) { return aNote.second <= aNow; });
  for (const digest& fingerprint : aReport.mFingerprints) {
    if (aReport.mIsCleared) {
      mNotes.erase(fingerprint);
    } else {
      mNotes[fingerprint] = aNow + kNoteTime;
    }
  }
}

void suspect_coordinator::Report(const crash_report& aReport,
                                 const std::vector<vm_name>& aVms,
                                 instant aNow,
                                 node_actions& aActions)
{
  Note(aReport, aNow);
  for (const vm_name& vm : aVms) {
    aActions.emplace_back(send_peer_message{ vm, aReport });
  }
  if (aReport.mIsUnconfirmed) {
    return;
  }
  aActions.emplace_back(send_peer_message{ mLink.GetLeader(), aReport });
  // A cleared suspect is not reported again, because a late copy could clear a later suspicion.
  if (!aReport.mIsCleared) {
    mReports.push_back({ aReport, aNow + kResendInterval, aNow + kReportTime });
  }
}

void suspect_coordinator::SendLeaseRequest(const active_request& aRequest,
                                           instant aNow,
                                           node_actions& aActions) const
{
  suspect_lease_request request = MakeRequest(aRequest);
  const auto note = mNotes.find(aRequest.mFingerprint);
  request.mHasUnreplicatedCrash = note != mNotes.end() && note->second > aNow;
  request.mRemainingMilliseconds =
    (aRequest.mDeadline - aNow).count() / kMicrosecondsPerMillisecond + 1;
  aActions.emplace_back(send_peer_message{ mLink.GetLeader(), request });
}

void suspect_coordinator::ReturnLease(const active_request& aRequest, node_actions& aActions) const
{
  suspect_lease_request request = MakeRequest(aRequest);
  request.mIsReturned = true;
  aActions.emplace_back(send_peer_message{ mLink.GetLeader(), request });
}

std::uint64_t suspect_coordinator::GetRequestNumber(const claim_holder& aHolder) noexcept
{
  return aHolder.mRequestNumber / kAttemptsPerRequest;
}

bool suspect_coordinator::IsFor(const suspect_lease_reply& aReply,
                                const active_request& aRequest) const
{
  return aRequest.mStage == request_stage::WaitsForLease &&
         MakeRequest(aRequest).mHolder == aReply.mHolder;
}

suspect_coordinator::verdict suspect_coordinator::Judge(const suspect_lease_reply& aReply,
                                                        instant aNow)
{
  switch (aReply.mVerdict) {
    case suspect_verdict::Granted:
      return granted{};
    case suspect_verdict::NotSuspected:
      // A crash may have become known here since the request was sent.
      if (IsSuspect(aReply.mFingerprint, aNow)) {
        return send_again{ aNow + kBusyInterval };
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
      return send_again{ aNow + kBusyInterval };
    default:
      return send_again{ aNow + kBusyInterval };
  }
}

void suspect_coordinator::Tick(instant aNow, node_actions& aActions)
{
  std::erase_if(mReports, [aNow](const sent_report& aReport) { return aReport.mUntil <= aNow; });
  for (sent_report& report : mReports) {
    if (report.mAgainAt <= aNow) {
      report.mAgainAt = aNow + kResendInterval;
      aActions.emplace_back(send_peer_message{ mLink.GetLeader(), report.mReport });
    }
  }
}

suspect_lease_request suspect_coordinator::MakeRequest(const active_request& aRequest) const
{
  // Each attempt is a holder of its own, so that the lease of an attempt that crashed a server does
  // not serve the next one.
  const std::uint64_t number =
    aRequest.mNumber * kAttemptsPerRequest + std::min<std::uint64_t>(aRequest.mAttempts, 15);
  return { aRequest.mFingerprint, { mSelf.mVm, mSelf.mIncarnation, number } };
}

} // namespace citronpulley
