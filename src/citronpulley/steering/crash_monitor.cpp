#include "citronpulley/steering/crash_monitor.h"

namespace citronpulley {

namespace {

/** Interval at which outdated answers are removed. */
constexpr microseconds kExpiryInterval{ 1'000'000 };

} // namespace

void crash_monitor::RecordAnswered(const digest& aRequest, instant aNow)
{
  if (mNextExpiryAt <= aNow) {
    mNextExpiryAt = aNow + kExpiryInterval;
    std::erase_if(mAnsweredUntil, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  }
  const auto known = mAnsweredUntil.find(aRequest);
  if (known != mAnsweredUntil.end()) {
    known->second = aNow + kAnswerLifetime;
  } else if (mAnsweredUntil.size() < kMaxAnswers) {
    mAnsweredUntil.emplace(aRequest, aNow + kAnswerLifetime);
  }
}

bool crash_monitor::IsAnsweredLately(const digest& aRequest, instant aNow) const
{
  const auto known = mAnsweredUntil.find(aRequest);
  return known != mAnsweredUntil.end() && aNow < known->second;
}

std::optional<backend_crash> crash_monitor::RecordUnanswered(const backend_start& aStart,
                                                             const service_name& aService,
                                                             const digest& aRequest,
                                                             instant aNow)
{
  std::erase_if(mSuspicions,
                [aNow](const auto& aEntry) { return aEntry.second.mExpiresAt <= aNow; });
  const auto replaced = mReplacedUntil.find(aStart);
  if (replaced != mReplacedUntil.end() && aNow < replaced->second) {
    return backend_crash{ aStart, aService, { aRequest } };
  }
  if (mSuspicions.size() >= kMaxSuspicions && !mSuspicions.contains(aStart)) {
    return std::nullopt;
  }
  suspicion& suspected = mSuspicions[aStart];
  suspected.mService = aService;
  suspected.mExpiresAt = aNow + kSuspicionLifetime;
  if (suspected.mRequests.size() < kMaxRequests) {
    suspected.mRequests.insert(aRequest);
  }
  return std::nullopt;
}

std::optional<backend_crash> crash_monitor::HandleReplaced(const backend_start& aStart,
                                                           instant aNow)
{
  std::erase_if(mReplacedUntil, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  mReplacedUntil.insert_or_assign(aStart, aNow + kReplacementLifetime);
  const auto suspected = mSuspicions.extract(aStart);
  if (suspected.empty() || suspected.mapped().mExpiresAt <= aNow) {
    return std::nullopt;
  }
  const std::set<digest>& requests = suspected.mapped().mRequests;
  return backend_crash{ aStart, suspected.mapped().mService, { requests.begin(), requests.end() } };
}

} // namespace citronpulley
