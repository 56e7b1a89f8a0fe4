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
 * Claims idempotency keys for the requests of this VM: sends the claims, evaluates the replies, and
 * resends the outcome of each request until the control group has recorded it.
 */
class claim_coordinator
{
public:
  /** Time without a reply after which a claim or an outcome is sent again. */
  static constexpr microseconds kResendInterval{ 300'000 };

  /** The claim is granted: the request may run once. */
  struct granted
  {};
  /** The claim must be sent again at `mAt`. */
  struct send_again
  {
    instant mAt;
  };
  /**
   * How to proceed with a request after a reply. An `http_answer` is the recorded answer of an
   * earlier request with the same key.
   */
  using decision = std::variant<granted, send_again, http_answer, request_failure>;

  claim_coordinator(const vm_record& aSelf, control_link& aLink);

  /** Sends the claim of a request; also called to resend it. */
  void SendClaim(const active_request& aRequest, node_actions& aActions) const;

  /** @return true when the request waits for its claim and the reply belongs to that claim */
  bool IsReplyFor(const claim_reply& aReply, const active_request& aRequest) const;

  /**
   * Evaluates the reply to a claim that a request waits for. The request holds the claim only if
   * the decision is `granted`.
   */
  decision EvaluateReply(const claim_reply& aReply, instant aNow);

  /**
   * Sends the outcome of a request to the control group, and again until it is acknowledged. Does
   * nothing when the request has not sent a claim from this VM.
   *
   * @param aRequest request
   * @param aAnswer answer, or null when the request provably did not run, which releases the claim
   */
  void RecordOutcome(const active_request& aRequest,
                     const http_answer* aAnswer,
                     instant aNow,
                     node_actions& aActions);

  /** Stops resending an outcome that was recorded, or updates the leader when it was not. */
  void HandleOutcomeReply(const claim_outcome_reply& aReply);

  /** Resends the outcomes that are due and not acknowledged yet. */
  void Tick(instant aNow, node_actions& aActions);

  /** @return number of outcomes that the control group has not acknowledged yet */
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
  /** Holders of the unrecorded outcomes in order of their next resend. */
  std::set<std::pair<instant, claim_holder>> mResendTimes;
};

} // namespace citronpulley

#endif
