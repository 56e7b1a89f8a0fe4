#include "citronpulley/dispatch/crash_detector.h"

namespace citronpulley {

bool crash_detector::RecordConnectionLoss(const server_name& aServer,
                                          std::vector<digest> aRunning,
                                          job_done aDone,
                                          instant aNow)
{
  const auto [position, isNew] = mLosses.try_emplace(aServer);
  connection_loss& loss = position->second;
  if (isNew) {
    // When a server crashes, its other connections are lost after this one; their requests are
    // already included.
    loss.mRunning = std::move(aRunning);
    loss.mLostAt = aNow;
  }
  loss.mEndedJobs.push_back(std::move(aDone));
  return isNew;
}

void crash_detector::RecordAbandoned(const server_name& aServer,
                                     const digest& aFingerprint,
                                     instant aNow)
{
  auto& abandoned = mAbandoned[aServer];
  std::erase_if(abandoned,
                [aNow](const auto& aEntry) { return aEntry.first + kAbandonedLifetime <= aNow; });
  abandoned.emplace_back(aNow, aFingerprint);
}

bool crash_detector::CanDismissCrash(const server_name& aServer, instant aNow) const noexcept
{
  const auto found = mLosses.find(aServer);
  return found != mLosses.end() && found->second.mLostAt + kMaxAnnouncementDelay <= aNow;
}

crash_detector::resolution crash_detector::DismissCrash(const server_name& aServer,
                                                        const std::string& aInstance)
{
  auto node = mLosses.extract(aServer);
  if (node.empty()) {
    return {};
  }
  connection_loss& loss = node.mapped();
  return { crash_report{ aServer, aInstance, std::move(loss.mRunning), true, true },
           std::move(loss.mEndedJobs) };
}

crash_detector::resolution crash_detector::ConfirmCrash(const server_name& aServer,
                                                        const std::string& aInstance,
                                                        std::vector<digest> aRunning,
                                                        instant aNow)
{
  resolution result;
  if (auto node = mLosses.extract(aServer); !node.empty()) {
    aRunning = std::move(node.mapped().mRunning);
    result.mEndedJobs = std::move(node.mapped().mEndedJobs);
  }
  if (auto node = mAbandoned.extract(aServer); !node.empty()) {
    for (const auto& [closedAt, fingerprint] : node.mapped()) {
      if (closedAt + kAbandonedLifetime > aNow) {
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
