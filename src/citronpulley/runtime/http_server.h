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

class duty_thread;

/**
 * Takes HTTP requests on one address. Requests that break the limits on size, time or framing are
 * answered here; all others go to the handler whole. Its methods run on its own thread.
 */
class http_server
{
public:
  /** What the server passes on. */
  struct handlers
  {
    std::function<void(http_request_received)> mOnRequest;
    std::function<void(http_client_disconnected)> mOnGone;
  };

  /**
   * @param aThread thread of all sockets; it must end before the server
   * @param aLimits limits on callers
   * @param aHandlers called on the thread
   */
  http_server(duty_thread& aThread, const caller_limits& aLimits, handlers aHandlers);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /**
   * Begins to listen.
   *
   * @param aAddress IP number
   * @param aPort port
   * @return nothing, or the error of the socket
   */
  status Listen(const std::string& aAddress, std::uint16_t aPort);

  /** Sends the reply to a request; one whose client has gone is dropped. */
  void Reply(std::uint64_t aRequest, http_answer aAnswer);

private:
  struct content;
  class session;

  std::shared_ptr<content> mContent;
};

} // namespace citronpulley

#endif
