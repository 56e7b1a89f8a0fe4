#ifndef CITRONPULLEY_GATEWAY_EVENT_LOG_H
#define CITRONPULLEY_GATEWAY_EVENT_LOG_H

#include "citronpulley/base/instant.h"

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronpulley {

/** Value of a log field, encoded as JSON. */
class event_value
{
public:
  event_value(std::string_view aText);  // NOLINT(google-explicit-constructor)
  event_value(const std::string& aText) // NOLINT(google-explicit-constructor)
    : event_value(std::string_view(aText))
  {
  }
  event_value(const char* aText) // NOLINT(google-explicit-constructor)
    : event_value(std::string_view(aText))
  {
  }
  event_value(std::int64_t aNumber); // NOLINT(google-explicit-constructor)
  event_value(int aNumber)           // NOLINT(google-explicit-constructor)
    : event_value(static_cast<std::int64_t>(aNumber))
  {
  }
  event_value(std::uint64_t aNumber) // NOLINT(google-explicit-constructor)
    : event_value(static_cast<std::int64_t>(aNumber))
  {
  }

  const std::string& GetJson() const noexcept { return mJson; }

private:
  std::string mJson;
};

/** Class of an event, which decides its rate limit. */
enum class event_class : std::uint8_t
{
  /** Successful request; limited to kSuccessLinesPerSecond. */
  Success,
  /** Refused or failed request; limited to kFailureLinesPerSecond. */
  Failure,
  /** Change of the process state; not rate limited. */
  Change,
};

/**
 * Structured log on standard output with one JSON object per line. Its volume is bounded, writing
 * never blocks, and dropped lines are counted. Not thread-safe.
 */
class event_log
{
public:
  /** Rate limits in lines per second of the classes that may be dropped. */
  static constexpr double kSuccessLinesPerSecond = 5;
  static constexpr double kFailureLinesPerSecond = 50;
  /** Buffered bytes for a slow reader of standard output beyond which lines are dropped. */
  static constexpr std::size_t kMaxPendingBytes = 64UL * 1024;
  static constexpr microseconds kDropReportInterval{ 1'000'000 };

  using field = std::pair<std::string_view, event_value>;
  using fields = std::initializer_list<field>;

  /** @param aVm name of this VM, written in each line */
  explicit event_log(std::string aVm);

  /**
   * Spends one line of the rate limit of a class; counts a dropped line when there is none left.
   *
   * @return true when the caller may write the event
   */
  bool TryReserveLine(event_class aClass, instant aNow);

  /**
   * Buffers an event; call TryReserveLine() first for rate-limited classes. The event is dropped
   * and counted when more than kMaxPendingBytes are buffered.
   */
  void Write(std::string_view aName, std::span<const field> aFields, instant aNow);
  void Write(std::string_view aName, fields aFields, instant aNow)
  {
    Write(aName, std::span(aFields.begin(), aFields.size()), aNow);
  }
  void Write(std::string_view aName,
             const std::vector<std::pair<std::string, std::string>>& aFields,
             instant aNow);

  /**
   * Writes buffered lines to standard output as far as it accepts them without blocking, and logs
   * the number of lines dropped since the last report, at most once per kDropReportInterval. Call
   * it a few times per second.
   */
  void Flush(instant aNow);

  std::uint64_t CountDroppedLines() const noexcept { return mDroppedLines; }

private:
  /** Token bucket of one class; one token is one line. */
  struct line_budget
  {
    double mTokens = 0;
    instant mRefilledAt;
  };

  bool TrySpend(line_budget& aBudget, double aRate, instant aNow);
  void StartLine(std::string_view aName, instant aNow);
  void AddField(std::string_view aName, const event_value& aValue);
  void FinishLine();

  std::string mVm;
  std::string mPending;
  line_budget mSuccesses;
  line_budget mFailures;
  std::uint64_t mDroppedLines = 0;
  std::uint64_t mReportedDroppedLines = 0;
  instant mNextDropReportAt;
};

} // namespace citronpulley

#endif
