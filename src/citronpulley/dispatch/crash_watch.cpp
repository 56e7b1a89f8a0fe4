#include "citronpulley/dispatch/crash_watch.h"

namespace citronpulley {

bool crash_watch::NoteLoss(const server_name& aServer,
                           std::vector<digest> aRunning,
                           job_done aEnd,
                           instant aNow)
{
  const auto [place, isNew] = mLosses.try_emplace(aServer);
  loss& watched = place->second;
  if (isNew) {
    // The other connections of a crashed server end after the first one; their requests are here.
    watched.mRunning = std::move(aRunning);
    watched.mLostAt = aNow;
  }
  watched.mEnded.push_back(std::move(aEnd));
  return isNew;
}

void crash_watch::NoteAbandoned(const server_name& aServer,
                                const digest& aFingerprint,
                                instant aNow)
{
  auto& abandoned = mAbandoned[aServer];
  std::erase_if(abandoned, [aNow](const auto& aOne) { return aOne.first + kAbandonedFor <= aNow; });
  abandoned.emplace_back(aNow, aFingerprint);
}

bool crash_watch::IsDisproved(const server_name& aServer, instant aNow) const noexcept
{
  const auto found = mLosses.find(aServer);
  return found != mLosses.end() && found->second.mLostAt + kAnnouncementDelay <= aNow;
}

crash_watch::verdict crash_watch::Dismiss(const server_name& aServer, const std::string& aInstance)
{
  auto node = mLosses.extract(aServer);
  if (node.empty()) {
    return {};
  }
  loss& watched = node.mapped();
  return { crash_report{ aServer, aInstance, std::move(watched.mRunning), true, true },
           std::move(watched.mEnded) };
}

crash_watch::verdict crash_watch::Confirm(const server_name& aServer,
                                          const std::string& aInstance,
                                          std::vector<digest> aRunning,
                                          instant aNow)
{
  verdict result;
  if (auto node = mLosses.extract(aServer); !node.empty()) {
    aRunning = std::move(node.mapped().mRunning);
    result.mEnded = std::move(node.mapped().mEnded);
  }
  if (auto node = mAbandoned.extract(aServer); !node.empty()) {
    for (const auto& [closedAt, fingerprint] : node.mapped()) {
      if (closedAt + kAbandonedFor > aNow) {
        aRunning.push_back(fingerprint);
      }
    }
  }
  if (!aRunning.empty()) {
    result.mReport = crash_report{ aServer, aInstance, std::move(aRunning), false };
  }
  return result;
}

} // namespace citronpulley
