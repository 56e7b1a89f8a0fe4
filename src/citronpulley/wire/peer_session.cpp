#include "citronpulley/wire/peer_session.h"

#include "citronpulley/wire/codec.h"

#include <sodium.h>

#include <cassert>
#include <utility>

namespace citronpulley {

namespace {

constexpr std::uint8_t kProtocolVersion = 1;
constexpr std::size_t kMaxPendingMessages = 64;
constexpr microseconds kHelloInterval{ 200'000 };

enum frame_kind : std::uint8_t
{
  Hello = 0,
  HelloAck = 1,
  Message = 2,
};

/** Authenticated part of a frame. */
struct frame_body
{
  std::uint8_t mVersion = kProtocolVersion;
  std::uint8_t mKind = Message;
  std::string mDeployment;
  vm_name mSender;
  incarnation mSenderIncarnation = 0;
  vm_name mReceiver;
  incarnation mReceiverIncarnation = 0;
  /** Sequence number of a message, or nonce of a hello and its acknowledgement. */
  std::uint64_t mSequenceOrNonce = 0;
  std::string mPayload;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion,
             mKind,
             mDeployment,
             mSender,
             mSenderIncarnation,
             mReceiver,
             mReceiverIncarnation,
             mSequenceOrNonce,
             mPayload);
  }
};

std::uint64_t GenerateNonce() noexcept
{
  std::uint64_t nonce = 0;
  randombytes_buf(&nonce, sizeof nonce);
  return nonce;
}

error MakeFrameError(error_code aCode, const std::string& aPeer, std::string aMessage)
{
  return MakeError(aCode, step::Decode, aPeer, std::move(aMessage));
}

} // namespace

peer_session::peer_session(std::string aDeployment,
                           std::string_view aSecret,
                           vm_name aSelf,
                           incarnation aIncarnation,
                           std::string aSelfAddress)
  : mDeployment(std::move(aDeployment))
  , mKey(crypto_auth_KEYBYTES, '\0')
  , mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
  , mSelfAddress(std::move(aSelfAddress))
{
  assert(aIncarnation != 0);
  crypto_generichash(reinterpret_cast<unsigned char*>(mKey.data()),
                     mKey.size(),
                     reinterpret_cast<const unsigned char*>(aSecret.data()),
                     aSecret.size(),
                     nullptr,
                     0);
}

std::optional<outgoing_frame> peer_session::Seal(const vm_name& aReceiver,
                                                 std::string_view aPayload,
                                                 instant aNow)
{
  peer_state& peer = mPeers[aReceiver];
  if (peer.mIncarnation != 0) {
    return MakeFrame(aReceiver, peer, Message, aPayload);
  }
  if (peer.mPendingMessages.size() == kMaxPendingMessages) {
    peer.mPendingMessages.erase(peer.mPendingMessages.begin());
  }
  peer.mPendingMessages.emplace_back(aPayload);
  if (peer.mNonce != 0 && aNow < peer.mNextHelloAt) {
    return std::nullopt;
  }
  peer.mNonce = GenerateNonce();
  peer.mNextHelloAt = aNow + kHelloInterval;
  return MakeFrame(aReceiver, peer, Hello, mSelfAddress);
}

result<received_frame> peer_session::Open(std::string_view aBytes)
{
  if (aBytes.size() < crypto_auth_BYTES) {
    return MakeFrameError(error_code::BadMessage,
                          "",
                          "the frame has " + std::to_string(aBytes.size()) +
                            " bytes; its authentication code alone has " +
                            std::to_string(crypto_auth_BYTES));
  }
  const std::string_view code = aBytes.substr(0, crypto_auth_BYTES);
  const std::string_view encoded = aBytes.substr(crypto_auth_BYTES);
  const std::string expected = ComputeAuthenticationCode(encoded);
  if (sodium_memcmp(code.data(), expected.data(), expected.size()) != 0) {
    return MakeFrameError(error_code::Stranger,
                          "",
                          "the authentication code of a frame of " + std::to_string(aBytes.size()) +
                            " bytes does not match the secret of this deployment");
  }
  result<frame_body> decoded = DecodeValue<frame_body>(encoded);
  if (!decoded) {
    return decoded.GetError();
  }
  frame_body& body = decoded.Get();
  const std::string& sender = body.mSender.mValue;
  if (body.mVersion != kProtocolVersion) {
    return MakeFrameError(error_code::BadMessage,
                          sender,
                          "unsupported protocol version " + std::to_string(body.mVersion) +
                            "; expected " + std::to_string(kProtocolVersion));
  }
  if (body.mDeployment != mDeployment || body.mReceiver != mSelf || body.mSender == mSelf) {
    return MakeFrameError(error_code::Stranger,
                          sender,
                          "the frame is for VM " + body.mReceiver.mValue.substr(0, 64) +
                            " of deployment " + body.mDeployment.substr(0, 64) + "; expected VM " +
                            mSelf.mValue + " of deployment " + mDeployment +
                            " and another VM as the sender");
  }
  if (body.mKind == Hello) {
    return HandleHello(body.mSender, body.mSequenceOrNonce, std::move(body.mPayload));
  }
  if (body.mKind == HelloAck) {
    return HandleHelloAck(body.mSender, body.mSenderIncarnation, body.mSequenceOrNonce);
  }
  if (body.mReceiverIncarnation != mIncarnation) {
    // The message is for an earlier run of this process. The reply is a hello, which carries no
    // nonce of the sender and so changes no state there. The sender learns the current incarnation
    // from the message that follows its acknowledgement.
    received_frame frame{ body.mSender, std::nullopt, {}, {}, false };
    peer_state& peer = mPeers[body.mSender];
    peer.mNonce = GenerateNonce();
    frame.mReplies.push_back(MakeFrame(body.mSender, peer, Hello, mSelfAddress));
    return frame;
  }
  peer_state& peer = mPeers[body.mSender];
  std::vector<outgoing_frame> replies;
  if (peer.mIncarnation != body.mSenderIncarnation) {
    if (peer.mIncarnation > body.mSenderIncarnation) {
      return MakeFrameError(error_code::Replayed,
                            sender,
                            "the frame is from an earlier run of the sender: incarnation " +
                              std::to_string(body.mSenderIncarnation) + ", expected at least " +
                              std::to_string(peer.mIncarnation));
    }
    // The message carries the current incarnation of this process, which the sender can only know
    // from a handshake in its own current run. Its incarnation can therefore be adopted.
    std::vector<std::string> pendingMessages = std::move(peer.mPendingMessages);
    peer = peer_state{};
    peer.mIncarnation = body.mSenderIncarnation;
    for (const std::string& payload : pendingMessages) {
      replies.push_back(MakeFrame(body.mSender, peer, Message, payload));
    }
  }
  if (body.mSequenceOrNonce <= peer.mReceivedSequence) {
    return MakeFrameError(error_code::Replayed,
                          sender,
                          "sequence number " + std::to_string(body.mSequenceOrNonce) +
                            " is not above the last accepted one, " +
                            std::to_string(peer.mReceivedSequence));
  }
  peer.mReceivedSequence = body.mSequenceOrNonce;
  received_frame frame{ body.mSender, std::nullopt, {}, std::move(replies), false };
  if (!body.mPayload.empty()) {
    frame.mPayload = std::move(body.mPayload);
  }
  return frame;
}

