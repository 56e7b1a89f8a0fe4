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

/** Tasks in the order of their virtual times; tasks of the same time keep the order of entry. */
class virtual_time_scheduler
{
public:
  using task = std::function<void()>;

  microseconds GetNow() const noexcept { return mNow; }

  /** Adds a task; a time in the past counts as the present. */
  void ScheduleAt(microseconds aTime, task aTask)
  {
    mTasks.push({ std::max(aTime, mNow), mNextSequence++, std::move(aTask) });
  }

  void ScheduleAfter(microseconds aDelay, task aTask)
  {
    ScheduleAt(mNow + aDelay, std::move(aTask));
  }

  /** Runs all tasks up to a time. */
  void RunUntil(microseconds aEnd)
  {
    while (!mTasks.empty() && mTasks.top().mTime <= aEnd) {
      // The order of the heap does not depend on the task, which may therefore be moved out.
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
