#include "citronpulley/node/request_table.h"

#include <algorithm>
#include <variant>

namespace citronpulley {

active_request& request_table::Add(active_request aRequest)
{
  const std::uint64_t number = aRequest.mNumber;
  if (const auto* caller = std::get_if<caller_origin>(&aRequest.mOrigin)) {
    mByCaller.insert_or_assign(caller->mRequest, number);
  } else {
    const auto& peer = std::get<peer_origin>(aRequest.mOrigin);
    mByForward.insert_or_assign({ peer.mVm, peer.mIncarnation, peer.mForwardNumber }, number);
  }
  return mRequests.insert_or_assign(number, std::move(aRequest)).first->second;
}

active_request* request_table::Find(std::uint64_t aNumber) noexcept
{
  const auto found = mRequests.find(aNumber);
  return found == mRequests.end() ? nullptr : &found->second;
}

active_request* request_table::FindCallerRequest(std::uint64_t aHttpRequest) noexcept
{
  const auto found = mByCaller.find(aHttpRequest);
  return found == mByCaller.end() ? nullptr : Find(found->second);
}

active_request* request_table::FindForwardedRequest(const vm_name& aVm,
                                                    incarnation aIncarnation,
                                                    std::uint64_t aForwardNumber) noexcept
{
  const auto found = mByForward.find({ aVm, aIncarnation, aForwardNumber });
  return found == mByForward.end() ? nullptr : Find(found->second);
}

active_request* request_table::FindByAttempt(std::uint64_t aAttempt, const vm_name& aVm) noexcept
{
  const auto found = mByAttempt.find(aAttempt);
  active_request* request = found == mByAttempt.end() ? nullptr : Find(found->second);
  return request != nullptr && request->mAttemptVm == aVm ? request : nullptr;
}

void request_table::StartAttempt(active_request& aRequest, const vm_name& aVm)
{
  EndAttempt(aRequest);
  aRequest.mStage = request_stage::Runs;
  aRequest.mAttemptVm = aVm;
  aRequest.mAttemptNumber = ++mLastAttempt;
  ++aRequest.mAttempts;
  mByAttempt.emplace(aRequest.mAttemptNumber, aRequest.mNumber);
  Schedule(aRequest, aRequest.mDeadline);
}

void request_table::EndAttempt(active_request& aRequest)
{
  mByAttempt.erase(aRequest.mAttemptNumber);
  aRequest.mAttemptNumber = 0;
}

void request_table::Schedule(active_request& aRequest, instant aAt)
{
  mDue.erase({ aRequest.mDueAt, aRequest.mNumber });
  aRequest.mDueAt = aAt;
  mDue.emplace(aAt, aRequest.mNumber);
}

std::vector<std::uint64_t> request_table::DrainDue(instant aNow)
{
  std::vector<std::uint64_t> due;
  while (!mDue.empty() && mDue.begin()->first <= aNow) {
    due.push_back(mDue.begin()->second);
    mDue.erase(mDue.begin());
  }
  return due;
}

std::vector<std::uint64_t> request_table::ListAttempts(const vm_name& aVm) const
{
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, request] : mRequests) {
    if (request.mStage == request_stage::Runs && request.mAttemptVm == aVm) {
      numbers.push_back(number);
    }
  }
  // The iteration order of the hash table differs between builds, but actions must not.
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

void request_table::Remove(std::uint64_t aNumber)
{
  const auto found = mRequests.find(aNumber);
  if (found == mRequests.end()) {
    return;
  }
  const active_request& request = found->second;
  mByAttempt.erase(request.mAttemptNumber);
  mDue.erase({ request.mDueAt, aNumber });
  if (const auto* caller = std::get_if<caller_origin>(&request.mOrigin)) {
    mByCaller.erase(caller->mRequest);
  } else {
    const auto& peer = std::get<peer_origin>(request.mOrigin);
    mByForward.erase({ peer.mVm, peer.mIncarnation, peer.mForwardNumber });
  }
  mRequests.erase(found);
}

} // namespace citronpulley
