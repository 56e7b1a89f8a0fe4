#ifndef CITRONPULLEY_GATEWAY_DISK_WRITER_H
#define CITRONPULLEY_GATEWAY_DISK_WRITER_H

#include "citronpulley/storage/member_storage.h"

#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace citronpulley {

/**
 * Stores batches in a thread of its own, so that a slow disk does not block the event loop. Batches
 * that arrive during a write are stored together with a single sync (group commit).
 */
class disk_writer
{
public:
  /** Gets the number of the last stored batch, or an error, after which nothing is stored. */
  using on_stored = std::function<void(result<std::uint64_t>)>;

  using on_reopened = std::function<void(result<recovered_member>)>;

  /** @param aOnStored called in the thread that runs `aIo` after each write */
  disk_writer(boost::asio::io_context& aIo, member_storage& aStorage, on_stored aOnStored);

  /** Stops the thread after the write in progress; batches still queued are discarded. */
  ~disk_writer();
  disk_writer(const disk_writer&) = delete;
  disk_writer& operator=(const disk_writer&) = delete;

  /** Queues a batch and returns at once. */
  void Store(storage_batch aBatch);

  /**
   * Reads the data folder again after a failed write, when the batches queued so far have failed.
   *
   * @param aOnReopened called in the thread that runs `aIo`
   */
  void Reopen(on_reopened aOnReopened);

private:
  void Run();
  void StoreBatches(const std::vector<storage_batch>& aBatches);

  boost::asio::io_context& mIo;
  member_storage& mStorage;
  on_stored mOnStored;
  std::mutex mMutex;
  std::condition_variable mWakeCondition;
  std::vector<storage_batch> mBatches;
  on_reopened mOnReopened;
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace citronpulley

#endif
