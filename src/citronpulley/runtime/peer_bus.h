#ifndef CITRONPULLEY_RUNTIME_PEER_BUS_H
#define CITRONPULLEY_RUNTIME_PEER_BUS_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/result.h"
#include "citronpulley/node/node_events.h"
#include "citronpulley/wire/peer_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace citronpulley {

class event_loop_thread;

/** Identity and address of a process towards the other processes of its deployment. */
struct peer_identity
{
  std::string mDeployment;
  std::string mSecret;
  vm_name mVm;
  incarnation mIncarnation = 0;
  /** IP address at which the process listens and from which it connects. */
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/**
 * Sends and receives authenticated messages between the processes of a deployment over nng. Sending
 * never blocks: a message to an unreachable peer is dropped, and the protocol of the sender must
 * resend it or give up at its deadline. Connect() and Send() must be called on the thread of the
 * bus.
 */
class peer_bus
{
public:
  /** Callbacks; called on the thread of the bus. */
  struct handlers
  {
    std::function<void(peer_message_received)> mOnMessage;
    /** A connection to a peer was closed, or its probes got no reply. */
    std::function<void(peer_disconnected)> mOnDisconnected;
    /** A received frame was refused or a connection could not be opened. */
    std::function<void(error)> mOnRefused;
  };

  peer_bus(event_loop_thread& aThread, const peer_identity& aIdentity, handlers aHandlers);
  ~peer_bus();
  peer_bus(const peer_bus&) = delete;
  peer_bus& operator=(const peer_bus&) = delete;

  /**
   * Starts to listen at the address of the identity. Call it once.
   *
   * @return nothing, or the error of the socket
   */
  status Listen();

  /**
   * Sets the address of a peer and opens a connection to it. A changed address replaces the
   * previous one and its connection; an unchanged address has no effect while the connection is
   * open.
   */
  void Connect(const vm_name& aPeer, const std::string& aAddress, std::uint16_t aPort);

  /**
   * Sends a message to a peer, and opens its connection again if that was closed because it was
   * idle. The peer must be known from Connect() or from a hello that it sent; otherwise the message
   * is dropped.
   */
  void Send(const vm_name& aPeer, const peer_message& aMessage);

private:
  struct impl;

  std::shared_ptr<impl> mImpl;
};

} // namespace citronpulley

#endif
