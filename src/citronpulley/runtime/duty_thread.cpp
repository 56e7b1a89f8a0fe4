#include "citronpulley/runtime/duty_thread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <pthread.h>

#include <thread>
#include <utility>

namespace citronpulley {

struct duty_thread::content
{
  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mGuard{
    mContext.get_executor()
  };
  std::thread mThread;
};

duty_thread::duty_thread(const std::string& aName)
  : mContent(std::make_unique<content>())
{
  constexpr std::size_t kMaxNameLength = 15;
  mContent->mThread = std::thread([this] { mContent->mContext.run(); });
  pthread_setname_np(mContent->mThread.native_handle(), aName.substr(0, kMaxNameLength).c_str());
}

duty_thread::~duty_thread()
{
  Stop();
}

boost::asio::io_context& duty_thread::GetContext() noexcept
{
  return mContent->mContext;
}

void duty_thread::Post(std::function<void()> aFunction)
{
  boost::asio::post(mContent->mContext, std::move(aFunction));
}

void duty_thread::Stop()
{
  mContent->mContext.stop();
  if (mContent->mThread.joinable()) {
    mContent->mThread.join();
  }
}

} // namespace citronpulley
