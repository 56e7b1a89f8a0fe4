#ifndef CITRONPULLEY_NODE_ENTRY_NODE_H
#define CITRONPULLEY_NODE_ENTRY_NODE_H

#include "citronpulley/dispatch/backend_dispatcher.h"
#include "citronpulley/limits/token_pool.h"
#include "citronpulley/membership/failure_detector.h"
#include "citronpulley/membership/zone_directory.h"
#include "citronpulley/node/control_link.h"
#include "citronpulley/node/fleet_gauges.h"
#include "citronpulley/node/node_actions.h"
#include "citronpulley/node/node_events.h"
#include "citronpulley/node/request_flow.h"
#include "citronpulley/routing/client_block_table.h"
#include "citronpulley/routing/zone_router.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronpulley {

/**
 * Decision logic of an entry VM. It does no I/O and reads no clock: it handles events with the
 * current time and returns actions. The same events at the same times give the same actions. Not
 * thread-safe.
 */
class entry_node
{
public:
  /** Time for which callers may cache the list of entry VMs, in milliseconds. */
  static constexpr std::int64_t kResolveValidMilliseconds = 10'000;

  /**
   * @param aSelf this VM
   * @param aControlVms control VMs, nearest first; at least one
   * @param aSecret secret of the deployment, which keys the digests of API keys
   * @param aSeed seed of all random choices
   */
  entry_node(vm_record aSelf,
             std::vector<vm_name> aControlVms,
             std::string aSecret,
             std::uint64_t aSeed);
  entry_node(const entry_node&) = delete;
  entry_node& operator=(const entry_node&) = delete;

  /**
   * Handles an event.
   *
   * @param aEvent event
   * @param aNow current time; its monotonic part never decreases
   * @param aActions receives the actions in the order in which they must be executed
   */
  void Handle(const node_event& aEvent, current_time aNow, node_actions& aActions);

  /** @return local copy of the replicated state, from which requests are served */
  const state_view& GetView() const noexcept { return mLink.GetView(); }

private:
  void HandleHttp(const http_request_received& aRequest, current_time aNow, node_actions& aActions);
  void HandlePeer(const peer_message_received& aMessage, instant aNow, node_actions& aActions);
  void HandlePollReply(const poll_reply& aReply, instant aNow, node_actions& aActions);
  void UpdateVms(const std::vector<vm_record>& aVms, node_actions& aActions);
  void HandleTick(instant aNow, node_actions& aActions);
  void HandleAnnounceRequest(const http_request_received& aRequest,
                             current_time aNow,
                             node_actions& aActions);
  void HandleAnnouncement(const server_announcement& aAnnouncement,
                          instant aNow,
                          node_actions& aActions);
  /** @return true when another VM, or an earlier run of this one, may still send requests to this
   * run of the server or have requests running on it */
  bool IsOtherHomePossible(const server_announcement& aAnnouncement, instant aNow) const;
  void UpdateConnectionLimits(instant aNow);
  http_answer ListEntryVms(const http_request_received& aRequest, current_time aNow) const;
  std::vector<zone_summary> SummariseHomedServers(instant aNow) const;
  void DetectFailures(instant aNow, node_actions& aActions);
  void SendUpdates(instant aNow, node_actions& aActions);
  void RequestTokens(instant aNow, node_actions& aActions);

  vm_record mSelf;
  std::string mSecret;
  control_link mLink;
  token_pool mTokenPool;
  zone_directory mDirectory;
  failure_detector mDetector;
  backend_dispatcher mDispatcher;
  digest mKnownVmsDigest;
  zone_router mRouter;
  client_block_table mClientBlocks;
  request_flow mFlow;
  fleet_gauges mGauges;
  std::vector<zone_summary> mZoneSummaries;
  /** Time of the first timer tick of this run. */
  instant mStartedAt;
  std::uint64_t mUpdateSequence = 0;
  instant mNextUpdateAt;
  std::vector<homed_server> mLastUpdate;
  instant mRepeatUpdateAt;
  /** After a stop request: time at which every cached list with this VM has expired. */
  instant mCanStopAt;
};

} // namespace citronpulley

#endif
