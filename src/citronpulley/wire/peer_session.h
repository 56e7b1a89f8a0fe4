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

/** Authenticated frame to send to a peer. */
struct outgoing_frame
{
  vm_name mReceiver;
  std::string mBytes;

  friend auto operator<=>(const outgoing_frame&, const outgoing_frame&) = default;
};

/** Content of a received frame that passed authentication. */
struct received_frame
{
  vm_name mSender;
  /** Encoded message; absent when the frame only serves the handshake, or was for an earlier run of
   * this process. */
  std::optional<std::string> mPayload;
  /** Address on which the sender of a hello listens, as `IP:port`; empty for other frames. */
  std::string mSenderAddress;
  /** Frames to send in response. */
  std::vector<outgoing_frame> mReplies;
  /** True when the frame completed a handshake with a new run of the sender; `mReplies` then holds
   * the messages that were queued for it. */
  bool mIsNewRun = false;
};

/**
 * Authenticates the frames between this process and all other processes of its deployment.
 *
 * Each frame carries a message authentication code, keyed with the secret of the deployment, over
 * the deployment, the sender, the receiver, the incarnations of both and an increasing sequence
 * number. A process accepts a message only when it carries the current incarnation of the process.
 * The sender learns that incarnation in a handshake: it sends a hello with a fresh nonce and gets a
 * hello acknowledgement with the same nonce. Replayed frames and frames from outside the deployment
 * are therefore refused. Not thread-safe.
 */
class peer_session
{
public:
  /**
   * @param aDeployment name of the deployment
   * @param aSecret shared secret of the deployment; at least 32 bytes
   * @param aSelf name of this VM
   * @param aIncarnation incarnation of this process; not zero
   * @param aSelfAddress address on which this process listens, as `IP:port`; sent with each hello,
   * so that a peer that does not know this process yet can reply
   */
  peer_session(std::string aDeployment,
               std::string_view aSecret,
               vm_name aSelf,
               incarnation aIncarnation,
               std::string aSelfAddress);

  /**
   * Wraps a message in an authenticated frame. While the incarnation of the receiver is unknown,
   * the message is queued and a hello is returned instead, at most one per 200 ms. The queue holds
   * 64 messages for each receiver; when it is full, the oldest message is dropped.
   *
   * @param aReceiver VM to send to
   * @param aPayload encoded message
   * @param aNow current time
   * @return the frame to send; nothing when the message was queued behind an outstanding hello
   */
  std::optional<outgoing_frame> Seal(const vm_name& aReceiver,
                                     std::string_view aPayload,
                                     instant aNow);

  /**
   * Authenticates and decodes a received frame.
   *
   * @param aBytes frame as received
   * @return the content; `stranger` when the frame is not authentic or not for this process,
   * `replayed` when it is from an earlier run or was received before, `bad_message` when it is
   * malformed
   */
  result<received_frame> Open(std::string_view aBytes);

  /** Drops the session with a peer and its queued messages; the next message starts a handshake. */
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
