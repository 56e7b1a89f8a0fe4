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
 * All decisions of a control VM. Pure: events and the present time come in, actions go out. Not
 * thread-safe.
 */
class control_node
{
public:
  /** Values that differ in each run of the process. */
  struct run_values
  {
    /** Number of the run; it rises. */
    incarnation mIncarnation = 0;
    /** Seed of the election timeouts. */
    std::uint64_t mSeed = 0;
    instant mStartedAt;
  };

  /**
   * @param aSettings this VM and all control VMs
   * @param aRecovered content of the data folder
   * @param aSecret secret of the deployment
   * @param aOperatorKey key of the operators
   * @param aRun values of this run
   */
  control_node(group_settings aSettings,
               recovered_member aRecovered,
               std::string aSecret,
               std::string_view aOperatorKey,
               const run_values& aRun);
  ~control_node() = default;
  // Callbacks that wait for the group refer to the node.
  control_node(const control_node&) = delete;
  control_node& operator=(const control_node&) = delete;

  /** Handles an event; see entry_node::Handle(). */
  void Handle(const node_event& aEvent, current_time aNow, node_actions& aActions);

  /** @return the replicated state as this VM has applied it */
  const control_state& GetState() const noexcept { return mReplica.GetState(); }

private:
  void HandleHttp(const http_request_received& aRequest, current_time aNow, node_actions& aActions);
  void HandlePeer(const peer_message_received& aMessage, current_time aNow, node_actions& aActions);
  bool IsOperator(const http_request_received& aRequest) const;
  std::optional<http_answer> CheckChange(const command_content& aContent) const;
  void DoOperation(std::uint64_t aRequest,
                   const operator_operation& aOperation,
                   current_time aNow,
                   node_actions& aActions);
  http_answer AnswerRead(const operator_operation& aOperation, instant aNow) const;
  http_answer MakeNotLeaderAnswer(request_outcome aOutcome) const;
  void HandleClaim(const vm_name& aSender,
                   const claim_request& aRequest,
                   current_time aNow,
                   node_actions& aActions);
  void HandleOutcome(const vm_name& aSender,
                     const claim_outcome& aOutcome,
                     current_time aNow,
                     node_actions& aActions);
  void HandleLease(const vm_name& aSender,
                   const suspect_lease_request& aRequest,
                   current_time aNow,
                   node_actions& aActions);
  void HandleCrash(const vm_name& aSender,
                   const crash_report& aReport,
                   current_time aNow,
                   node_actions& aActions);
  void HandleGrants(const vm_name& aSender,
                    const grant_request& aRequest,
                    instant aNow,
                    node_actions& aActions);
  void HandlePoll(const vm_name& aSender, const poll& aPoll, instant aNow, node_actions& aActions);
  void Tick(current_time aNow, node_actions& aActions);
  void FollowGroup();
  void ShiftTraffic(current_time aNow, node_actions& aActions);
  void AnswerPoll(const vm_name& aSender, const poll& aPoll, instant aNow, node_actions& aActions);
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
  /** Controller of this VM's present leadership; none while another VM leads. */
  std::optional<shift_controller> mShifts;
  term_number mShiftTerm = 0;
  bool mIsPlanProposed = false;
  instant mNextShiftAt;
  instant mPresent;
  instant mNextReportAt;
};

} // namespace citronpulley

#endif
