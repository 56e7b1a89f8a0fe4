#ifndef CITRONPULLEY_DISPATCH_JOB_QUEUE_H
#define CITRONPULLEY_DISPATCH_JOB_QUEUE_H

#include "citronpulley/dispatch/dispatch_job.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace citronpulley {

/** Jobs of one service that wait for a slot: suspects that run alone, urgent jobs and the others.
 */
class job_queue
{
public:
  /** Most jobs that wait. */
  static constexpr std::size_t kMaxJobs = 256;
  /** Urgent jobs that go before a waiting one that is not urgent. */
  static constexpr std::uint32_t kMaxConsecutiveUrgent = 4;

  /** Adds a job; the queue must not be full. */
  void Push(dispatch_job aJob);

  bool IsFull() const noexcept { return GetCount() >= kMaxJobs; }
  std::size_t GetCount() const noexcept { return mAlone.size() + mUrgent.size() + mNormal.size(); }

  /** @return jobs that a new job would wait for */
  std::size_t CountAhead(bool aIsUrgent) const noexcept;

  /** @return the next job that may share a server, or null */
  const dispatch_job* PeekShared() const noexcept;
  /** Takes the job that PeekShared() shows. */
  dispatch_job PopShared();

  /** @return the next job that runs alone, or null */
  const dispatch_job* PeekAlone() const noexcept;
  /** Takes the job that PeekAlone() shows. */
  dispatch_job PopAlone();

  /** Removes a job. @return false when it is not here */
  bool Remove(std::uint64_t aJob);

  /** Removes and returns all jobs whose deadline has come. */
  std::vector<dispatch_job> DrainOverdue(instant aNow);

  /** Removes and returns all jobs. */
  std::vector<dispatch_job> DrainAll();

private:
  bool IsUrgentNext() const noexcept;

  std::deque<dispatch_job> mAlone;
  std::deque<dispatch_job> mUrgent;
  std::deque<dispatch_job> mNormal;
  std::uint32_t mConsecutiveUrgent = 0;
};

} // namespace citronpulley

#endif
