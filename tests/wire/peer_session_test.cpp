#include "citronpulley/wire/peer_session.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

const std::string kSecret = "0123456789abcdef0123456789abcdef";
const vm_name kLeft("left");
const vm_name kRight("right");

peer_session MakeSession(const vm_name& aName,
                         incarnation aRun,
                         const std::string& aDeployment = "demo",
                         const std::string& aSecret = kSecret)
{
  return { aDeployment, aSecret, aName, aRun, "127.0.0.1:1" };
}

/**
 * Delivers frames and the replies to them in both directions until there are no more replies.
 *
 * @return the payloads that aReceiver got
 */
std::vector<std::string> Exchange(peer_session& aSender,
                                  peer_session& aReceiver,
                                  std::vector<outgoing_frame> aFrames)
{
  std::vector<std::string> payloads;
  bool isForReceiver = true;
  while (!aFrames.empty()) {
    std::vector<outgoing_frame> replies;
    for (const outgoing_frame& frame : aFrames) {
      const result<received_frame> opened =
        (isForReceiver ? aReceiver : aSender).Open(frame.mBytes);
      if (!opened) {
        continue;
      }
      if (isForReceiver && opened.Get().mPayload) {
        payloads.push_back(*opened.Get().mPayload);
      }
      replies.insert(replies.end(), opened.Get().mReplies.begin(), opened.Get().mReplies.end());
    }
    aFrames = std::move(replies);
    isForReceiver = !isForReceiver;
  }
  return payloads;
}

error_code GetCode(const result<received_frame>& aFrame)
{
  return aFrame ? error_code::Ok : static_cast<error_code>(aFrame.GetError().mCode.value());
}

} // namespace

TEST_GROUP(peer_session)
{
  peer_session mLeft = MakeSession(kLeft, 1);
  peer_session mRight = MakeSession(kRight, 1);
  instant mNow;

  std::vector<std::string> Send(const std::string& aPayload)
  {
    mNow += std::chrono::seconds(1);
    const std::optional<outgoing_frame> frame = mLeft.Seal(kRight, aPayload, mNow);
    return frame ? Exchange(mLeft, mRight, { *frame }) : std::vector<std::string>();
  }
};

/** Guards against losing the message that triggers the handshake while the handshake is running. */
TEST(peer_session, delivers_the_message_that_started_the_handshake)
{
  CHECK(Send("first") == std::vector<std::string>{ "first" });
  CHECK(Send("second") == std::vector<std::string>{ "second" });
}

/** Guards against a replayed frame that is processed a second time. */
TEST(peer_session, refuses_a_replayed_frame)
{
  Send("first");
  const outgoing_frame frame = *mLeft.Seal(kRight, "order", mNow);
  CHECK(!!mRight.Open(frame.mBytes));
  CHECK(GetCode(mRight.Open(frame.mBytes)) == error_code::Replayed);
}

/** Guards against replay of frames that were recorded before the receiver restarted: the restart
 * loses the last sequence number. */
TEST(peer_session, refuses_a_frame_for_an_earlier_run_of_the_receiver)
{
  Send("first");
  const outgoing_frame recorded = *mLeft.Seal(kRight, "order", mNow);
  mRight = MakeSession(kRight, 2);
  const result<received_frame> opened = mRight.Open(recorded.mBytes);
  CHECK(!opened || !opened.Get().mPayload);
}

/** Guards against two processes that cannot communicate again after one of them restarted. */
TEST(peer_session, delivers_messages_again_after_either_side_restarts)
{
  Send("first");
  mRight = MakeSession(kRight, 2);
  Send("lost with the restart");
  CHECK(Send("third") == std::vector<std::string>{ "third" });
  mLeft = MakeSession(kLeft, 2);
  CHECK(Send("fourth") == std::vector<std::string>{ "fourth" });
}

/** Guards against frames of an earlier run of the sender, which may contain obsolete commands. */
TEST(peer_session, refuses_a_frame_of_an_earlier_run_of_the_sender)
{
  Send("first");
  const outgoing_frame recorded = *mLeft.Seal(kRight, "order", mNow);
  mLeft = MakeSession(kLeft, 2);
  Send("second");
  CHECK(GetCode(mRight.Open(recorded.mBytes)) == error_code::Replayed);
}

/** Guards against frames from a process with another secret or of another deployment, and against
 * frames addressed to another VM. */
TEST(peer_session, refuses_frames_of_another_secret_deployment_or_receiver)
{
  peer_session stranger = MakeSession(kLeft, 1, "demo", "another secret of thirty-two bytes");
  CHECK(GetCode(mRight.Open(stranger.Seal(kRight, "x", mNow)->mBytes)) == error_code::Stranger);
  peer_session otherDeployment = MakeSession(kLeft, 1, "other");
  CHECK(GetCode(mRight.Open(otherDeployment.Seal(kRight, "x", mNow)->mBytes)) ==
        error_code::Stranger);
  peer_session misdirected = MakeSession(kLeft, 1);
  CHECK(GetCode(mRight.Open(misdirected.Seal(vm_name("third"), "x", mNow)->mBytes)) ==
        error_code::Stranger);
  CHECK(GetCode(mRight.Open("short")) == error_code::BadMessage);
}

/** Guards against a replayed hello acknowledgement that makes a process adopt an earlier run of its
 * peer. */
TEST(peer_session, refuses_a_hello_ack_for_another_nonce)
{
  const outgoing_frame hello = *mLeft.Seal(kRight, "first", mNow);
  const result<received_frame> opened = mRight.Open(hello.mBytes);
  const outgoing_frame recorded = opened.Get().mReplies.front();
  mLeft = MakeSession(kLeft, 2);
  mLeft.Seal(kRight, "second", mNow);
  CHECK(GetCode(mLeft.Open(recorded.mBytes)) == error_code::Replayed);
}

/** Guards against a frame with a flipped bit that reaches the decoder. */
TEST(peer_session, refuses_each_damaged_frame)
{
  Send("first");
  const outgoing_frame frame = *mLeft.Seal(kRight, "order", mNow);
  for (std::size_t position = 0; position < frame.mBytes.size(); ++position) {
    std::string damaged = frame.mBytes;
    damaged[position] = static_cast<char>(damaged[position] ^ 1);
    CHECK(GetCode(mRight.Open(damaged)) == error_code::Stranger);
  }
  CHECK(!!mRight.Open(frame.mBytes));
}
