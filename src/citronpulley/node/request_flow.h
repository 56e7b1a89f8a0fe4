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

/** Parts of an entry node that a request passes; they outlive the flow. */
struct flow_parts
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
 * Life of each request at an entry VM: check, admit, claim, route, run, answer.
 *
 * A request that may have run is never sent again unless it is idempotent. A refusal says `not_run`
 * only when each attempt was proved not to have run.
 */
class request_flow
{
public:
  /** Longest wait for tokens of a rate. */
  static constexpr microseconds kMaxTokenWait{ 150'000 };
  /** Most attempts of one request. */
  static constexpr std::uint32_t kMaxAttempts = 3;

  request_flow(flow_parts aParts, std::uint64_t aSeed);

  /** Takes a caller's request to `/svc/…`. */
  void StartCaller(const http_request_received& aRequest,
                   current_time aNow,
                   node_actions& aActions);

  /** Takes a request that another VM forwarded. */
  void StartForwarded(const vm_name& aSender,
                      const forward_request& aRequest,
                      instant aNow,
                      node_actions& aActions);

  /** The caller of a request has gone. */
  void CancelCaller(std::uint64_t aRequest, instant aNow, node_actions& aActions);

  /** The VM that forwarded a request gave it up. */
  void CancelForwarded(const vm_name& aSender,
                       const forward_cancel& aCancel,
                       instant aNow,
                       node_actions& aActions);

  /** Takes the answer of the VM to which a request was forwarded. */
  void AcceptResponse(const vm_name& aSender,
                      const forward_response& aResponse,
                      instant aNow,
                      node_actions& aActions);

  /** Takes the verdict on a claim. */
  void AcceptClaim(const claim_reply& aReply, instant aNow, node_actions& aActions);

  /** Takes the acknowledgement of a recorded outcome. */
  void AcceptRecorded(const claim_outcome_reply& aReply) { mClaims.HandleOutcomeReply(aReply); }

  /** Takes the verdict on the lease of a crash suspect. */
  void AcceptLease(const suspect_lease_reply& aReply, instant aNow, node_actions& aActions);

  /** Takes another VM's report of a crash, ahead of the replicated state. */
  void AcceptCrash(const crash_report& aReport, instant aNow)
  {
    mSuspects.RecordReport(aReport, aNow);
  }

  /** Tries the requests again that wait for tokens; call it when tokens were granted. */
  void RetryTokens(instant aNow, node_actions& aActions);

  /** The connection to a VM is gone: requests forwarded to it may have run. */
  void LosePeer(const vm_name& aPeer, instant aNow, node_actions& aActions);

  /** Carries out what the dispatcher of this VM wants. */
  void HandleDispatcher(std::vector<dispatcher_action> aWanted,
                        instant aNow,
                        node_actions& aActions);

  /** Sends again what was not answered and ends requests whose deadline is over. */
  void Tick(instant aNow, node_actions& aActions);

  /** @return requests in flight and outcomes that are not recorded yet */
  std::size_t GetPendingCount() const noexcept
  {
    return mRequests.GetCount() + mClaims.CountUnrecordedOutcomes();
  }

private:
  void Admit(active_request& aRequest, bool aIsRetry, instant aNow, node_actions& aActions);
  void SendClaim(active_request& aRequest, instant aNow, node_actions& aActions);
  void SendLeaseRequest(active_request& aRequest, instant aNow, node_actions& aActions);
  void Run(active_request& aRequest, instant aNow, node_actions& aActions);
  void RunAdmitted(active_request& aRequest, instant aNow, node_actions& aActions);
  void RunInZone(active_request& aRequest, instant aNow, node_actions& aActions);
  void RunHere(active_request& aRequest, instant aNow, node_actions& aActions);
  void Forward(active_request& aRequest,
               const vm_name& aReceiver,
               std::uint8_t aHops,
               instant aNow,
               node_actions& aActions);
  zone_verdict ChooseZone(active_request& aRequest, instant aNow);
  bool TrySpend(const active_request& aRequest, bool aIsRetry, instant aNow);
  request_cost GetCost(const active_request& aRequest) const;
  void RefuseForTokens(active_request& aRequest, instant aNow, node_actions& aActions);
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
  void Abandon(active_request& aRequest, instant aNow, node_actions& aActions);
  void HandleDue(active_request& aRequest, instant aNow, node_actions& aActions);
  void FailAtDeadline(active_request& aRequest, instant aNow, node_actions& aActions);
  std::string DrawSpanId();

  flow_parts mParts;
  admission mAdmission;
  instant mNextShareUpdateAt;
  std::mt19937_64 mRandom;
  request_table mRequests;
  claim_coordinator mClaims;
  suspect_coordinator mSuspects;
  retry_budget mRetries;
  /** Requests that wait for tokens, in the order of their arrival. */
  std::set<std::uint64_t> mWaitingForTokens;
  std::uint64_t mLastNumber = 0;
};

} // namespace citronpulley

#endif
