#include "citronpulley/wire/peer_message.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(peer_message){};

/** Guards against fields that are missing in a `serialize` function and so lost in transit. */
TEST(peer_message, decodes_to_an_equal_message)
{
  forward_request forward;
  forward.mForwardNumber = 7;
  forward.mService = service_name("stock");
  forward.mHopsLeft = 1;
  forward.mRequest = { "POST", "/x?y=1", { { "A", "b" } }, std::string("\0body", 5) };
  poll_reply reply;
  reply.mPollNumber = 3;
  reply.mLiveVms.push_back(
    { vm_name("a"), 4, zone_name("z"), region_name("r"), "127.0.0.1", 1, 2, true });
  reply.mZones.push_back({ zone_name("z"), service_name("s"), 1, 2, 3 });
  reply.mLeader = vm_name("control");
  for (const peer_message& message : { peer_message(forward), peer_message(reply) }) {
    const result<peer_message> decoded = DecodeMessage(EncodeMessage(message));
    CHECK(!!decoded);
    CHECK(decoded.Get() == message);
  }
}

/** Guards against a truncated or extended message that is accepted as valid. */
TEST(peer_message, refuses_truncated_messages_and_trailing_bytes)
{
  const std::string bytes = EncodeMessage(forward_cancel{ 1, 2 });
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(!!DecodeMessage(bytes.substr(0, length)));
  }
  CHECK_FALSE(!!DecodeMessage(bytes + "x"));
}

/** Guards against a forged length field that makes the decoder allocate without limit. */
TEST(peer_message, refuses_a_length_beyond_the_message)
{
  std::string bytes = EncodeMessage(announce_forward{});
  bytes.replace(5, 8, std::string(8, '\x7f'));
  CHECK_FALSE(!!DecodeMessage(bytes));
}
