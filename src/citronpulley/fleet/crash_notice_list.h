#ifndef CITRONPULLEY_FLEET_CRASH_NOTICE_LIST_H
#define CITRONPULLEY_FLEET_CRASH_NOTICE_LIST_H

#include "citronpulley/base/instant.h"
#include "citronpulley/fleet/fleet_message.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace citronpulley {

/**
 * Crash notices of an entry VM. A notice is reported until a leader has acknowledged it, and again
 * to each later leader, because the counts of a leader end with it. Does no input or output. Not
 * thread-safe.
 */
class crash_notice_list
{
public:
  /** Time for which a notice is kept: that for which a leader counts it. */
  static constexpr microseconds kLifetime{ 120'000'000 };
  static constexpr std::size_t kMaxNotices = 200;

  /** Adds a notice, in place of the oldest one when there are `kMaxNotices`. */
  void Add(const crash_notice& aNotice, instant aNow);

  /**
   * @param aReport number of the report
   * @return notices that the leader may not have
   */
  std::vector<crash_notice> ListForReport(std::uint64_t aReport, instant aNow);

  /**
   * Handles the update of a confirmed leader.
   *
   * @param aReport number of the report that it answers
   * @param aLeaderEpoch number that differs between leaders, not 0
   */
  void HandleUpdate(std::uint64_t aReport, std::uint64_t aLeaderEpoch);

private:
  struct kept_notice
  {
    crash_notice mNotice;
    instant mKeptUntil;
    /** First report with the notice to the leader that has not acknowledged it yet; 0 for none. */
    std::uint64_t mFirstReport = 0;
    /** Epoch of the leader that has the notice; 0 for none. */
    std::uint64_t mLeaderEpoch = 0;
  };

  std::deque<kept_notice> mNotices;
};

} // namespace citronpulley

#endif
