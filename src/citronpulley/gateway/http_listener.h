#ifndef CITRONPULLEY_GATEWAY_HTTP_LISTENER_H
#define CITRONPULLEY_GATEWAY_HTTP_LISTENER_H

#include "citronpulley/base/result.h"
#include "citronpulley/gateway/http_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace citronpulley {

/** Accepts HTTP connections at one address and owns their sessions. Not thread-safe. */
class http_listener
{
public:
  http_listener(boost::asio::io_context& aIo, std::shared_ptr<http_session_context> aContext);

  /** Starts to listen at `IP:port`. */
  status Open(const std::string& aAddress);

  /**
   * Applies the time limits of all connections and removes closed ones. Closes idle connections,
   * the longest idle ones first, while there are more than SetMaxSessions() permits.
   */
  void CheckTimeouts(instant aNow);

  /** Sets the number of connections above which idle ones are closed; the default is no limit. */
  void SetMaxSessions(std::size_t aCount) noexcept { mMaxSessions = aCount; }

  /** Sets a callback for each connection that could not be accepted. */
  void SetOnAcceptFailed(std::function<void(const std::string& aReason)> aOnFailed)
  {
    mOnAcceptFailed = std::move(aOnFailed);
  }

  /**
   * From now on each connection is closed after its next response that leaves no request in
   * progress. New connections are still accepted.
   */
  void StartStopping() { mContext->mIsStopping = true; }

  /** @return number of connections with a request or response in progress */
  std::size_t CountBusySessions() const;

  std::size_t CountSessions() const noexcept { return mSessions.size(); }

  /** @return number of connections that could not be accepted at once */
  std::uint64_t CountFailedAccepts() const noexcept { return mFailedAccepts; }

  /** @return number of idle connections closed to make room */
  std::uint64_t CountEvicted() const noexcept { return mEvicted; }

private:
  /** Idle connections that are closed at once when a connection could not be accepted. */
  static constexpr std::size_t kEvictedAtOnce = 64;

  void Accept();
  void HandleAcceptFailure(const std::string& aReason);
  /** Closes the longest idle connections. @return number of closed ones */
  std::size_t EvictIdle(std::size_t aCount);

  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptRetryTimer;
  std::shared_ptr<http_session_context> mContext;
  std::list<std::shared_ptr<http_session>> mSessions;
  std::size_t mMaxSessions = std::numeric_limits<std::size_t>::max();
  std::function<void(const std::string&)> mOnAcceptFailed;
  std::uint64_t mFailedAccepts = 0;
  std::uint64_t mEvicted = 0;
};

/** Delay after a failed accept, for example when no file descriptors are left. */
constexpr microseconds kAcceptRetryDelay{ 20'000 };

/** @return the endpoint of an address `IP:port`, or an error */
result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& aAddress);

/** @return the part of an address `IP:port` before the port */
std::string_view GetIp(std::string_view aAddress) noexcept;

/** Binds an acceptor to `IP:port` and starts to listen. */
status OpenAcceptor(boost::asio::ip::tcp::acceptor& aAcceptor, const std::string& aAddress);

} // namespace citronpulley

#endif
