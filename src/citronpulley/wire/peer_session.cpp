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
  /** Sequence of a message, or nonce of a hello and its answer. */
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
    return MakeFrameError(error_code::BadMessage, "", "the frame is too short");
  }
  const std::string_view code = aBytes.substr(0, crypto_auth_BYTES);
  const std::string_view encoded = aBytes.substr(crypto_auth_BYTES);
  const std::string expected = ComputeAuthenticationCode(encoded);
  if (sodium_memcmp(code.data(), expected.data(), expected.size()) != 0) {
    return MakeFrameError(error_code::Stranger, "", "the frame is not from this deployment");
  }
  result<frame_body> decoded = DecodeValue<frame_body>(encoded);
  if (!decoded) {
    return decoded.GetError();
  }
  frame_body& body = decoded.Get();
  const std::string& sender = body.mSender.mValue;
  if (body.mVersion != kProtocolVersion) {
    return MakeFrameError(error_code::BadMessage, sender, "the protocol version is unknown");
  }
  if (body.mDeployment != mDeployment || body.mReceiver != mSelf || body.mSender == mSelf) {
    return MakeFrameError(error_code::Stranger, sender, "the frame is for another process");
  }
  if (body.mKind == Hello) {
    return HandleHello(body.mSender, body.mSequenceOrNonce, std::move(body.mPayload));
  }
  if (body.mKind == HelloAck) {
    return HandleHelloAck(body.mSender, body.mSenderIncarnation, body.mSequenceOrNonce);
  }
  if (body.mReceiverIncarnation != mIncarnation) {
    // The sender still talks to an earlier run of this process. The answer carries the present run,
    // but no nonce of the sender, so that it only makes the sender say hello.
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
      return MakeFrameError(error_code::Replayed, sender, "the frame is from an earlier run");
    }
    // The message names our present run, which only a hello of the sender's present run can have
    // told it.
    std::vector<std::string> pendingMessages = std::move(peer.mPendingMessages);
    peer = peer_state{};
    peer.mIncarnation = body.mSenderIncarnation;
    for (const std::string& payload : pendingMessages) {
      replies.push_back(MakeFrame(body.mSender, peer, Message, payload));
    }
  }
  if (body.mSequenceOrNonce <= peer.mReceivedSequence) {
    return MakeFrameError(error_code::Replayed, sender, "the sequence number does not rise");
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
  // A hello changes no state here: anyone can replay it, and the answer is of use only to the
  // process that drew the nonce.
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
    return MakeFrameError(error_code::Replayed, aSender.mValue, "the nonce is not the present one");
  }
  received_frame frame{ aSender, std::nullopt, {}, {}, false };
  frame.mIsNewRun = peer.mIncarnation != aIncarnation;
  std::vector<std::string> pendingMessages = std::move(peer.mPendingMessages);
  if (pendingMessages.empty()) {
    // An empty message tells the peer this run, without which it could not send anything here.
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
