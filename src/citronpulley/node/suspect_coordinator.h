#ifndef CITRONPULLEY_NODE_SUSPECT_COORDINATOR_H
#define CITRONPULLEY_NODE_SUSPECT_COORDINATOR_H

#include "citronpulley/node/active_request.h"
#include "citronpulley/node/control_link.h"
#include "citronpulley/node/node_actions.h"

#include <list>
#include <map>
#include <variant>
#include <vector>

namespace citronpulley {

/**
 * Handles requests that are suspected of crashing backend servers, on the side of an entry VM:
 * sends crash reports, tracks the suspects, and requests the lease that a suspect needs to run.
 */
class suspect_coordinator
{
public:
  /** Time after which a lease request without a reply, or a crash report, is sent again. */
  static constexpr microseconds kResendInterval{ 300'000 };
  /** Delay before a lease is requested again, for example because another holder has it. */
  static constexpr microseconds kLeaseRetryInterval{ 50'000 };
  /**
   * Time for which a crash report alone makes its requests suspects at this VM. It covers the wait
   * for the announcement that shows whether the server crashed, and the time until the replicated
   * state with the suspects reaches this VM.
   */
  static constexpr microseconds kReportLifetime{ 4'000'000 };

  /** The lease is granted: the request may run, alone on its server. */
  struct granted
  {};
  /** The request is no longer suspected and may run like any other. */
  struct not_suspected
  {};
  /** The lease must be requested again at `mAt`. */
  struct send_again
  {
    instant mAt;
  };
  /** How to proceed with a request after a reply. */
  using decision = std::variant<granted, not_suspected, send_again, request_failure>;

  suspect_coordinator(const vm_record& aSelf, control_link& aLink);

  /** @return true when a request with this fingerprint may run only with a lease */
  bool IsSuspect(const digest& aFingerprint, instant aNow) const noexcept;

  /** Records a crash report of this or another VM, which arrives before the replicated state. */
  void RecordReport(const crash_report& aReport, instant aNow);

  /**
   * Sends a report of a crash or of a cleared suspect to the control group and to the other entry
   * VMs. An unconfirmed crash is not sent to the control group.
   *
   * @param aReport report
   * @param aVms other entry VMs
   * @param aNow current time
   * @param aActions receives the messages
   */
  void SendReport(const crash_report& aReport,
                  const std::vector<vm_name>& aVms,
                  instant aNow,
                  node_actions& aActions);

  /** Requests the lease for the current attempt of a request. */
  void SendLeaseRequest(const active_request& aRequest, instant aNow, node_actions& aActions) const;

  /** Returns the lease of an attempt that did not run, so that another holder can run. */
  void ReturnLease(const active_request& aRequest, node_actions& aActions) const;

  /** @return number of the request to which the holder of a lease belongs */
  static std::uint64_t GetRequestNumber(const claim_holder& aHolder) noexcept;

  /** @return true when the request waits for its lease and the reply is for its current attempt */
  bool IsReplyFor(const suspect_lease_reply& aReply, const active_request& aRequest) const;

  /** Evaluates the reply to a request that waits for its lease. */
  decision EvaluateReply(const suspect_lease_reply& aReply, instant aNow);

  /** Resends recent crash reports; the control group counts each crash once. */
  void Tick(instant aNow, node_actions& aActions);

private:
  struct sent_report
  {
    crash_report mReport;
    instant mResendAt;
    instant mResendUntil;
  };

  suspect_lease_request MakeLeaseRequest(const active_request& aRequest) const;

  const vm_record& mSelf;
  control_link& mLink;
  /** Fingerprints that are suspects because of a report, and until when. */
  std::map<digest, instant> mReportedUntil;
  std::list<sent_report> mSentReports;
};

} // namespace citronpulley

#endif
