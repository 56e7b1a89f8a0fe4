#ifndef CITRONPULLEY_GATEWAY_THREAD_LOAD_H
#define CITRONPULLEY_GATEWAY_THREAD_LOAD_H

#include "citronpulley/base/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace citronpulley {

/**
 * Measures how busy the main thread of a process is: the time that it spends on each kind of work,
 * and by how much its timer is late. Shows whether an answer is slow because the thread has no
 * processor time left, or because it waits for a disk or a peer. Does no input or output. Not
 * thread-safe.
 */
class thread_load
{
public:
  /** Length of one measurement. */
  static constexpr microseconds kInterval{ 1'000'000 };
  /** Lateness of the timer, and fraction of the interval spent on work, that are reported. */
  static constexpr microseconds kReportedLateness{ 100'000 };
  static constexpr double kReportedUse = 0.5;

  /** Work of one kind in one interval. */
  struct work
  {
    std::string_view mKind;
    std::uint64_t mCount = 0;
    microseconds mDuration{ 0 };

    friend auto operator<=>(const work&, const work&) = default;
  };

  /** Measurement of one interval. */
  struct report
  {
    microseconds mSpan{ 0 };
    microseconds mMaxLateness{ 0 };
    /** Each kind of work, the one that took longest first. */
    std::vector<work> mWork;

    friend bool operator==(const report&, const report&) = default;
  };

  /**
   * Records finished work.
   *
   * @param aKind name of the kind of work; must outlive this object
   */
  void RecordWork(std::string_view aKind, microseconds aDuration);

  /** Records by how much the timer was late. */
  void RecordLateness(microseconds aLateness);

  /**
   * Ends the interval when its length has passed.
   *
   * @return the measurement, or nothing while the interval lasts or when the thread was not busy
   */
  std::optional<report> DrainReport(instant aNow);

private:
  std::map<std::string_view, work> mWork;
  microseconds mMaxLateness{ 0 };
  std::optional<instant> mStartedAt;
};

} // namespace citronpulley

#endif
