#ifndef CITRONPULLEY_NODE_CONTROL_NODE_H
#define CITRONPULLEY_NODE_CONTROL_NODE_H

#include "citronpulley/base/digest.h"
#include "citronpulley/config/catalogue.h"
#include "citronpulley/limits/grant_authority.h"
#include "citronpulley/membership/fleet_table.h"
#include "citronpulley/node/node_actions.h"
#include "citronpulley/node/node_events.h"
#include "citronpulley/state/control_state.h"

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
  /**
   * @param aSelf this VM
   * @param aSecret secret of the deployment
   * @param aOperatorKey key of the operators
   * @param aIncarnation number of this run
   */
  control_node(vm_name aSelf,
               std::string aSecret,
               std::string_view aOperatorKey,
               incarnation aIncarnation);

  /** Handles an event; see entry_node::Handle(). */
  void Handle(const node_event& aEvent, present_time aNow, node_actions& aActions);

  /** @return the replicated state as this VM has applied it */
  const control_state& GetState() const noexcept { return mState; }

private:
  void HandleHttp(const http_request_received& aRequest, present_time aNow, node_actions& aActions);
  void HandlePeer(const peer_message_received& aMessage, present_time aNow, node_actions& aActions);
  bool IsOperator(const http_request_received& aRequest) const;
  std::optional<http_answer> CheckChange(const command_content& aContent) const;
  apply_result Propose(command_content aContent, present_time aNow);
  void AnswerPoll(const vm_name& aSender, const poll& aPoll, instant aNow, node_actions& aActions);
  void AnswerGrants(const vm_name& aSender,
                    const grant_request& aRequest,
                    instant aNow,
                    node_actions& aActions);
  void UpdateCatalogue(instant aNow);

  vm_name mSelf;
  std::string mSecret;
  key_digest mOperatorKey;
  control_state mState;
  std::optional<catalogue> mCatalogue;
  std::uint64_t mCatalogueVersion = 0;
  fleet_table mFleet;
  grant_authority mGrants;
};

} // namespace citronpulley

#endif
