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
 * Thread that stores batches, so that a slow disk does not stop the decisions. Batches that arrive
 * while it writes are stored together with the next sync.
 */
class disk_writer
{
public:
  /** Gets the number of the last stored batch, or an error after which nothing is stored. */
  using on_stored = std::function<void(result<std::uint64_t>)>;

  /** @param aOnStored called in the thread of `aIo` */
  disk_writer(boost::asio::io_context& aIo, member_storage& aStorage, on_stored aOnStored);

  /** Ends the thread after the batch that it writes. */
  ~disk_writer();
  disk_writer(const disk_writer&) = delete;
  disk_writer& operator=(const disk_writer&) = delete;

  void Store(storage_batch aBatch);

private:
  void Run();

  boost::asio::io_context& mIo;
  member_storage& mStorage;
  on_stored mOnStored;
  std::mutex mMutex;
  std::condition_variable mWakeCondition;
  std::vector<storage_batch> mBatches;
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace citronpulley

#endif
