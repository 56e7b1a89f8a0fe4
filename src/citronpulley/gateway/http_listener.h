#ifndef CITRONPULLEY_GATEWAY_HTTP_LISTENER_H
#define CITRONPULLEY_GATEWAY_HTTP_LISTENER_H

#include "citronpulley/base/result.h"
#include "citronpulley/gateway/http_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <string>

namespace citronpulley {

/** Accepts HTTP connections at one address and owns their sessions. Not thread-safe. */
class http_listener
{
public:
  http_listener(boost::asio::io_context& aIo, std::shared_ptr<http_session_context> aContext);

  /** Starts to listen at `IP:port`. */
  status Open(const std::string& aAddress);

  /** Applies the time limits of all connections and removes closed ones. */
  void CheckTimeouts(instant aNow);

  /**
   * From now on each connection is closed after its next response that leaves no request in
   * progress. New connections are still accepted.
   */
  void StartStopping() { mContext->mIsStopping = true; }

  /** @return number of connections with a request or response in progress */
  std::size_t CountBusySessions() const;

  std::size_t CountSessions() const noexcept { return mSessions.size(); }

private:
  void Accept();

  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptRetryTimer;
  std::shared_ptr<http_session_context> mContext;
  std::list<std::shared_ptr<http_session>> mSessions;
};

/** Delay after a failed accept, for example when no file descriptors are left. */
constexpr microseconds kAcceptRetryDelay{ 20'000 };

/** @return the endpoint of an address `IP:port`, or an error */
result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& aAddress);

/** Binds an acceptor to `IP:port` and starts to listen. */
status OpenAcceptor(boost::asio::ip::tcp::acceptor& aAcceptor, const std::string& aAddress);

} // namespace citronpulley

#endif
