#include "citronpulley/replay/control_vm_driver.h"

#include <utility>

namespace citronpulley {

control_vm_driver::control_vm_driver(control_vm_setup aSetup)
  : mSetup(std::move(aSetup))
{
}

void control_vm_driver::Start(incarnation aIncarnation)
{
  if (mNode == nullptr) {
    mNode =
      std::make_unique<control_node>(mSetup.mVm, mSetup.mSecret, mSetup.mOperatorKey, aIncarnation);
  }
}

void control_vm_driver::Handle(const node_event& aEvent, present_time aNow, node_actions& aActions)
{
  mNode->Handle(aEvent, aNow, aActions);
}

} // namespace citronpulley
