#ifndef CITRONPULLEY_GATEWAY_BACKEND_CONNECTOR_H
#define CITRONPULLEY_GATEWAY_BACKEND_CONNECTOR_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/gateway/backend_channel.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace citronpulley {

/** Connection pool for all backend servers. Not thread-safe. */
class backend_connector
{
public:
  /**
   * @param aBudget memory for responses
   * @param aLocalIp address that connections leave from; empty lets the system choose
   */
  backend_connector(boost::asio::io_context& aIo,
                    std::shared_ptr<memory_budget> aBudget,
                    std::string aLocalIp = {}) noexcept
    : mIo(aIo)
    , mBudget(std::move(aBudget))
    , mLocalIp(std::move(aLocalIp))
  {
  }

  /**
   * Sends a request over an idle connection, or over a new one if there is none.
   *
   * @param aOnEnd called once and never within this call, unless the request is cancelled
   * @return function that cancels the request and closes its connection
   */
  std::function<void()> Send(const server_name& aServer,
                             channel_request aRequest,
                             backend_channel::on_end aOnEnd);

  /**
   * Opens a connection to check whether a backend server accepts connections. An established
   * connection stays in the pool.
   */
  void Probe(const server_name& aServer, std::function<void(bool aIsReachable)> aOnResult);

  /** Applies the time limits of all connections and removes closed ones; call it at each tick. */
  void CheckTimeouts(instant aNow);

  /** @return number of connection attempts since the start */
  std::uint64_t CountOpened() const noexcept { return mOpenedCount; }

private:
  using channels = std::list<std::shared_ptr<backend_channel>>;

  /** @return an idle connection on which no answer to an earlier request can be mistaken */
  std::shared_ptr<backend_channel> FindIdle(const server_name& aServer,
                                            const std::string& aRequestId);
  std::shared_ptr<backend_channel> OpenChannel(const server_name& aServer,
                                               std::function<void(bool)> aOnDone);

  boost::asio::io_context& mIo;
  std::shared_ptr<memory_budget> mBudget;
  std::string mLocalIp;
  std::map<server_name, channels> mChannels;
  std::uint64_t mOpenedCount = 0;
};

} // namespace citronpulley

#endif
