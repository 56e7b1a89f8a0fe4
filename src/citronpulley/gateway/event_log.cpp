#include "citronpulley/gateway/event_log.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <poll.h>
#include <unistd.h>

namespace citronpulley {

namespace {

std::int64_t GetUnixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

event_value::event_value(std::string_view aText)
  : mJson(boost::json::serialize(boost::json::string_view(aText.data(), aText.size())))
{
}

event_value::event_value(std::int64_t aNumber)
  : mJson(std::to_string(aNumber))
{
}

event_log::event_log(std::string aVm)
  : mVm(std::move(aVm))
{
}

bool event_log::TrySpend(line_budget& aBudget, double aRate, instant aNow)
{
  const double elapsed = static_cast<double>((aNow - aBudget.mRefilledAt).count()) / 1e6;
  aBudget.mTokens = std::min(aRate, aBudget.mTokens + std::max(0.0, elapsed) * aRate);
  aBudget.mRefilledAt = aNow;
  if (aBudget.mTokens < 1) {
    ++mDroppedLines;
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

bool event_log::TryReserveLine(event_class aClass, instant aNow)
{
  switch (aClass) {
    case event_class::Success:
      return TrySpend(mSuccesses, kSuccessLinesPerSecond, aNow);
    case event_class::Failure:
      return TrySpend(mFailures, kFailureLinesPerSecond, aNow);
    case event_class::Change:
      return true;
  }
  return true;
}

void event_log::StartLine(std::string_view aName, instant aNow)
{
  mPending.append(R"({"time_ms":)").append(std::to_string(GetUnixMilliseconds()));
  mPending.append(R"(,"monotonic_us":)").append(std::to_string(aNow.time_since_epoch().count()));
  AddField("vm", mVm);
  AddField("event", aName);
}

void event_log::AddField(std::string_view aName, const event_value& aValue)
{
  mPending.append(",\"").append(aName).append("\":").append(aValue.GetJson());
}

void event_log::FinishLine()
{
  mPending.append("}\n");
}

void event_log::Write(std::string_view aName, std::span<const field> aFields, instant aNow)
{
  if (mPending.size() > kMaxPendingBytes) {
    ++mDroppedLines;
    return;
  }
  StartLine(aName, aNow);
  for (const auto& [name, value] : aFields) {
    AddField(name, value);
  }
  FinishLine();
}

void event_log::Write(std::string_view aName,
                      const std::vector<std::pair<std::string, std::string>>& aFields,
                      instant aNow)
{
  if (mPending.size() > kMaxPendingBytes) {
    ++mDroppedLines;
    return;
  }
  StartLine(aName, aNow);
  for (const auto& [name, value] : aFields) {
    AddField(name, value);
  }
  FinishLine();
}

void event_log::Flush(instant aNow)
{
  if (mDroppedLines != mReportedDroppedLines && mNextDropReportAt <= aNow &&
      mPending.size() < kMaxPendingBytes) {
    mNextDropReportAt = aNow + kDropReportInterval;
    const std::uint64_t count = mDroppedLines - mReportedDroppedLines;
    mReportedDroppedLines = mDroppedLines;
    Write("lines_left_out", { { "count", count } }, aNow);
  }
  while (!mPending.empty()) {
    // Writes at most 4096 bytes (PIPE_BUF) per ready poll, so that a write to a pipe cannot block.
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      return;
    }
    const std::size_t chunk = std::min<std::size_t>(mPending.size(), 4'096);
    const ssize_t written = ::write(STDOUT_FILENO, mPending.data(), chunk);
    if (written <= 0) {
      return;
    }
    mPending.erase(0, static_cast<std::size_t>(written));
  }
}

} // namespace citronpulley
