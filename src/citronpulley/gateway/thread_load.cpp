#include "citronpulley/gateway/thread_load.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

void thread_load::RecordWork(std::string_view aKind, microseconds aDuration)
{
  work& work = mWork[aKind];
  work.mKind = aKind;
  ++work.mCount;
  work.mDuration += aDuration;
}

void thread_load::RecordLateness(microseconds aLateness)
{
  mMaxLateness = std::max(mMaxLateness, aLateness);
}

std::optional<thread_load::report> thread_load::DrainReport(instant aNow)
{
  if (!mStartedAt) {
    mStartedAt = aNow;
  }
  const microseconds span = aNow - *mStartedAt;
  if (span < kInterval) {
    return std::nullopt;
  }
  report report{ span, std::exchange(mMaxLateness, microseconds{ 0 }), {} };
  microseconds total{ 0 };
  for (const auto& [kind, work] : std::exchange(mWork, {})) {
    total += work.mDuration;
    report.mWork.push_back(work);
  }
  mStartedAt = aNow;
  const double use = static_cast<double>(total.count()) / static_cast<double>(span.count());
  if (report.mMaxLateness < kReportedLateness && use < kReportedUse) {
    return std::nullopt;
  }
  std::ranges::sort(report.mWork, std::ranges::greater{}, &work::mDuration);
  return report;
}

} // namespace citronpulley
