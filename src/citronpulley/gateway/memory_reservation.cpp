#include "citronpulley/gateway/memory_reservation.h"

#include "citronpulley/gateway/memory_budget.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

memory_reservation::memory_reservation(std::shared_ptr<memory_budget> aBudget) noexcept
  : mBudget(std::move(aBudget))
{
}

memory_reservation::~memory_reservation()
{
  Resize(0);
}

memory_reservation::memory_reservation(memory_reservation&& aOther) noexcept
  : mBudget(std::move(aOther.mBudget))
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

memory_reservation& memory_reservation::operator=(memory_reservation&& aOther) noexcept
{
  if (this != &aOther) {
    Resize(0);
    mBudget = std::move(aOther.mBudget);
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

bool memory_reservation::TryResize(std::size_t aBytes) noexcept
{
  if (mBudget && aBytes > mBytes) {
    const bool isTooLarge = aBytes > mBudget->GetMaxMessageBytes();
    if (isTooLarge || mBudget->mUsedBytes - mBytes + aBytes > mBudget->mMaxBytes) {
      return false;
    }
  }
  Resize(aBytes);
  return true;
}

bool memory_reservation::TryResizeWithinFree(std::size_t aBytes) noexcept
{
  if (mBudget && aBytes > mBytes) {
    const std::size_t others = mBudget->mUsedBytes - mBytes;
    const std::size_t free = mBudget->mMaxBytes - std::min(others, mBudget->mMaxBytes);
    if (aBytes > free / memory_budget::kMessageDivisor) {
      return false;
    }
  }
  return TryResize(aBytes);
}

std::optional<std::size_t> memory_reservation::GetMaxBytes() const noexcept
{
  return mBudget ? std::optional<std::size_t>(mBudget->GetMaxMessageBytes()) : std::nullopt;
}

void memory_reservation::Resize(std::size_t aBytes) noexcept
{
  if (mBudget) {
    mBudget->mUsedBytes = mBudget->mUsedBytes - mBytes + aBytes;
  }
  mBytes = aBytes;
}

} // namespace citronpulley
