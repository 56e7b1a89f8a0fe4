#ifndef CITRONPULLEY_RUNTIME_DUTY_THREAD_H
#define CITRONPULLEY_RUNTIME_DUTY_THREAD_H

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
class duty_thread
{
public:
  /** @param aName short name that debuggers show */
  explicit duty_thread(const std::string& aName);
  ~duty_thread();
  duty_thread(const duty_thread&) = delete;
  duty_thread& operator=(const duty_thread&) = delete;

  /** @return the context; work posted to it runs on this thread */
  boost::asio::io_context& GetContext() noexcept;

  /** Runs a function on this thread. Unbounded: use a `duty_inbox` for work that outsiders cause.
   */
  void Post(std::function<void()> aFunction);

  /** Ends the thread after the handler that runs at present; it may not be called on the thread
   * itself. */
  void Stop();

private:
  struct content;

  std::unique_ptr<content> mContent;
};

} // namespace citronpulley

#endif
