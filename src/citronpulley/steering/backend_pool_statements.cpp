#include "citronpulley/base/overloaded.h"
#include "citronpulley/steering/backend_pool.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

namespace {

/** Demand below which a limit is not reported, in requests per second. */
constexpr double kMinDemand = 0.02;

} // namespace

backend_pool::backend* backend_pool::FindStart(const std::string& aBackend,
                                               std::int64_t aStartedAtMs)
{
  const auto found = mBackends.find(aBackend);
  const bool isKnown =
    found != mBackends.end() && found->second.mRecord.mStartedAtMs == aStartedAtMs;
  return isKnown ? &found->second : nullptr;
}

bool backend_pool::HasToken(const backend& aBackend, instant aNow) const
{
  return !aBackend.mShare || (aNow < mSharesValidUntil && aBackend.mShare->HasToken(aNow));
}

std::size_t backend_pool::CountLimits() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mBackends, [](const auto& aEntry) { return aEntry.second.mShare.has_value(); }));
}

void backend_pool::RestoreStatements(backend& aBackend, instant aNow)
{
  const auto found = mRemovedStatements.extract(aBackend.mRecord.mId);
  if (found.empty() || found.mapped().mStartedAtMs != aBackend.mRecord.mStartedAtMs) {
    return;
  }
  const removed_statements& removed = found.mapped();
  aBackend.mBackoffUntil = removed.mBackoffUntil;
  aBackend.mHasStatedLeaving = removed.mHasStatedLeaving;
  aBackend.mRecord.mIsLeaving = aBackend.mRecord.mIsLeaving || removed.mHasStatedLeaving;
  if (removed.mLimit) {
    aBackend.mShare.emplace(*removed.mLimit, aNow);
    aBackend.mNotice = limit_rate{ *removed.mLimit };
    aBackend.mNoticeAt = aNow;
  }
}

void backend_pool::RecordBackoff(const std::string& aBackend,
                                 std::int64_t aStartedAtMs,
                                 instant aNow,
                                 instant aUntil)
{
  if (backend* backend = FindStart(aBackend, aStartedAtMs)) {
    backend->mBackoffAt = aNow;
    backend->mBackoffUntil = std::max(backend->mBackoffUntil, aUntil);
  }
}

void backend_pool::RecordLeaving(const std::string& aBackend, std::int64_t aStartedAtMs)
{
  if (backend* backend = FindStart(aBackend, aStartedAtMs)) {
    backend->mHasStatedLeaving = true;
    backend->mRecord.mIsLeaving = true;
  }
}

std::optional<instant> backend_pool::FindBackoffEnd(const placement_request& aRequest,
                                                    instant aNow) const
{
  const auto service = mServices.find(aRequest.mService);
  if (service == mServices.end()) {
    return std::nullopt;
  }
  std::optional<instant> first;
  for (const std::string& id : service->second.mBackends) {
    const backend& backend = mBackends.at(id);
    if (!IsPermitted(backend, aRequest)) {
      continue;
    }
    if (backend.mBackoffUntil <= aNow) {
      return std::nullopt;
    }
    first = std::min(first.value_or(backend.mBackoffUntil), backend.mBackoffUntil);
  }
  return first;
}

std::size_t backend_pool::CountBackoffs(instant aNow) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mBackends, [aNow](const auto& aEntry) { return aNow < aEntry.second.mBackoffUntil; }));
}

void backend_pool::RecordLimit(const std::string& aBackend,
                               std::int64_t aStartedAtMs,
                               const limit_notice& aNotice,
                               instant aNow)
{
  backend* backend = FindStart(aBackend, aStartedAtMs);
  if (backend == nullptr) {
    return;
  }
  const auto record = [&] {
    backend->mNotice = aNotice;
    backend->mNoticeAt = aNow;
    backend->mNoticeReport = 0;
  };
  std::visit(overloaded{
               [](const limit_unknown&) {},
               [&](const limit_none&) {
                 if (backend->mShare) {
                   backend->mShare.reset();
                   record();
                 }
               },
               [&](const limit_rate& aLimit) {
                 if (!backend->mShare) {
                   backend->mShare.emplace(aLimit.mRate, aNow);
                   record();
                 } else if (backend->mShare->GetLimit() != aLimit.mRate) {
                   backend->mShare->SetLimit(aLimit.mRate);
                   record();
                 }
               },
             },
             aNotice);
}

std::vector<backend_pool::known_limit> backend_pool::ListLimits(std::uint64_t aReport, instant aNow)
{
  std::vector<known_limit> list;
  for (auto& [id, backend] : mBackends) {
    const bool isNew = !std::holds_alternative<limit_unknown>(backend.mNotice);
    const double demand = backend.mShare ? backend.mShare->GetDemand(aNow) : 0;
    const double share = backend.mShare ? backend.mShare->GetShare() : 0;
    if (!isNew && demand < kMinDemand && share == 0) {
      continue;
    }
    list.push_back(
      { id, backend.mRecord.mStartedAtMs, backend.mNotice, backend.mNoticeAt, demand, share });
    if (isNew && backend.mNoticeReport == 0) {
      backend.mNoticeReport = aReport;
    }
  }
  return list;
}

void backend_pool::ReportLimitsAgain()
{
  for (auto& [id, backend] : mBackends) {
    if (backend.mShare) {
      backend.mNotice = limit_rate{ backend.mShare->GetLimit() };
      backend.mNoticeReport = 0;
    }
  }
}

void backend_pool::SetLimits(const std::map<std::string, double>& aLimits,
                             std::uint64_t aReport,
                             instant aNow)
{
  for (auto& [id, backend] : mBackends) {
    const bool isAnswered = backend.mNoticeReport != 0 && backend.mNoticeReport <= aReport;
    if (!isAnswered && !std::holds_alternative<limit_unknown>(backend.mNotice)) {
      continue;
    }
    backend.mNotice = limit_unknown{};
    const auto limit = aLimits.find(id);
    if (limit == aLimits.end()) {
      backend.mShare.reset();
    } else if (backend.mShare) {
      backend.mShare->SetLimit(limit->second);
    } else {
      backend.mShare.emplace(limit->second, aNow);
      backend.mNoticeAt = aNow;
    }
  }
}

void backend_pool::SetLimitShare(const std::string& aBackend,
                                 std::int64_t aStartedAtMs,
                                 double aShare,
                                 instant aNow)
{
  backend* backend = FindStart(aBackend, aStartedAtMs);
  if (backend != nullptr && backend->mShare) {
    backend->mShare->SetShare(aShare, aNow);
  }
}

} // namespace citronpulley
