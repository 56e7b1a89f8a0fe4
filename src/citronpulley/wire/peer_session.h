#ifndef CITRONPULLEY_WIRE_PEER_SESSION_H
#define CITRONPULLEY_WIRE_PEER_SESSION_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/base/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/** Frame to put on the wire for a peer. */
struct outgoing_frame
{
  vm_name mReceiver;
  std::string mBytes;

  friend auto operator<=>(const outgoing_frame&, const outgoing_frame&) = default;
};

/** What a received frame means for the process. */
struct received_frame
{
  vm_name mSender;
  /** Payload of a message; nothing for a frame that only sets up the session. */
  std::optional<std::string> mPayload;
  /** Address at which the sender of a hello listens, `IP:port`; empty for other frames. */
  std::string mSenderAddress;
  /** Frames to send because of it. */
  std::vector<outgoing_frame> mReplies;
  /** The sender did not answer to our present run yet; messages that were pendingMessages can be
   * sent now. */
  bool mIsNewRun = false;
};

/**
 * Authenticates the frames between this process and all others of its deployment.
 *
 * Each frame carries a code of the deployment's secret over deployment, sender, receiver, the runs
 * of both and a rising sequence. A process accepts a message only when it names the process's
 * present run, which the sender learns from an answer to a fresh nonce; so frames recorded earlier,
 * from a stranger or from another deployment are refused. Not thread-safe.
 */
class peer_session
{
public:
  /**
   * @param aDeployment name of the deployment
   * @param aSecret secret of the deployment; at least 32 bytes
   * @param aSelf name of this VM
   * @param aIncarnation number of this run
   * @param aSelfAddress address at which this process listens, `IP:port`; a hello carries it, so
   * that a peer that does not know this process can answer
   */
  peer_session(std::string aDeployment,
               std::string_view aSecret,
               vm_name aSelf,
               incarnation aIncarnation,
               std::string aSelfAddress);

  /**
   * Wraps a message. Before the receiver's run is known the message is pendingMessages, up to 64 of
   * them, and a hello goes out instead; later messages then replace the oldest.
   *
   * @param aReceiver peer
   * @param aPayload encoded message
   * @param aNow present time
   * @return the frame to send; nothing while a hello is outstanding
   */
  std::optional<outgoing_frame> Seal(const vm_name& aReceiver,
                                     std::string_view aPayload,
                                     instant aNow);

  /**
   * Checks a frame.
   *
   * @param aBytes frame as received
   * @return what it means, or `stranger`, `replayed` or `bad_message`
   */
  result<received_frame> Open(std::string_view aBytes);

  /** Forgets the run of a peer, so that the next message begins with a hello. */
  void Reset(const vm_name& aPeer);

private:
  struct peer_state
  {
    incarnation mIncarnation = 0;
    std::uint64_t mSentSequence = 0;
    std::uint64_t mReceivedSequence = 0;
    std::uint64_t mNonce = 0;
    instant mNextHelloAt;
    std::vector<std::string> mPendingMessages;
  };

  outgoing_frame MakeFrame(const vm_name& aReceiver,
                           peer_state& aPeer,
                           std::uint8_t aKind,
                           std::string_view aPayload);
  result<received_frame> HandleHello(const vm_name& aSender,
                                     std::uint64_t aNonce,
                                     std::string aAddress);
  result<received_frame> HandleHelloAck(const vm_name& aSender,
                                        incarnation aIncarnation,
                                        std::uint64_t aNonce);
  std::string ComputeAuthenticationCode(std::string_view aBody) const;

  std::string mDeployment;
  std::string mKey;
  vm_name mSelf;
  incarnation mIncarnation;
  std::string mSelfAddress;
  std::map<vm_name, peer_state> mPeers;
};

} // namespace citronpulley

#endif
