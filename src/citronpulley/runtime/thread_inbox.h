#ifndef CITRONPULLEY_RUNTIME_THREAD_INBOX_H
#define CITRONPULLEY_RUNTIME_THREAD_INBOX_H

#include "citronpulley/base/bounded_ring.h"
#include "citronpulley/runtime/event_loop_thread.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace citronpulley {

/**
 * Bounded queue of elements that an event loop thread handles in order. A push wakes the thread
 * only if no drain of the queue is scheduled yet, so that a burst of elements costs one wake-up.
 * TryPush() is thread-safe.
 *
 * @tparam Element movable type
 */
template<typename Element>
class thread_inbox
{
public:
  /**
   * @param aThread thread that handles the elements; it must be stopped before the inbox is
   * destroyed
   * @param aCapacity maximum number of waiting elements
   * @param aHandler called on the thread for each element
   */
  thread_inbox(event_loop_thread& aThread,
               std::size_t aCapacity,
               std::function<void(Element)> aHandler)
    : mThread(aThread)
    , mRing(aCapacity)
    , mHandler(std::move(aHandler))
  {
  }

  /**
   * Queues an element for the thread.
   *
   * @param aElement element; moved from only on success
   * @return false if the queue is full
   */
  bool TryPush(Element& aElement)
  {
    if (!mRing.TryPush(aElement)) {
      return false;
    }
    if (!mIsScheduled.exchange(true)) {
      mThread.Post([this] { Drain(); });
    }
    return true;
  }

private:
  void Drain()
  {
    mIsScheduled.store(false);
    while (std::optional<Element> element = mRing.TryPop()) {
      mHandler(std::move(*element));
    }
  }

  event_loop_thread& mThread;
  bounded_ring<Element> mRing;
  std::function<void(Element)> mHandler;
  std::atomic<bool> mIsScheduled{ false };
};

} // namespace citronpulley

#endif
