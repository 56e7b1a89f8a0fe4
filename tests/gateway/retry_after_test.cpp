#include "citronpulley/gateway/http_message.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace citronpulley;

TEST_GROUP(retry_after){};

/** Guards against values of a backend server that stop requests to it for good, or at random. */
TEST(retry_after, reads_plain_seconds_only)
{
  CHECK(ParseRetryAfter({ "2" }) == microseconds(2'000'000));
  CHECK(ParseRetryAfter({ "0.25" }) == microseconds(250'000));
  CHECK(ParseRetryAfter({ "0" }) == microseconds(0));
  CHECK(ParseRetryAfter({ "1", "2.5", "2" }) == microseconds(2'500'000));
  CHECK(ParseRetryAfter({ "99999999999999999999" }) == kMaxRetryAfter);
  for (const char* text : { "",
                            "-1",
                            "nan",
                            "inf",
                            "1e3",
                            "2s",
                            " 2",
                            "0x10",
                            "2, 3",
                            "Sat, 05 Dec 2026 07:00:00 GMT" }) {
    CHECK_FALSE(ParseRetryAfter({ text }).has_value());
  }
  CHECK_FALSE(ParseRetryAfter({ std::string(400, '9') }).has_value());
  CHECK_FALSE(ParseRetryAfter({ "2", "soon" }).has_value());
  CHECK_FALSE(ParseRetryAfter({}).has_value());
}
