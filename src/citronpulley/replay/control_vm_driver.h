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

/** Parameters of a control VM in a replay. */
struct control_vm_setup
{
  vm_name mVm;
  /** All control VMs of the trace, this one included. */
  std::vector<vm_name> mControlVms;
  /** Shared secret of the deployment. */
  std::string mSecret;
  std::string mOperatorKey;
  /** Seed of the random numbers of all runs of this VM. */
  std::uint64_t mSeed = 0;
  /**
   * Delivers an event to the node after a delay in virtual time, unless its process has ended by
   * then. The simulated disk uses it to report that a batch is synced.
   */
  std::function<void(microseconds, node_event)> mDeliverLater;
};

/**
 * Runs a control node in a replay and simulates its disk. Only this class knows how a control node
 * is constructed and which state survives a restart.
 */
class control_vm_driver
{
public:
  explicit control_vm_driver(control_vm_setup aSetup);

  /**
   * Starts the process with the state on its disk. The first control VM of the trace bootstraps the
   * group, and the others join it.
   *
   * @param aIncarnation number of this run of the process, from 1
   * @param aNow current time of the VM
   */
  void Start(incarnation aIncarnation, instant aNow);

  /**
   * Handles an event; see control_node::Handle(). Storage batches go to the simulated disk and are
   * not among the actions.
   */
  void Handle(const node_event& aEvent, current_time aNow, node_actions& aActions);

  /** @return maximum number of control VMs in one replay */
  static constexpr std::size_t GetMaxControlVms() noexcept { return 11; }

private:
  void ApplySyncedBatch(const storage_batch& aBatch);

  control_vm_setup mSetup;
  /** Synced state. Batches that are not synced yet are lost when the process ends. */
  recovered_member mDisk;
  std::deque<storage_batch> mUnsyncedBatches;
  std::unique_ptr<control_node> mNode;
};

} // namespace citronpulley

#endif
