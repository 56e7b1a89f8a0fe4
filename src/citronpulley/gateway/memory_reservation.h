#ifndef CITRONPULLEY_GATEWAY_MEMORY_RESERVATION_H
#define CITRONPULLEY_GATEWAY_MEMORY_RESERVATION_H

#include <cstddef>
#include <memory>
#include <optional>

namespace citronpulley {

class memory_budget;

/** Part of a `memory_budget` that one message takes; returned when it is destroyed. */
class memory_reservation
{
public:
  /** @param aBudget null for a message that is not limited */
  explicit memory_reservation(std::shared_ptr<memory_budget> aBudget = nullptr) noexcept;
  ~memory_reservation();
  memory_reservation(memory_reservation&& aOther) noexcept;
  memory_reservation& operator=(memory_reservation&& aOther) noexcept;

  /**
   * Changes the size of the message.
   *
   * @return false, without a change, when the message would exceed its share or the budget
   */
  bool TryResize(std::size_t aBytes) noexcept;

  /**
   * As TryResize(), but the share is that of what the other messages leave free. For messages that
   * may have no end: eight of them that grow together leave a quarter of the budget to the others.
   */
  bool TryResizeWithinFree(std::size_t aBytes) noexcept;

  /** @return largest size that TryResize() accepts; nothing for a message that is not limited */
  std::optional<std::size_t> GetMaxBytes() const noexcept;

  /** Changes the size of a message that exists already, even beyond the budget. */
  void Resize(std::size_t aBytes) noexcept;

private:
  std::shared_ptr<memory_budget> mBudget;
  std::size_t mBytes = 0;
};

} // namespace citronpulley

#endif
