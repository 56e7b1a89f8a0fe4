#include "citronpulley/runtime/event_loop_thread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <pthread.h>

#include <thread>
#include <utility>

namespace citronpulley {

struct event_loop_thread::impl
{
  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mGuard{
    mContext.get_executor()
  };
  std::thread mThread;
};

event_loop_thread::event_loop_thread(const std::string& aName)
  : mImpl(std::make_unique<impl>())
{
  constexpr std::size_t kMaxNameLength = 15;
  mImpl->mThread = std::thread([this] { mImpl->mContext.run(); });
  pthread_setname_np(mImpl->mThread.native_handle(), aName.substr(0, kMaxNameLength).c_str());
}

event_loop_thread::~event_loop_thread()
{
  Stop();
}

boost::asio::io_context& event_loop_thread::GetContext() noexcept
{
  return mImpl->mContext;
}

void event_loop_thread::Post(std::function<void()> aFunction)
{
  boost::asio::post(mImpl->mContext, std::move(aFunction));
}

void event_loop_thread::Stop()
{
  mImpl->mContext.stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

} // namespace citronpulley
