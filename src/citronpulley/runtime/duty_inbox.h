#ifndef CITRONPULLEY_RUNTIME_DUTY_INBOX_H
#define CITRONPULLEY_RUNTIME_DUTY_INBOX_H

#include "citronpulley/base/bounded_ring.h"
#include "citronpulley/runtime/duty_thread.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace citronpulley {

/**
 * Bounded ring into a duty's thread. It wakes the thread only when the ring was empty.
 *
 * @tparam Element movable type
 */
template<typename Element>
class duty_inbox
{
public:
  /**
   * @param aThread thread that handles the elements; it must be stopped before the inbox ends
   * @param aCapacity most elements that wait
   * @param aHandle called on the thread for each element
   */
  duty_inbox(duty_thread& aThread, std::size_t aCapacity, std::function<void(Element)> aHandle)
    : mThread(aThread)
    , mRing(aCapacity)
    , mHandle(std::move(aHandle))
  {
  }

  /**
   * Passes an element to the thread.
   *
   * @param aElement element; moved from only on success
   * @return false when the ring is full
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
      mHandle(std::move(*element));
    }
  }

  duty_thread& mThread;
  bounded_ring<Element> mRing;
  std::function<void(Element)> mHandle;
  std::atomic<bool> mIsScheduled{ false };
};

} // namespace citronpulley

#endif
