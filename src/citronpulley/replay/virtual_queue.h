#ifndef CITRONPULLEY_REPLAY_VIRTUAL_QUEUE_H
#define CITRONPULLEY_REPLAY_VIRTUAL_QUEUE_H

#include "citronpulley/base/instant.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace citronpulley {

/** Tasks in the order of their virtual times; tasks of the same time keep the order of entry. */
class virtual_queue
{
public:
  using task = std::function<void()>;

  microseconds GetNow() const noexcept { return mNow; }

  /** Adds a task; a time in the past counts as the present. */
  void At(microseconds aTime, task aTask)
  {
    mEntries.push({ std::max(aTime, mNow), mLastSequence++, std::move(aTask) });
  }

  void After(microseconds aDelay, task aTask) { At(mNow + aDelay, std::move(aTask)); }

  /** Runs all tasks up to a time. */
  void RunUntil(microseconds aEnd)
  {
    while (!mEntries.empty() && mEntries.top().mTime <= aEnd) {
      // The order of the heap does not depend on the task, which may therefore be moved out.
      entry next = std::move(const_cast<entry&>(mEntries.top()));
      mEntries.pop();
      mNow = next.mTime;
      next.mTask();
    }
    mNow = aEnd;
  }

private:
  struct entry
  {
    microseconds mTime;
    std::uint64_t mSequence;
    task mTask;

    bool operator<(const entry& aOther) const noexcept
    {
      return std::pair(mTime, mSequence) > std::pair(aOther.mTime, aOther.mSequence);
    }
  };

  std::priority_queue<entry> mEntries;
  microseconds mNow{ 0 };
  std::uint64_t mLastSequence = 0;
};

} // namespace citronpulley

#endif