void peer_session::Reset(const vm_name& aPeer)
{
  mPeers.erase(aPeer);
}

outgoing_frame peer_session::MakeFrame(const vm_name& aReceiver,
                                       peer_state& aPeer,
                                       std::uint8_t aKind,
                                       std::string_view aPayload)
{
  frame_body body;
  body.mKind = aKind;
  body.mDeployment = mDeployment;
  body.mSender = mSelf;
  body.mSenderIncarnation = mIncarnation;
  body.mReceiver = aReceiver;
  body.mReceiverIncarnation = aPeer.mIncarnation;
  body.mSequenceOrNonce = aKind == Message ? ++aPeer.mSentSequence : aPeer.mNonce;
  body.mPayload = aPayload;
  const std::string encoded = EncodeValue(body);
  return { aReceiver, ComputeAuthenticationCode(encoded) + encoded };
}

result<received_frame> peer_session::HandleHello(const vm_name& aSender,
                                                 std::uint64_t aNonce,
                                                 std::string aAddress)
{
  // A hello must not change the state of the session, because it can be replayed. The reply is
  // useful only to the process that generated the nonce.
  received_frame frame{ aSender, std::nullopt, std::move(aAddress), {}, false };
  peer_state answer;
  answer.mIncarnation = mPeers[aSender].mIncarnation;
  answer.mNonce = aNonce;
  frame.mReplies.push_back(MakeFrame(aSender, answer, HelloAck, {}));
  return frame;
}

result<received_frame> peer_session::HandleHelloAck(const vm_name& aSender,
                                                    incarnation aIncarnation,
                                                    std::uint64_t aNonce)
{
  peer_state& peer = mPeers[aSender];
  if (peer.mNonce == 0 || peer.mNonce != aNonce) {
    return MakeFrameError(
      error_code::Replayed,
      aSender.mValue,
      peer.mNonce == 0
        ? "a hello acknowledgement came, but no hello is outstanding"
        : "the hello acknowledgement does not carry the nonce of the outstanding hello");
  }
  received_frame frame{ aSender, std::nullopt, {}, {}, false };
  frame.mIsNewRun = peer.mIncarnation != aIncarnation;
  std::vector<std::string> pendingMessages = std::move(peer.mPendingMessages);
  if (pendingMessages.empty()) {
    // With nothing queued, send an empty message: the peer needs the incarnation of this process
    // before it can send anything.
    pendingMessages.emplace_back();
  }
  if (frame.mIsNewRun) {
    peer = peer_state{};
    peer.mIncarnation = aIncarnation;
  }
  peer.mNonce = 0;
  peer.mPendingMessages.clear();
  for (const std::string& payload : pendingMessages) {
    frame.mReplies.push_back(MakeFrame(aSender, peer, Message, payload));
  }
  return frame;
}

std::string peer_session::ComputeAuthenticationCode(std::string_view aBody) const
{
  std::string code(crypto_auth_BYTES, '\0');
  crypto_auth(reinterpret_cast<unsigned char*>(code.data()),
              reinterpret_cast<const unsigned char*>(aBody.data()),
              aBody.size(),
              reinterpret_cast<const unsigned char*>(mKey.data()));
  return code;
}

} // namespace citronpulley
