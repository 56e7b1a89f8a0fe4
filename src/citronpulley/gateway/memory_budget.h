#ifndef CITRONPULLEY_GATEWAY_MEMORY_BUDGET_H
#define CITRONPULLEY_GATEWAY_MEMORY_BUDGET_H

#include <cstddef>

namespace citronpulley {

/**
 * Bytes that the messages which a process receives and sends may take together, so that neither an
 * endless message nor many large ones exceed the memory of the VM. Not thread-safe.
 */
class memory_budget
{
public:
  /** A single message may take this part of the memory. */
  static constexpr std::size_t kMessageDivisor = 4;

  /** @param aMaxBytes maximum for all messages */
  explicit memory_budget(std::size_t aMaxBytes) noexcept
    : mMaxBytes(aMaxBytes)
  {
  }

  std::size_t GetUsedBytes() const noexcept { return mUsedBytes; }
  std::size_t GetMaxBytes() const noexcept { return mMaxBytes; }
  std::size_t GetMaxMessageBytes() const noexcept { return mMaxBytes / kMessageDivisor; }

  /** @return true while messages take more than three quarters of the budget */
  bool IsShort() const noexcept { return mUsedBytes > mMaxBytes / 4 * 3; }

private:
  friend class memory_reservation;

  std::size_t mMaxBytes;
  std::size_t mUsedBytes = 0;
};

} // namespace citronpulley

#endif
