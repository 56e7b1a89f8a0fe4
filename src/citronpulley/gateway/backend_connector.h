#ifndef CITRONPULLEY_GATEWAY_BACKEND_CONNECTOR_H
#define CITRONPULLEY_GATEWAY_BACKEND_CONNECTOR_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/gateway/backend_channel.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>

namespace citronpulley {

/** Connections to all backend servers; idle ones are used again. Not thread-safe. */
class backend_connector
{
public:
  explicit backend_connector(boost::asio::io_context& aIo) noexcept
    : mIo(aIo)
  {
  }

  /**
   * Sends a request, over an idle connection if there is one.
   *
   * @param aOnEnd called once, unless the request is cancelled
   * @return function that cancels the request and closes its connection
   */
  std::function<void()> Send(const server_name& aServer,
                             channel_request aRequest,
                             backend_channel::on_end aOnEnd);

  /** Opens a connection and keeps it for a later request. */
  void Probe(const server_name& aServer, std::function<void(bool aIsReachable)> aOnResult);

  /** Checks the time limits of all connections. */
  void CheckTimeouts(instant aNow);

  /** @return connections that were opened so far */
  std::uint64_t CountOpened() const noexcept { return mOpenedCount; }

private:
  using channels = std::list<std::shared_ptr<backend_channel>>;

  std::shared_ptr<backend_channel> FindIdle(const server_name& aServer);
  std::shared_ptr<backend_channel> OpenChannel(const server_name& aServer,
                                               std::function<void(bool)> aOnDone);

  boost::asio::io_context& mIo;
  std::map<server_name, channels> mChannels;
  std::uint64_t mOpenedCount = 0;
};

} // namespace citronpulley

#endif
