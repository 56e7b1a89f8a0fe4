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
 * Sends HTTP requests to backend servers and reads their complete answers. Connections are reused,
 * each for one request at a time. The connection of a cancelled request is closed, so that a late
 * answer cannot be mistaken for the answer to another request. The methods must be called on the
 * client's thread.
 */
class backend_client
{
public:
  /**
   * @param aThread thread of all sockets; it must be stopped before the client is destroyed
   * @param aLocalAddress local IP address of the connections
   * @param aLimits limits, of which the size of answers is used
   * @param aOnFinished called on the thread, once for each request that was not cancelled
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
   * @param aRequest request and the server that receives it
   * @param aRemaining time left until the deadline of the request
   */
  void Send(send_to_backend aRequest, microseconds aRemaining);

  /** Cancels a request and closes its connection. No effect if the request has finished. */
  void Cancel(std::uint64_t aDispatch);

private:
  struct impl;
  class exchange;

  std::shared_ptr<impl> mImpl;
};

} // namespace citronpulley

#endif
