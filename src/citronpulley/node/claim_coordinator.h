#ifndef CITRONPULLEY_NODE_CLAIM_COORDINATOR_H
#define CITRONPULLEY_NODE_CLAIM_COORDINATOR_H

#include "citronpulley/node/active_request.h"
#include "citronpulley/node/control_link.h"
#include "citronpulley/node/node_actions.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <variant>

namespace citronpulley {

/**
 * Claims of idempotency keys for the requests of this VM: sends them, judges the replies, and
 * reports each outcome until the control group has recorded it.
 */
class claim_coordinator
{
public:
  /** Time after which an unanswered claim or outcome is sent again. */
  static constexpr microseconds kResendInterval{ 300'000 };

  /** The claim is granted: the request may run, once. */
  struct granted
  {};
  /** The claim is to be sent again at a time. */
  struct send_again
  {
    instant mAt;
  };
  /** What a reply means for the request. */
  using decision = std::variant<granted, send_again, http_answer, request_failure>;

  claim_coordinator(const vm_record& aSelf, control_link& aLink);

  /** Sends the claim of a request, also again. */
  void SendClaim(const active_request& aRequest, node_actions& aActions) const;

  /** @return true when the reply is for the claim of this request */
  bool IsReplyFor(const claim_reply& aReply, const active_request& aRequest) const;

  /** Judges the reply to a waiting claim; no decision but `granted` holds the claim. */
  decision EvaluateReply(const claim_reply& aReply, instant aNow);

  /**
   * Reports the outcome of a request that sent its claim.
   *
   * @param aRequest request
   * @param aAnswer answer, or null when it is proved that the request did not run
   */
  void RecordOutcome(const active_request& aRequest,
                     const http_answer* aAnswer,
                     instant aNow,
                     node_actions& aActions);

  /** Takes the acknowledgement of a recorded outcome. */
  void HandleOutcomeReply(const claim_outcome_reply& aReply);

  /** Sends outcomes again that are not acknowledged. */
  void Tick(instant aNow, node_actions& aActions);

  /** @return outcomes that are not recorded yet */
  std::size_t CountUnrecordedOutcomes() const noexcept { return mUnrecordedOutcomes.size(); }

private:
  struct unrecorded_outcome
  {
    claim_outcome mOutcome;
    instant mResendAt;
  };

  claim_holder MakeHolder(const active_request& aRequest) const;

  const vm_record& mSelf;
  control_link& mLink;
  std::map<claim_holder, unrecorded_outcome> mUnrecordedOutcomes;
  std::set<std::pair<instant, claim_holder>> mResendTimes;
};

} // namespace citronpulley

#endif
