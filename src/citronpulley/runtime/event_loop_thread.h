#ifndef CITRONPULLEY_RUNTIME_EVENT_LOOP_THREAD_H
#define CITRONPULLEY_RUNTIME_EVENT_LOOP_THREAD_H

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace citronpulley {

/** Thread that runs an Asio event loop from its construction until Stop(), also while idle. */
class event_loop_thread
{
public:
  /** @param aName thread name for debuggers; cut to 15 characters, the limit of the system */
  explicit event_loop_thread(const std::string& aName);
  ~event_loop_thread();
  event_loop_thread(const event_loop_thread&) = delete;
  event_loop_thread& operator=(const event_loop_thread&) = delete;

  /** @return the context of the event loop; its handlers run on this thread */
  boost::asio::io_context& GetContext() noexcept;

  /**
   * Queues a function to run on this thread. The queue is unbounded: use a `thread_inbox` for work
   * that other processes or clients cause.
   */
  void Post(std::function<void()> aFunction);

  /**
   * Ends the event loop after the handler that is currently running and joins the thread. Queued
   * functions are not run. Must not be called on the thread itself.
   */
  void Stop();

private:
  struct impl;

  std::unique_ptr<impl> mImpl;
};

} // namespace citronpulley

#endif
