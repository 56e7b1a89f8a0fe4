#ifndef CITRONPULLEY_GATEWAY_CONTROL_SUBSCRIPTION_H
#define CITRONPULLEY_GATEWAY_CONTROL_SUBSCRIPTION_H

#include "citronpulley/fleet/entry_steering.h"
#include "citronpulley/gateway/event_log.h"
#include "citronpulley/gateway/fleet_bus.h"

#include <vector>

namespace citronpulley {

/**
 * Sends the periodic reports of an entry VM to the leader of the control VMs and applies the
 * updates that it replies with. Finds the leader by asking the known control VMs in turn. Not
 * thread-safe.
 */
class control_subscription
{
public:
  /** Time without a reply after which the next control VM is tried. */
  static constexpr microseconds kReplyTimeout{ 700'000 };
  /** Delay before the next control VM is tried. */
  static constexpr microseconds kSearchPause{ 100'000 };

  control_subscription(fleet_bus& aBus,
                       entry_steering& aSteering,
                       event_log& aLog,
                       std::vector<vm_name> aControlVms);

  /**
   * Sends a report when one is due, and switches to the next control VM after kReplyTimeout.
   *
   * @param aIsAccepting whether this entry VM accepts new requests; part of the report
   */
  void Tick(bool aIsAccepting, instant aNow);

  /** Makes the next Tick() send a report unless one awaits its reply. */
  void ScheduleReportNow() noexcept { mNextReportAt = {}; }

  /**
   * Handles the reply to a report. An unconfirmed update only names the control VMs and the leader,
   * which gets the next report; if it names no other leader, the next control VM is tried. An
   * update without a report in progress is ignored.
   */
  void Receive(const entry_update& aUpdate, instant aNow);

private:
  void UpdateControlVms(const contact_reply& aContacts);
  void SwitchToNext(instant aNow);

  fleet_bus& mBus;
  entry_steering& mSteering;
  event_log& mLog;
  /** Control VMs of the settings; always kept among the candidates. */
  std::vector<vm_name> mSeeds;
  std::vector<vm_name> mControlVms;
  /** Control VM that gets the reports. */
  vm_name mCurrent;
  std::size_t mCurrentIndex = 0;
  /** A report awaits its reply. */
  bool mIsWaiting = false;
  /** The last reply was a confirmed update. */
  bool mIsConnected = false;
  instant mSentAt;
  instant mNextReportAt;
};

} // namespace citronpulley

#endif
