#include "citronpulley/dispatch/job_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace citronpulley {

void job_queue::Push(dispatch_job aJob)
{
  assert(!IsFull());
  std::deque<dispatch_job>& queue = aJob.mRunsAlone ? mAlone : (aJob.mIsUrgent ? mUrgent : mNormal);
  queue.push_back(std::move(aJob));
}

std::size_t job_queue::CountAhead(bool aIsUrgent) const noexcept
{
  if (!aIsUrgent) {
    return GetCount();
  }
  return mAlone.size() + mUrgent.size() +
         std::min(mNormal.size(), (mConsecutiveUrgent + mUrgent.size()) / kMaxConsecutiveUrgent);
}

const dispatch_job* job_queue::PeekShared() const noexcept
{
  if (IsUrgentNext()) {
    return &mUrgent.front();
  }
  return mNormal.empty() ? nullptr : &mNormal.front();
}

dispatch_job job_queue::PopShared()
{
  const bool isUrgent = IsUrgentNext();
  std::deque<dispatch_job>& queue = isUrgent ? mUrgent : mNormal;
  assert(!queue.empty());
  mConsecutiveUrgent = isUrgent && !mNormal.empty() ? mConsecutiveUrgent + 1 : 0;
  dispatch_job job = std::move(queue.front());
  queue.pop_front();
  return job;
}

const dispatch_job* job_queue::PeekAlone() const noexcept
{
  return mAlone.empty() ? nullptr : &mAlone.front();
}

dispatch_job job_queue::PopAlone()
{
  assert(!mAlone.empty());
  dispatch_job job = std::move(mAlone.front());
  mAlone.pop_front();
  return job;
}

bool job_queue::Remove(std::uint64_t aJob)
{
  const auto isJob = [aJob](const dispatch_job& aQueued) { return aQueued.mJob == aJob; };
  for (std::deque<dispatch_job>* queue : { &mAlone, &mUrgent, &mNormal }) {
    if (std::erase_if(*queue, isJob) > 0) {
      return true;
    }
  }
  return false;
}

std::vector<dispatch_job> job_queue::DrainOverdue(instant aNow)
{
  std::vector<dispatch_job> overdue;
  for (std::deque<dispatch_job>* queue : { &mAlone, &mUrgent, &mNormal }) {
    const auto keep =
      std::stable_partition(queue->begin(), queue->end(), [aNow](const dispatch_job& aJob) {
        return aJob.mDeadline > aNow;
      });
    std::move(keep, queue->end(), std::back_inserter(overdue));
    queue->erase(keep, queue->end());
  }
  return overdue;
}

std::vector<dispatch_job> job_queue::DrainAll()
{
  return DrainOverdue(instant::max());
}

bool job_queue::IsUrgentNext() const noexcept
{
  return !mUrgent.empty() && (mNormal.empty() || mConsecutiveUrgent < kMaxConsecutiveUrgent);
}

} // namespace citronpulley
