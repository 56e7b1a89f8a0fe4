#ifndef CITRONPULLEY_REPLAY_CONTROL_VM_DRIVER_H
#define CITRONPULLEY_REPLAY_CONTROL_VM_DRIVER_H

#include "citronpulley/node/control_node.h"
#include "citronpulley/node/node_actions.h"
#include "citronpulley/node/node_events.h"

#include <cstdint>
#include <deque>
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
   * Starts a run of the process from what its disk holds. The first control VM of the trace forms
   * the group, and the others join it.
   *
   * @param aIncarnation number of the run
   * @param aNow present time of the VM
   */
  void Start(incarnation aIncarnation, instant aNow);

  /** Handles an event; see control_node::Handle(). */
  void Handle(const node_event& aEvent, current_time aNow, node_actions& aActions);

  /** @return the largest number of control VMs that can be driven together */
  static constexpr std::size_t GetMaxControlVms() noexcept { return 11; }

private:
  void Store(const storage_batch& aBatch);

  control_vm_setup mSetup;
  /** What is synced; batches that wait are lost with the process. */
  recovered_member mDisk;
  std::deque<storage_batch> mWaiting;
  std::unique_ptr<control_node> mNode;
};

} // namespace citronpulley

#endif
