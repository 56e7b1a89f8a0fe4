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

class duty_thread;

/** Identity with which a process takes part in the traffic between processes. */
struct peer_identity
{
  std::string mDeployment;
  std::string mSecret;
  vm_name mVm;
  incarnation mIncarnation = 0;
  /** Address and port at which the process listens and from which it connects. */
  std::string mAddress;
  std::uint16_t mPort = 0;
};

/**
 * Messages between the processes of a deployment over nng. Sending never blocks: a message to a
 * peer that cannot be reached is dropped, and the sender's protocol sends again or gives up by its
 * deadline. Its methods run on its own thread.
 */
class peer_bus
{
public:
  /** What the bus passes on; called on its thread. */
  struct handlers
  {
    std::function<void(peer_message_received)> mOnMessage;
    std::function<void(peer_disconnected)> mOnLost;
    /** A frame was refused. */
    std::function<void(error)> mOnRefused;
  };

  peer_bus(duty_thread& aThread, const peer_identity& aIdentity, handlers aHandlers);
  ~peer_bus();
  peer_bus(const peer_bus&) = delete;
  peer_bus& operator=(const peer_bus&) = delete;

  /**
   * Begins to listen at the address of the identity.
   *
   * @return nothing, or the error of the socket
   */
  status Listen();

  /** Makes a peer's address known; a changed address replaces the former. */
  void Connect(const vm_name& aPeer, const std::string& aAddress, std::uint16_t aPort);

  /** Sends a message to a peer that was made known. */
  void Send(const vm_name& aPeer, const peer_message& aMessage);

private:
  struct content;

  std::shared_ptr<content> mContent;
};

} // namespace citronpulley

#endif
