#ifndef CITRONPULLEY_FLEET_CONTROL_CONTACT_H
#define CITRONPULLEY_FLEET_CONTROL_CONTACT_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace citronpulley {

struct entry_update;

/**
 * Decides to which control VM an entry VM sends its reports, and when. Finds the leader by asking
 * the known control VMs in turn.
 *
 * Answers the load of a change of the leader: all entry VMs come to the new leader within a few
 * hundred milliseconds, and it answers them one after the other. A VM that gives up a slow answer
 * and asks again makes the leader do the same work twice, which keeps it slow. Therefore a report
 * stays open, and its answer is used, while the leader is only slow; a VM that is sent back to it
 * waits for that answer instead of asking again. Does no input or output. Not thread-safe.
 */
class control_contact
{
public:
  static constexpr microseconds kReportInterval{ 300'000 };
  /** Time without received bytes after which other control VMs are asked who leads. */
  static constexpr microseconds kReplyTimeout{ 700'000 };
  /**
   * Time after which an unanswered report is given up and its connection is closed; it doubles with
   * each report that is given up, up to kMaxGiveUpTime.
   */
  static constexpr microseconds kMinGiveUpTime{ 2'500'000 };
  static constexpr microseconds kMaxGiveUpTime{ 8'000'000 };
  /** Delay before the next control VM is tried. */
  static constexpr microseconds kSearchPause{ 100'000 };

  /** State of the connection to one control VM. */
  struct link_state
  {
    /** False when there is no connection and none is being opened. */
    bool mIsUsable = false;
    /** Time of the last received bytes, also of an incomplete message. */
    instant mLastReceivedAt;
  };

  using get_link = std::function<link_state(const vm_name&)>;

  /** What to do at one tick. */
  struct decision
  {
    /** Control VM that gets a report now; RecordReport() must follow. */
    std::optional<vm_name> mReportTo;
    /** Connections to close. */
    std::vector<vm_name> mDisconnect;
    /** Control VM that was given up, and the reason for the log. */
    vm_name mGivenUp;
    std::string_view mReason;
    /** Contact with a leader was lost at this tick. */
    bool mIsLost = false;
  };

  /** @param aSeeds control VMs of the settings; always kept among the candidates */
  explicit control_contact(std::vector<vm_name> aSeeds);

  /** Makes the next Tick() send a report unless one awaits its answer. */
  void ScheduleReportNow() noexcept { mNextReportAt = {}; }

  decision Tick(const get_link& aGetLink, instant aNow);

  /** Records that the report with this number was sent to GetCurrent(). */
  void RecordReport(std::uint64_t aNumber, instant aNow);

  /**
   * Handles an answer. An unconfirmed one only names the control VMs and the leader, which is asked
   * next.
   *
   * @return time since the report, or nothing when no report with its number awaits an answer
   */
  std::optional<microseconds> Receive(const entry_update& aUpdate, instant aNow);

  const vm_name& GetCurrent() const noexcept { return mCurrent; }
  /** @return true while the last answer came from a confirmed leader */
  bool IsConnected() const noexcept { return mIsConnected; }
  /** @return number of control VMs given up since the last contact with a leader */
  std::uint64_t CountGivenUp() const noexcept { return mGivenUpCount; }

private:
  struct open_report
  {
    vm_name mVm;
    instant mSentAt;
    instant mGiveUpAt;
  };

  void UpdateControlVms(const std::vector<vm_name>& aControlVms);
  void SwitchToNext(instant aNow);
  void FollowLeader(const vm_name& aLeader, instant aNow);
  void CloseOverdueReports(instant aNow, decision& aDecision);
  /** Forgets reports whose connection has ended, so that no answer to them can come. */
  void CloseReportsTo(const vm_name& aVm);
  bool HasOpenReport(const vm_name& aVm) const;

  std::vector<vm_name> mSeeds;
  std::vector<vm_name> mControlVms;
  vm_name mCurrent;
  std::size_t mCurrentIndex = 0;
  /** An answer of the current control VM is awaited since this time. */
  std::optional<instant> mWaitingSince;
  bool mIsConnected = false;
  instant mNextReportAt;
  microseconds mGiveUpTime{ kMinGiveUpTime };
  std::uint64_t mGivenUpCount = 0;
  std::map<std::uint64_t, open_report> mOpenReports;
};

} // namespace citronpulley

#endif
