#ifndef CITRONPULLEY_REPLAY_CONTROL_VM_DRIVER_H
#define CITRONPULLEY_REPLAY_CONTROL_VM_DRIVER_H

#include "citronpulley/node/control_node.h"
#include "citronpulley/node/node_actions.h"
#include "citronpulley/node/node_events.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace citronpulley {

/** What a control VM of a replay is started with. */
struct control_vm_setup
{
  vm_name mVm;
  /** All control VMs of the trace, this one included. */
  std::vector<vm_name> mControlVms;
  std::string mSecret;
  std::string mOperatorKey;
  std::uint64_t mSeed = 0;
  /** Gives the node an event after a virtual time unless its process has ended by then; for a disk.
   */
  std::function<void(microseconds, node_event)> mDeliverLater;
};

/**
 * Adapter between the replay and a control VM. Only this class knows how a control node is made
 * and what of it outlives a restart.
 */
class control_vm_driver
{
public:
  explicit control_vm_driver(control_vm_setup aSetup);

  /**
   * Starts a run of the process. The present control node has no disk; it is kept over a restart
   * as if its state had been stored.
   *
   * @param aIncarnation number of the run
   */
  void Start(incarnation aIncarnation);

  /** Handles an event; see control_node::Handle(). */
  void Handle(const node_event& aEvent, present_time aNow, node_actions& aActions);

  /** @return the largest number of control VMs that can be driven together */
  static constexpr std::size_t GetMaxControlVms() noexcept { return 1; }

private:
  control_vm_setup mSetup;
  std::unique_ptr<control_node> mNode;
};

} // namespace citronpulley

#endif
