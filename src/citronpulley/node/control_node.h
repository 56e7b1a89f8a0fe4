#ifndef CITRONPULLEY_NODE_CONTROL_NODE_H
#define CITRONPULLEY_NODE_CONTROL_NODE_H

#include "citronpulley/base/digest.h"
#include "citronpulley/config/catalogue.h"
#include "citronpulley/limits/grant_authority.h"
#include "citronpulley/membership/fleet_table.h"
#include "citronpulley/node/control_replica.h"
#include "citronpulley/node/node_actions.h"
#include "citronpulley/node/node_events.h"
#include "citronpulley/node/operator_api.h"
#include "citronpulley/routing/shift_controller.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronpulley {

/**
 * Decision logic of a control VM. It does no I/O and reads no clock: the caller passes in events
 * and the current time and carries out the resulting actions. Not thread-safe.
 */
class control_node
{
public:
  /** Values that differ in each run of the process. */
  struct run_values
  {
    /** Number of the run; larger than that of all earlier runs of this VM. */
    incarnation mIncarnation = 0;
    /** Seed for the random election timeouts. */
    std::uint64_t mSeed = 0;
    instant mStartedAt;
  };

  /**
   * @param aSettings names of this VM and of all control VMs
   * @param aRecovered state that was read from the data folder
   * @param aSecret secret of the deployment
   * @param aOperatorKey key with which operators authenticate
   * @param aRun values of this run
   */
  control_node(group_settings aSettings,
               recovered_member aRecovered,
               std::string aSecret,
               std::string_view aOperatorKey,
               const run_values& aRun);
  ~control_node() = default;
  // Not copyable, because the callbacks of pending proposals and reads point to this object.
  control_node(const control_node&) = delete;
  control_node& operator=(const control_node&) = delete;

  /**
   * Handles an event.
   *
   * @param aEvent event
   * @param aNow current time; its monotonic part never decreases
   * @param aActions receives the actions in the order in which they must be carried out
   */
  void Handle(const node_event& aEvent, current_time aNow, node_actions& aActions);

  /** @return the replicated state as far as this VM has applied it */
  const control_state& GetState() const noexcept { return mReplica.GetState(); }

private:
  void HandleHttp(const http_request_received& aRequest, current_time aNow, node_actions& aActions);
  void HandlePeer(const peer_message_received& aMessage, current_time aNow, node_actions& aActions);
  bool IsOperator(const http_request_received& aRequest) const;
  /** @return the refusal of an invalid change; nothing when the change may be proposed */
  std::optional<http_answer> CheckChange(const command_content& aContent) const;
  /** Replies to an operator's request once the group has confirmed a read or decided a change. */
  void ExecuteOperation(std::uint64_t aRequest,
                        const operator_operation& aOperation,
                        current_time aNow,
                        node_actions& aActions);
  http_answer MakeReadAnswer(const operator_operation& aOperation, instant aNow) const;
  http_answer MakeNotLeaderAnswer(request_outcome aOutcome) const;
  void HandleClaimRequest(const vm_name& aSender,
                          const claim_request& aRequest,
                          current_time aNow,
                          node_actions& aActions);
  void HandleClaimOutcome(const vm_name& aSender,
                          const claim_outcome& aOutcome,
                          current_time aNow,
                          node_actions& aActions);
  void HandleLeaseRequest(const vm_name& aSender,
                          const suspect_lease_request& aRequest,
                          current_time aNow,
                          node_actions& aActions);
  /** Proposes a crash report, or forwards it to the leader. The report is dropped when no leader is
   * known or the leader itself sent it. */
  void HandleCrashReport(const vm_name& aSender,
                         const crash_report& aReport,
                         current_time aNow,
                         node_actions& aActions);
  void HandleGrantRequest(const vm_name& aSender,
                          const grant_request& aRequest,
                          instant aNow,
                          node_actions& aActions);
  void HandlePoll(const vm_name& aSender, const poll& aPoll, instant aNow, node_actions& aActions);
  void Tick(current_time aNow, node_actions& aActions);
  /** Updates the catalogue and the grant authority from the state of the consensus group. */
  void UpdateFromGroup();
  /** Proposes the next step of the steering plan when this VM leads and a step is due. */
  void AdvanceSteeringPlan(current_time aNow, node_actions& aActions);
  void SendPollReply(const vm_name& aSender,
                     const poll& aPoll,
                     instant aNow,
                     node_actions& aActions);
  /** Parses the configuration in force when its version has changed. */
  void UpdateCatalogue();

  vm_name mSelf;
  std::string mSecret;
  key_digest mOperatorKey;
  std::vector<vm_name> mOtherControlVms;
  control_replica mReplica;
  std::optional<catalogue> mCatalogue;
  std::uint64_t mCatalogueVersion = 0;
  fleet_table mFleet;
  grant_authority mGrants;
  /** Controller for the current term; none unless this VM is the confirmed leader. */
  std::optional<shift_controller> mShiftController;
  term_number mShiftTerm = 0;
  /** A proposed plan is not decided yet; no other one is proposed until then. */
  bool mIsPlanProposed = false;
  instant mNextShiftAt;
  /** Time of the event that is being handled. */
  instant mCurrentTime;
  instant mNextReportAt;
};

} // namespace citronpulley

#endif
