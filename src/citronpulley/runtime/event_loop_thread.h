#ifndef CITRONPULLEY_RUNTIME_EVENT_LOOP_THREAD_H
#define CITRONPULLEY_RUNTIME_EVENT_LOOP_THREAD_H

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace citronpulley {

/**
 * Thread for one duty of a process, with an Asio context. It runs from its construction until
 * Stop().
 */
class event_loop_thread
{
public:
  /** @param aName short name that debuggers show */
  explicit event_loop_thread(const std::string& aName);
  ~event_loop_thread();
  event_loop_thread(const event_loop_thread&) = delete;
  event_loop_thread& operator=(const event_loop_thread&) = delete;

  /** @return the context; work posted to it runs on this thread */
  boost::asio::io_context& GetContext() noexcept;

  /** Runs a function on this thread. Unbounded: use a `thread_inbox` for work that outsiders cause.
   */
  void Post(std::function<void()> aFunction);

  /** Ends the thread after the handler that runs at present; it may not be called on the thread
   * itself. */
  void Stop();

private:
  struct impl;

  std::unique_ptr<impl> mImpl;
};

} // namespace citronpulley

#endif
