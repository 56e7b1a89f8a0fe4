#ifndef CITRONPULLEY_GATEWAY_CONTROL_SUBSCRIPTION_H
#define CITRONPULLEY_GATEWAY_CONTROL_SUBSCRIPTION_H

#include "citronpulley/fleet/entry_steering.h"
#include "citronpulley/gateway/event_log.h"
#include "citronpulley/gateway/fleet_bus.h"

#include <vector>

namespace citronpulley {

/**
 * Reports of an entry VM to the leader of the control VMs and the updates that answer them. It
 * finds the leader through any control VM that it has heard of. Not thread-safe.
 */
class control_subscription
{
public:
  /** Silence after which the next control VM is asked. */
  static constexpr microseconds kReplyTimeout{ 700'000 };
  /** Pause before the next control VM is asked when the last one knew no leader. */
  static constexpr microseconds kSearchPause{ 100'000 };

  control_subscription(fleet_bus& aBus,
                       entry_steering& aSteering,
                       event_log& aLog,
                       std::vector<vm_name> aControlVms);

  /** Sends a report when one is due. */
  void Tick(bool aIsAccepting, instant aNow);

  /** Sends a report at the next tick. */
  void ScheduleReportNow() noexcept { mNextReportAt = {}; }

  /** Takes an update. */
  void Receive(const entry_update& aUpdate, instant aNow);

private:
  void UpdateControlVms(const contact_reply& aContacts);
  void SwitchToNext(instant aNow);

  fleet_bus& mBus;
  entry_steering& mSteering;
  event_log& mLog;
  std::vector<vm_name> mSeeds;
  std::vector<vm_name> mControlVms;
  vm_name mCurrent;
  std::size_t mCurrentIndex = 0;
  bool mIsWaiting = false;
  bool mIsConnected = false;
  instant mSentAt;
  instant mNextReportAt;
};

} // namespace citronpulley

#endif
