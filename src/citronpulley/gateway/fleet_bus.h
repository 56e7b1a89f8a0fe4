#ifndef CITRONPULLEY_GATEWAY_FLEET_BUS_H
#define CITRONPULLEY_GATEWAY_FLEET_BUS_H

#include "citronpulley/base/instant.h"
#include "citronpulley/base/result.h"
#include "citronpulley/fleet/fleet_message.h"
#include "citronpulley/gateway/frame_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace citronpulley {

/**
 * Messages between the processes of direct steering. A message to a VM without a connection opens
 * one; what cannot be delivered is dropped, because every sender repeats what matters.
 */
class fleet_bus
{
public:
  static constexpr microseconds kConnectTimeout{ 400'000 };
  /** Pause after a failed connection. */
  static constexpr microseconds kRetryPause{ 150'000 };

  using send_reply = std::function<void(fleet_message)>;
  using on_message = std::function<void(const fleet_message&, const send_reply&)>;

  fleet_bus(boost::asio::io_context& aIo, on_message aOnMessage);

  /** Accepts connections at `IP:port`. */
  status Open(const std::string& aAddress);

  void Send(const vm_name& aVm, const fleet_message& aMessage);

  /** Closes the connection to a VM that does not answer. */
  void Disconnect(const vm_name& aVm);

  /** Ends connection attempts that take too long. */
  void CheckTimeouts(instant aNow);

private:
  struct link
  {
    std::shared_ptr<boost::asio::ip::tcp::socket> mConnecting;
    std::shared_ptr<frame_connection> mConnection;
    std::list<std::string> mPendingFrames;
    instant mConnectDeadline;
    instant mNextAttemptAt;
  };

  void Accept();
  void Connect(const vm_name& aVm, link& aLink, instant aNow);
  void HandleConnected(const vm_name& aVm,
                       const std::shared_ptr<boost::asio::ip::tcp::socket>& aSocket,
                       bool aIsConnected);
  void HandleFrame(const std::shared_ptr<frame_connection>& aConnection, const std::string& aFrame);

  boost::asio::io_context& mIo;
  on_message mOnMessage;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptRetryTimer;
  std::map<vm_name, link> mLinks;
  std::list<std::shared_ptr<frame_connection>> mAccepted;
};

} // namespace citronpulley

#endif
