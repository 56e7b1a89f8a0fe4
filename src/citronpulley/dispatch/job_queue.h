#ifndef CITRONPULLEY_DISPATCH_JOB_QUEUE_H
#define CITRONPULLEY_DISPATCH_JOB_QUEUE_H

#include "citronpulley/dispatch/dispatch_job.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace citronpulley {

/** Jobs of one service that wait for a slot: suspects that run alone, urgent and normal jobs. */
class job_queue
{
public:
  /** Maximum number of waiting jobs. */
  static constexpr std::size_t kMaxJobs = 256;
  /** Maximum number of urgent jobs in a row while a normal job waits. */
  static constexpr std::uint32_t kMaxConsecutiveUrgent = 4;

  /** Adds a job; the queue must not be full. */
  void Push(dispatch_job aJob);

  bool IsFull() const noexcept { return GetCount() >= kMaxJobs; }
  std::size_t GetCount() const noexcept { return mAlone.size() + mUrgent.size() + mNormal.size(); }

  /** @return number of jobs that would run before a new job */
  std::size_t CountAhead(bool aIsUrgent) const noexcept;

  /** @return the next job that may share a server, or null if there is none */
  const dispatch_job* PeekShared() const noexcept;
  /** Removes and returns the job that PeekShared() returns, which must not be null. */
  dispatch_job PopShared();

  /** @return the next job that runs alone, or null if there is none */
  const dispatch_job* PeekAlone() const noexcept;
  /** Removes and returns the job that PeekAlone() returns, which must not be null. */
  dispatch_job PopAlone();

  /** Removes a job. @return false when it is not in the queue */
  bool Remove(std::uint64_t aJob);

  /** Removes and returns all jobs whose deadline has passed. */
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
