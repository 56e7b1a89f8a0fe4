#ifndef CITRONPULLEY_REPLAY_VIRTUAL_TIME_SCHEDULER_H
#define CITRONPULLEY_REPLAY_VIRTUAL_TIME_SCHEDULER_H

#include "citronpulley/base/instant.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace citronpulley {

/**
 * Runs tasks in the order of their virtual times; tasks of the same time run in the order in which
 * they were added. Virtual time advances only from task to task.
 */
class virtual_time_scheduler
{
public:
  using task = std::function<void()>;

  microseconds GetNow() const noexcept { return mNow; }

  /** Adds a task; one with a time in the past runs at the current time. */
  void ScheduleAt(microseconds aTime, task aTask)
  {
    mTasks.push({ std::max(aTime, mNow), mNextSequence++, std::move(aTask) });
  }

  void ScheduleAfter(microseconds aDelay, task aTask)
  {
    ScheduleAt(mNow + aDelay, std::move(aTask));
  }

  /** Runs all tasks up to and including a time, also those that are added meanwhile. */
  void RunUntil(microseconds aEnd)
  {
    while (!mTasks.empty() && mTasks.top().mTime <= aEnd) {
      // Moving the task out is safe, because the order of the heap does not depend on it.
      scheduled_task next = std::move(const_cast<scheduled_task&>(mTasks.top()));
      mTasks.pop();
      mNow = next.mTime;
      next.mTask();
    }
    mNow = aEnd;
  }

private:
  struct scheduled_task
  {
    microseconds mTime;
    std::uint64_t mSequence;
    task mTask;

    bool operator<(const scheduled_task& aOther) const noexcept
    {
      return std::pair(mTime, mSequence) > std::pair(aOther.mTime, aOther.mSequence);
    }
  };

  std::priority_queue<scheduled_task> mTasks;
  microseconds mNow{ 0 };
  std::uint64_t mNextSequence = 0;
};

} // namespace citronpulley

#endif
