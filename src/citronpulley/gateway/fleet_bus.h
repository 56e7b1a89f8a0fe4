#ifndef CITRONPULLEY_GATEWAY_FLEET_BUS_H
#define CITRONPULLEY_GATEWAY_FLEET_BUS_H

#include "citronpulley/base/instant.h"
#include "citronpulley/base/result.h"
#include "citronpulley/fleet/control_contact.h"
#include "citronpulley/fleet/fleet_message.h"
#include "citronpulley/gateway/frame_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace citronpulley {

/**
 * Carries messages between the processes of direct steering over TCP. Connections are opened on
 * demand. Messages that cannot be delivered are dropped, because senders repeat what matters.
 */
class fleet_bus
{
public:
  static constexpr microseconds kConnectTimeout{ 400'000 };
  /** Minimum time between two connection attempts to the same VM. */
  static constexpr microseconds kRetryPause{ 150'000 };

  /** Sends a reply over the connection on which the message arrived. */
  using send_reply = std::function<void(fleet_message)>;
  using on_message = std::function<void(const fleet_message&, const send_reply&)>;

  /**
   * @param aOnMessage handles a received message
   * @param aOnRefused logs that bytes of a peer were refused; their connection is closed
   */
  fleet_bus(boost::asio::io_context& aIo,
            on_message aOnMessage,
            frame_connection::on_refused aOnRefused);

  /** Starts to accept connections at `IP:port`. */
  status Open(const std::string& aAddress);

  /**
   * Sends a message, or queues it while the connection is being established. Drops it when there is
   * no connection and the last attempt started less than kRetryPause ago.
   */
  void Send(const vm_name& aVm, const fleet_message& aMessage);

  /** Closes the connection to a VM that does not reply; the next Send() opens a new one. */
  void Disconnect(const vm_name& aVm);

  control_contact::link_state GetLinkState(const vm_name& aVm) const;

  /** @return number of connections closed because their bytes were refused */
  std::uint64_t CountRefused() const noexcept { return mRefused; }

  /** Ends connection attempts after kConnectTimeout and removes closed connections. */
  void CheckTimeouts(instant aNow);

private:
  /** Outgoing connection to one VM, or the attempt to open it. */
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
  std::shared_ptr<frame_connection> MakeConnection(boost::asio::ip::tcp::socket aSocket);

  boost::asio::io_context& mIo;
  on_message mOnMessage;
  frame_connection::on_refused mOnRefused;
  std::uint64_t mRefused = 0;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptRetryTimer;
  std::map<vm_name, link> mLinks;
  std::list<std::shared_ptr<frame_connection>> mAccepted;
};

} // namespace citronpulley

#endif
