#ifndef CITRONPULLEY_RUNTIME_HTTP_SERVER_H
#define CITRONPULLEY_RUNTIME_HTTP_SERVER_H

#include "citronpulley/base/result.h"
#include "citronpulley/config/vm_settings.h"
#include "citronpulley/node/node_events.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace citronpulley {

class event_loop_thread;

/**
 * HTTP/1.1 server on one address. It refuses malformed requests and those that exceed the limits on
 * size or time, and passes all others to the handler once they have arrived completely. Reply()
 * must be called on the server's thread.
 */
class http_server
{
public:
  /** Callbacks for requests and for clients that disconnect before their reply. */
  struct handlers
  {
    std::function<void(http_request_received)> mOnRequest;
    std::function<void(http_client_disconnected)> mOnDisconnected;
  };

  /**
   * @param aThread thread of all sockets; it must be stopped before the server is destroyed
   * @param aLimits limits on requests and connections
   * @param aHandlers callbacks; called on the thread
   */
  http_server(event_loop_thread& aThread, const caller_limits& aLimits, handlers aHandlers);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /**
   * Starts to listen and to accept connections. Call it once.
   *
   * @param aAddress local IP address
   * @param aPort local port
   * @return nothing, or the error of the socket
   */
  status Listen(const std::string& aAddress, std::uint16_t aPort);

  /** Sends the reply to a request. The reply is dropped if the client has disconnected. */
  void Reply(std::uint64_t aRequest, http_answer aAnswer);

private:
  struct impl;
  class session;

  std::shared_ptr<impl> mImpl;
};

} // namespace citronpulley

#endif
