#include "citronpulley/gateway/disk_writer.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace citronpulley {

disk_writer::disk_writer(boost::asio::io_context& aIo,
                         member_storage& aStorage,
                         on_stored aOnStored)
  : mIo(aIo)
  , mStorage(aStorage)
  , mOnStored(std::move(aOnStored))
  , mThread([this] { Run(); })
{
}

disk_writer::~disk_writer()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mWakeCondition.notify_one();
  mThread.join();
}

void disk_writer::Store(storage_batch aBatch)
{
  {
    const std::lock_guard lock(mMutex);
    mBatches.push_back(std::move(aBatch));
  }
  mWakeCondition.notify_one();
}

void disk_writer::Reopen(on_reopened aOnReopened)
{
  {
    const std::lock_guard lock(mMutex);
    mOnReopened = std::move(aOnReopened);
  }
  mWakeCondition.notify_one();
}

void disk_writer::StoreBatches(const std::vector<storage_batch>& aBatches)
{
  const status stored = mStorage.Store(aBatches);
  result<std::uint64_t> outcome = stored ? result<std::uint64_t>(aBatches.back().mNumber)
                                         : result<std::uint64_t>(stored.GetError());
  boost::asio::post(mIo, [this, outcome] { mOnStored(outcome); });
}

void disk_writer::Run()
{
  while (true) {
    std::vector<storage_batch> batches;
    on_reopened onReopened;
    {
      std::unique_lock lock(mMutex);
      mWakeCondition.wait(lock, [this] { return mIsStopping || !mBatches.empty() || mOnReopened; });
      if (mIsStopping) {
        return;
      }
      batches = std::exchange(mBatches, {});
      onReopened = std::exchange(mOnReopened, {});
    }
    if (!batches.empty()) {
      StoreBatches(batches);
    }
    if (onReopened) {
      boost::asio::post(mIo,
                        [onReopened, recovered = mStorage.Reopen()] { onReopened(recovered); });
    }
  }
}

} // namespace citronpulley
