#ifndef CITRONPULLEY_RUNTIME_BACKEND_CLIENT_H
#define CITRONPULLEY_RUNTIME_BACKEND_CLIENT_H

#include "citronpulley/config/vm_settings.h"
#include "citronpulley/node/node_events.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace citronpulley {

class event_loop_thread;

/**
 * Sends requests to backend servers and reads whole answers. Connections are kept and used again;
 * one carries one request at a time, so that a late answer can only meet a closed connection. Its
 * methods run on its own thread.
 */
class backend_client
{
public:
  /**
   * @param aThread thread of all sockets; it must end before the client
   * @param aLocalAddress IP number from which to connect
   * @param aLimits limits on answers
   * @param aOnFinished called on the thread once for each request that was not cancelled
   */
  backend_client(event_loop_thread& aThread,
                 std::string aLocalAddress,
                 const caller_limits& aLimits,
                 std::function<void(backend_finished)> aOnFinished);
  ~backend_client();
  backend_client(const backend_client&) = delete;
  backend_client& operator=(const backend_client&) = delete;

  /**
   * Sends a request.
   *
   * @param aRequest request and server
   * @param aRemaining time until its deadline
   */
  void Send(send_to_backend aRequest, microseconds aRemaining);

  /** Gives up a request and closes its connection. */
  void Cancel(std::uint64_t aDispatch);

private:
  struct impl;
  class exchange;

  std::shared_ptr<impl> mImpl;
};

} // namespace citronpulley

#endif
