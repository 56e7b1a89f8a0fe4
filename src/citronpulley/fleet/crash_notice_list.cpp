#include "citronpulley/fleet/crash_notice_list.h"

#include <algorithm>

namespace citronpulley {

void crash_notice_list::Add(const crash_notice& aNotice, instant aNow)
{
  if (std::ranges::find(mNotices, aNotice, &kept_notice::mNotice) != mNotices.end()) {
    return;
  }
  if (mNotices.size() >= kMaxNotices) {
    mNotices.pop_front();
  }
  mNotices.push_back({ aNotice, aNow + kLifetime });
}

std::vector<crash_notice> crash_notice_list::ListForReport(std::uint64_t aReport, instant aNow)
{
  std::erase_if(mNotices, [aNow](const kept_notice& aKept) { return aKept.mKeptUntil <= aNow; });
  std::vector<crash_notice> list;
  for (kept_notice& kept : mNotices) {
    if (kept.mLeaderEpoch != 0) {
      continue;
    }
    if (kept.mFirstReport == 0) {
      kept.mFirstReport = aReport;
    }
    list.push_back(kept.mNotice);
  }
  return list;
}

void crash_notice_list::HandleUpdate(std::uint64_t aReport, std::uint64_t aLeaderEpoch)
{
  for (kept_notice& kept : mNotices) {
    if (kept.mLeaderEpoch != 0 && kept.mLeaderEpoch != aLeaderEpoch) {
      kept.mLeaderEpoch = 0;
      kept.mFirstReport = 0;
    } else if (kept.mFirstReport != 0 && kept.mFirstReport <= aReport) {
      kept.mLeaderEpoch = aLeaderEpoch;
    }
  }
}

} // namespace citronpulley
