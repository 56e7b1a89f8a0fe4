#ifndef CITRONPULLEY_GATEWAY_EVENT_LOG_H
#define CITRONPULLEY_GATEWAY_EVENT_LOG_H

#include "citronpulley/base/instant.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronpulley {

/** Value of a field in the log. */
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

  /** @return the value as JSON */
  const std::string& GetJson() const noexcept { return mJson; }

private:
  std::string mJson;
};

/** Rank of an event under the limit on volume. */
enum class event_class : std::uint8_t
{
  /** Ordinary success; the first to be left out. */
  Success,
  /** Refusal or failure of a request. */
  Failure,
  /** Change of what the process believes; never left out. */
  Change,
};

/**
 * Structured log on the standard output, one JSON object a line. Its volume is bounded, it never
 * blocks, and what it leaves out is counted. Not thread-safe.
 */
class event_log
{
public:
  /** Lines per second of each rank that may be left out. */
  static constexpr double kSuccessLinesPerSecond = 5;
  static constexpr double kFailureLinesPerSecond = 50;
  /** Bytes that wait for a slow reader before lines are left out. */
  static constexpr std::size_t kMaxPendingBytes = 64UL * 1024;

  using fields = std::initializer_list<std::pair<std::string_view, event_value>>;

  /** @param aVm name of this VM in each line */
  explicit event_log(std::string aVm);

  /** @return true when an event of the rank would be written now */
  bool TryReserveLine(event_class aClass, instant aNow);

  /** Writes an event; call TryReserveLine() first for ranks that may be left out. */
  void Write(std::string_view aName, fields aFields, instant aNow);
  void Write(std::string_view aName,
             const std::vector<std::pair<std::string, std::string>>& aFields,
             instant aNow);

  /** Writes what waits, and the count of lines that were left out; call it a few times a second. */
  void Flush(instant aNow);

  std::uint64_t CountDroppedLines() const noexcept { return mDroppedLines; }

private:
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
};

} // namespace citronpulley

#endif
