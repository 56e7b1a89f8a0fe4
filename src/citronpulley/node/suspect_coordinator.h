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
 * Requests that are suspected of crashing backend servers, as this VM deals with them: reports
 * crashes, knows suspects, and gets the lease without which no suspect runs.
 */
class suspect_coordinator
{
public:
  /** Time after which an unanswered request for a lease is sent again. */
  static constexpr microseconds kResendInterval{ 300'000 };
  /** Time after which a lease that another holder has is asked for again. */
  static constexpr microseconds kLeaseRetryInterval{ 50'000 };
  /** Time in which a suspect is known from its report alone: it covers the wait for the
   * announcement that tells whether the server crashed, and the way of the replicated state to this
   * VM. */
  static constexpr microseconds kReportLifetime{ 4'000'000 };

  /** The lease is granted: the request may run alone. */
  struct granted
  {};
  /** The request is not suspected any more and may run like any other. */
  struct not_suspected
  {};
  /** The lease is to be asked for again at a time. */
  struct send_again
  {
    instant mAt;
  };
  /** What a reply means for the request. */
  using decision = std::variant<granted, not_suspected, send_again, request_failure>;

  suspect_coordinator(const vm_record& aSelf, control_link& aLink);

  /** @return true when the request may run only with a lease */
  bool IsSuspect(const digest& aFingerprint, instant aNow) const noexcept;

  /** Notes a report of this VM or of another one, ahead of the replicated state. */
  void RecordReport(const crash_report& aReport, instant aNow);

  /**
   * Reports a crash or a cleared suspect to the control group and to all VMs.
   *
   * @param aVms other entry VMs
   */
  void SendReport(const crash_report& aReport,
                  const std::vector<vm_name>& aVms,
                  instant aNow,
                  node_actions& aActions);

  /** Asks for the lease of a request. */
  void SendLeaseRequest(const active_request& aRequest, instant aNow, node_actions& aActions) const;

  /** Gives the lease of a request back that did not run. */
  void ReturnLease(const active_request& aRequest, node_actions& aActions) const;

  /** @return number of the request that a holder stands for */
  static std::uint64_t GetRequestNumber(const claim_holder& aHolder) noexcept;

  /** @return true when the reply is for the present attempt of this request */
  bool IsReplyFor(const suspect_lease_reply& aReply, const active_request& aRequest) const;

  /** Judges the reply to a request that waits for its lease. */
  decision EvaluateReply(const suspect_lease_reply& aReply, instant aNow);

  /** Sends recent crash reports again; each counts once. */
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
  std::map<digest, instant> mReportedUntil;
  std::list<sent_report> mSentReports;
};

} // namespace citronpulley

#endif
