#ifndef CITRONPULLEY_BASE_BOUNDED_RING_H
#define CITRONPULLEY_BASE_BOUNDED_RING_H

#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace citronpulley {

/**
 * Bounded FIFO queue between threads, implemented as a ring buffer. When it is full, TryPush()
 * fails, so that the producer can reject work instead of letting memory grow. Any number of
 * producers; one consumer.
 *
 * @tparam Element movable type
 */
template<typename Element>
class bounded_ring
{
public:
  /** @param aCapacity maximum number of elements; above zero */
  explicit bounded_ring(std::size_t aCapacity)
    : mSlots(aCapacity)
  {
  }

  /**
   * Appends an element.
   *
   * @param aElement element to append; moved from only on success
   * @return false when the ring is full
   */
  bool TryPush(Element& aElement)
  {
    const std::lock_guard lock(mMutex);
    if (mCount == mSlots.size()) {
      return false;
    }
    mSlots[(mFirst + mCount) % mSlots.size()].emplace(std::move(aElement));
    ++mCount;
    return true;
  }

  /** @return the oldest element, removed from the ring, or nothing when the ring is empty */
  std::optional<Element> TryPop()
  {
    const std::lock_guard lock(mMutex);
    if (mCount == 0) {
      return std::nullopt;
    }
    std::optional<Element> element = std::move(mSlots[mFirst]);
    mSlots[mFirst].reset();
    mFirst = (mFirst + 1) % mSlots.size();
    --mCount;
    return element;
  }

private:
  std::mutex mMutex;
  std::vector<std::optional<Element>> mSlots;
  std::size_t mFirst = 0;
  std::size_t mCount = 0;
};

} // namespace citronpulley

#endif
