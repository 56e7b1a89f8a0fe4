#include "citronpulley/base/ipv4_block.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(ipv4_block){};

/** Guards against a wrong first or last address, including the shortest and longest prefix. */
TEST(ipv4_block, reads_blocks_of_each_length)
{
  CHECK(ParseIpv4Block("10.2.0.0/16").Get() == (ipv4_block{ 0x0A020000, 16 }));
  LONGS_EQUAL(0x0A02FFFF, ParseIpv4Block("10.2.0.0/16").Get().GetLast());
  LONGS_EQUAL(0xFFFFFFFF, ParseIpv4Block("0.0.0.0/0").Get().GetLast());
  LONGS_EQUAL(0x0A020001, ParseIpv4Block("10.2.0.1/32").Get().GetLast());
}

/** Guards against a mistyped block that is accepted and covers other addresses than intended. */
TEST(ipv4_block, refuses_bad_texts_with_a_message_that_names_the_text)
{
  for (const char* text : { "",
                            "10.2.0.0",
                            "10.2.0.0/",
                            "10.2.0.0/33",
                            "10.2.0.0/-1",
                            "10.2.0.0/4294967304",
                            "10.2.0/16",
                            "10.256.0.0/16",
                            "010.2.0.0/16",
                            "10.2.0.0/16 ",
                            "2001:db8::/32" }) {
    const result<ipv4_block> block = ParseIpv4Block(text);
    CHECK_FALSE(static_cast<bool>(block));
    CHECK(block.GetError().mCode == error_code::BadRequest);
    CHECK(block.GetError().mMessage.find(text) != std::string::npos);
  }
  const result<ipv4_block> hostBits = ParseIpv4Block("10.2.3.0/16");
  CHECK_FALSE(static_cast<bool>(hostBits));
  CHECK(hostBits.GetError().mMessage.find("10.2.0.0/16") != std::string::npos);
}
