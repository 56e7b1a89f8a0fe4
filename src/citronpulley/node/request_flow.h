#ifndef CITRONPULLEY_NODE_REQUEST_FLOW_H
#define CITRONPULLEY_NODE_REQUEST_FLOW_H

#include "citronpulley/dispatch/backend_dispatcher.h"
#include "citronpulley/limits/admission.h"
#include "citronpulley/limits/retry_budget.h"
#include "citronpulley/membership/zone_directory.h"
#include "citronpulley/node/active_request.h"
#include "citronpulley/node/claim_coordinator.h"
#include "citronpulley/node/control_link.h"
#include "citronpulley/node/node_actions.h"
#include "citronpulley/node/request_table.h"
#include "citronpulley/node/suspect_coordinator.h"
#include "citronpulley/routing/zone_router.h"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace citronpulley {

/** Components of the entry node that request_flow uses; they must outlive it. */
struct request_flow_context
{
  const vm_record& mSelf;
  const std::string& mSecret;
  control_link& mLink;
  token_pool& mTokenPool;
  zone_directory& mDirectory;
  backend_dispatcher& mDispatcher;
  zone_router& mRouter;
};

/**
 * Processes each request at an entry VM from arrival to response: it checks and admits the request,
 * claims its idempotency key, chooses a zone, runs attempts and replies.
 *
 * A request that may have run is never sent again unless it is idempotent. A refusal has the
 * outcome `not_run` only when it is proved for every attempt that the request did not run.
 */
class request_flow
{
public:
  /** Maximum time that a request waits for tokens. */
  static constexpr microseconds kMaxTokenWait{ 150'000 };
  /** Maximum number of attempts of one request. */
  static constexpr std::uint32_t kMaxAttempts = 3;

  request_flow(request_flow_context aContext, std::uint64_t aSeed);

  /** Starts processing a caller's request to `/svc/…`. */
  void StartCallerRequest(const http_request_received& aRequest,
                          current_time aNow,
                          node_actions& aActions);

  /** Starts processing a request that another VM forwarded. */
  void StartForwardedRequest(const vm_name& aSender,
                             const forward_request& aRequest,
                             instant aNow,
                             node_actions& aActions);

  /**
   * Cancels a request whose caller disconnected. A running request that is not idempotent goes on,
   * so that a repeat with its idempotency key gets the answer.
   */
  void CancelCallerRequest(std::uint64_t aRequest, instant aNow, node_actions& aActions);

  /** Cancels a forwarded request on behalf of the VM that forwarded it. */
  void CancelForwardedRequest(const vm_name& aSender,
                              const forward_cancel& aCancel,
                              instant aNow,
                              node_actions& aActions);

  /** Handles the response of the VM to which a request was forwarded. */
  void HandleResponse(const vm_name& aSender,
                      const forward_response& aResponse,
                      instant aNow,
                      node_actions& aActions);

  /** Handles the reply of the control group to a claim. */
  void HandleClaimReply(const claim_reply& aReply, instant aNow, node_actions& aActions);

  /** Handles the acknowledgement of a recorded outcome. */
  void HandleOutcomeReply(const claim_outcome_reply& aReply) { mClaims.HandleOutcomeReply(aReply); }

  /** Handles the reply of the control group to a lease request of a crash suspect. */
  void HandleLeaseReply(const suspect_lease_reply& aReply, instant aNow, node_actions& aActions);

  /** Handles another VM's crash report, which arrives before the replicated state has it. */
  void HandleCrashReport(const crash_report& aReport, instant aNow)
  {
    mSuspects.RecordReport(aReport, aNow);
  }

  /** Retries the admission of requests that wait for tokens; call it when tokens were granted. */
  void RetryTokens(instant aNow, node_actions& aActions);

  /** Fails the attempts sent to a VM whose connection was lost; their requests may have run. */
  void HandlePeerDisconnected(const vm_name& aPeer, instant aNow, node_actions& aActions);

  /** Executes the actions of this VM's dispatcher. */
  void ExecuteDispatcherActions(std::vector<dispatcher_action> aDispatcherActions,
                                instant aNow,
                                node_actions& aActions);

  /** Resends unanswered messages, retries admission and fails requests whose deadline passed. */
  void Tick(instant aNow, node_actions& aActions);

  /** @return number of requests in flight plus outcomes that are not yet recorded */
  std::size_t GetPendingCount() const noexcept
  {
    return mRequests.GetCount() + mClaims.CountUnrecordedOutcomes();
  }

private:
  void Admit(active_request& aRequest, bool aIsRetry, instant aNow, node_actions& aActions);
  void SendClaim(active_request& aRequest, instant aNow, node_actions& aActions);
  void SendLeaseRequest(active_request& aRequest, instant aNow, node_actions& aActions);
  void Run(active_request& aRequest, instant aNow, node_actions& aActions);
  void RunInChosenZone(active_request& aRequest, instant aNow, node_actions& aActions);
  void RunInOwnZone(active_request& aRequest, instant aNow, node_actions& aActions);
  void RunLocally(active_request& aRequest, instant aNow, node_actions& aActions);
  void Forward(active_request& aRequest,
               const vm_name& aReceiver,
               std::uint8_t aHopsLeft,
               instant aNow,
               node_actions& aActions);
  zone_verdict ChooseZone(active_request& aRequest, instant aNow);
  bool TrySpend(const active_request& aRequest, bool aIsRetry, instant aNow);
  request_cost ComputeCost(const active_request& aRequest) const;
  void RefuseForLackOfTokens(active_request& aRequest, instant aNow, node_actions& aActions);
  bool CanRetry(const active_request& aRequest, const request_failure& aFailure, instant aNow);
  void FailAttempt(std::uint64_t aNumber,
                   const request_failure& aFailure,
                   instant aNow,
                   node_actions& aActions);
  void FinishAnswered(std::uint64_t aNumber,
                      const http_answer& aAnswer,
                      instant aNow,
                      node_actions& aActions);
  void FinishFailed(std::uint64_t aNumber,
                    const request_failure& aFailure,
                    instant aNow,
                    node_actions& aActions);
  void Reply(const active_request& aRequest,
             const forward_response& aResponse,
             instant aNow,
             node_actions& aActions);
  void AbandonAttempt(active_request& aRequest, instant aNow, node_actions& aActions);
  void HandleDue(active_request& aRequest, instant aNow, node_actions& aActions);
  void FailAtDeadline(active_request& aRequest, instant aNow, node_actions& aActions);
  std::string GenerateSpanId();

  request_flow_context mContext;
  admission mAdmission;
  /** Time of the next update of this VM's static share of the region's capacity. */
  instant mNextShareUpdateAt;
  std::mt19937_64 mRandom;
  request_table mRequests;
  claim_coordinator mClaims;
  suspect_coordinator mSuspects;
  retry_budget mRetryBudget;
  /** Numbers of the requests that wait for tokens, in order of arrival. */
  std::set<std::uint64_t> mWaitingForTokens;
  std::uint64_t mLastNumber = 0;
};

} // namespace citronpulley

#endif
