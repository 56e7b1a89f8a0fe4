#ifndef CITRONPULLEY_GATEWAY_CONTROL_SUBSCRIPTION_H
#define CITRONPULLEY_GATEWAY_CONTROL_SUBSCRIPTION_H

#include "citronpulley/fleet/control_contact.h"
#include "citronpulley/fleet/entry_steering.h"
#include "citronpulley/gateway/event_log.h"
#include "citronpulley/gateway/fleet_bus.h"

#include <vector>

namespace citronpulley {

/**
 * Sends the periodic reports of an entry VM to the leader of the control VMs and applies the
 * updates that it replies with; `control_contact` decides whom to ask and when. Not thread-safe.
 */
class control_subscription
{
public:
  /** Minimum time between two log lines about the search for a leader. */
  static constexpr microseconds kSearchLogInterval{ 1'000'000 };

  control_subscription(fleet_bus& aBus,
                       entry_steering& aSteering,
                       event_log& aLog,
                       std::vector<vm_name> aControlVms);

  /**
   * Sends a report when one is due, and closes connections that answer no more.
   *
   * @param aIsAccepting whether this entry VM accepts new requests; part of the report
   */
  void Tick(bool aIsAccepting, instant aNow);

  /** Makes the next Tick() send a report unless one awaits its reply. */
  void ScheduleReportNow() noexcept { mContact.ScheduleReportNow(); }

  /** Handles the reply to a report. */
  void Receive(const entry_update& aUpdate, instant aNow);

private:
  void LogDecision(const control_contact::decision& aDecision, instant aNow);

  fleet_bus& mBus;
  entry_steering& mSteering;
  event_log& mLog;
  control_contact mContact;
  instant mNextSearchLogAt;
};

} // namespace citronpulley

#endif
