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

bool event_log::TryTake(allowance& aAllowance, double aRate, instant aNow)
{
  const double elapsed = static_cast<double>((aNow - aAllowance.mFilledAt).count()) / 1e6;
  aAllowance.mTokens = std::min(aRate, aAllowance.mTokens + std::max(0.0, elapsed) * aRate);
  aAllowance.mFilledAt = aNow;
  if (aAllowance.mTokens < 1) {
    ++mLeftOut;
    return false;
  }
  aAllowance.mTokens -= 1;
  return true;
}

bool event_log::HasRoom(event_rank aRank, instant aNow)
{
  switch (aRank) {
    case event_rank::Success:
      return TryTake(mSuccesses, kSuccessesPerSecond, aNow);
    case event_rank::Failure:
      return TryTake(mFailures, kFailuresPerSecond, aNow);
    case event_rank::Change:
      return true;
  }
  return true;
}

void event_log::Begin(std::string_view aName, instant aNow)
{
  mWaiting.append(R"({"time_ms":)").append(std::to_string(GetUnixMilliseconds()));
  mWaiting.append(R"(,"monotonic_us":)").append(std::to_string(aNow.time_since_epoch().count()));
  Add("vm", mVm);
  Add("event", aName);
}

void event_log::Add(std::string_view aName, const event_value& aValue)
{
  mWaiting.append(",\"").append(aName).append("\":").append(aValue.GetJson());
}

void event_log::Finish()
{
  mWaiting.append("}\n");
}

void event_log::Write(std::string_view aName, fields aFields, instant aNow)
{
  if (mWaiting.size() > kMaxWaitingBytes) {
    ++mLeftOut;
    return;
  }
  Begin(aName, aNow);
  for (const auto& [name, value] : aFields) {
    Add(name, value);
  }
  Finish();
}

void event_log::Write(std::string_view aName,
                      const std::vector<std::pair<std::string, std::string>>& aFields,
                      instant aNow)
{
  if (mWaiting.size() > kMaxWaitingBytes) {
    ++mLeftOut;
    return;
  }
  Begin(aName, aNow);
  for (const auto& [name, value] : aFields) {
    Add(name, value);
  }
  Finish();
}

void event_log::Flush(instant aNow)
{
  if (mLeftOut != mReportedLeftOut && mWaiting.size() < kMaxWaitingBytes) {
    const std::uint64_t count = mLeftOut - mReportedLeftOut;
    mReportedLeftOut = mLeftOut;
    Write("lines_left_out", { { "count", count } }, aNow);
  }
  while (!mWaiting.empty()) {
    // Only as much as a pipe takes without blocking is written at once.
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      return;
    }
    const std::size_t chunk = std::min<std::size_t>(mWaiting.size(), 4'096);
    const ssize_t written = ::write(STDOUT_FILENO, mWaiting.data(), chunk);
    if (written <= 0) {
      return;
    }
    mWaiting.erase(0, static_cast<std::size_t>(written));
  }
}

} // namespace citronpulley
