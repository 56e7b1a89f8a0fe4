#include "citronpulley/replay/trace.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

const std::string kHead =
  R"({"declare":"trace","name":"t","description":"d","synthetic":true,"ends_ms":1000})"
  "\n"
  R"({"declare":"vm","name":"entry","role":"entry","zone":"a","region":"r","count":2})"
  "\n";

std::vector<std::string> ReadFaults(const std::string& aLine)
{
  std::vector<std::string> faults;
  ReadTrace(kHead + aLine + "\n", "file", ".", faults);
  return faults;
}

} // namespace

TEST_GROUP(trace){};

/**
 * Guards against a misspelt line that is skipped, so that the trace checks less than it expects.
 */
TEST(trace, reports_unknown_kinds_and_keys_with_file_and_line)
{
  STRCMP_EQUAL("file:3: unknown event \"explode\"",
               ReadFaults(R"({"event":"explode","at_ms":1})").at(0).c_str());
  STRCMP_EQUAL("file:3: unknown expect \"luck\"", ReadFaults(R"({"expect":"luck"})").at(0).c_str());
  STRCMP_EQUAL("file:3: unknown key \"vmm\"",
               ReadFaults(R"({"event":"kill","at_ms":1,"vm":"entry-1","vmm":"x"})").at(0).c_str());
  STRCMP_EQUAL("file:3: the line has none of the keys declare, event and expect",
               ReadFaults(R"({"name":"x"})").at(0).c_str());
}

/** Guards against a value of a wrong type, a missing key or an expected outcome without a bound. */
TEST(trace, reports_wrong_types_missing_keys_and_missing_bounds)
{
  STRCMP_EQUAL("file:3: \"at_ms\" must be a number of 0 or more",
               ReadFaults(R"({"event":"kill","at_ms":-1,"vm":"entry-1"})").at(0).c_str());
  STRCMP_EQUAL("file:3: the key \"vm\" is missing",
               ReadFaults(R"({"event":"kill","at_ms":1})").at(0).c_str());
  STRCMP_EQUAL("file:3: the outcome states no bound",
               ReadFaults(R"({"expect":"runs","path":"/"})").at(0).c_str());
}

/** Guards against references to requests, VMs or servers that the trace does not declare. */
TEST(trace, reports_references_to_undeclared_names)
{
  LONGS_EQUAL(1, ReadFaults(R"({"expect":"answer","request":"none","status":200})").size());
  LONGS_EQUAL(1, ReadFaults(R"({"event":"kill","at_ms":1,"vm":"entry-3"})").size());
  LONGS_EQUAL(0, ReadFaults(R"({"event":"kill","at_ms":1,"vm":"entry-2"})").size());
  LONGS_EQUAL(1, ReadFaults(R"({"event":"server_start","at_ms":1,"servers":["entry-2"]})").size());
  LONGS_EQUAL(1, ReadFaults(R"({"event":"silence","at_ms":1,"between":["entry-1"]})").size());
}

/**
 * Guards against events that never happen: those after the end of the trace, and resends before the
 * original request.
 */
TEST(trace, reports_events_after_the_end_and_resends_before_the_original)
{
  STRCMP_EQUAL("file:3: the event is later than the end of the trace",
               ReadFaults(R"({"event":"kill","at_ms":1001,"vm":"entry-1"})").at(0).c_str());
  const std::vector<std::string> faults =
    ReadFaults(R"({"event":"request","at_ms":9,"id":"a","vm":"entry-1","path":"/"})"
               "\n"
               R"({"event":"resend","at_ms":8,"id":"b","of":"a"})");
  STRCMP_EQUAL("file:4: the request that is sent again is not sent before", faults.at(0).c_str());
}

/** Guards against upper bounds that always hold because a misspelt name selects nothing. */
TEST(trace, reports_filters_that_select_nothing)
{
  LONGS_EQUAL(1, ReadFaults(R"({"expect":"runs","idempotency_key":"x","at_most":1})").size());
  LONGS_EQUAL(1, ReadFaults(R"({"expect":"runs","service":"x","at_most":1})").size());
  LONGS_EQUAL(1, ReadFaults(R"({"expect":"runs","workspace":"x","at_most":1})").size());
  const std::string request = R"({"event":"request","at_ms":9,"id":"a","vm":"entry-1","path":"/"})"
                              "\n";
  LONGS_EQUAL(1, ReadFaults(request + R"({"expect":"answer","request":"a","code":"x"})").size());
  LONGS_EQUAL(1, ReadFaults(request + R"({"expect":"answer","request":"a","outcome":"x"})").size());
}
