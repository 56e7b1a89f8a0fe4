#include "citronpulley/gateway/relay_fields.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace citronpulley;

TEST_GROUP(relay_fields){};

/** Guards against requests that are taken for those of an entry VM without its token. */
TEST(relay_fields, a_request_needs_the_token_and_exactly_its_numbers)
{
  const relayed_request request{ 1, true, 12 };
  const std::string text = EncodeRelayedRequest(77, request);
  CHECK(ParseRelayedRequest(text, 77) == request);
  CHECK_FALSE(ParseRelayedRequest(text, 78).has_value());
  CHECK_FALSE(ParseRelayedRequest(EncodeRelayedRequest(0, request), 0).has_value());
  for (const char* damaged : { "",
                               "77",
                               "77 1",
                               "77 1 2",
                               "77 1 2 3",
                               "77 1 1001 1",
                               "77 1 -1 1",
                               "77 1 1 1 ",
                               "77  1 1 1",
                               "x 1 1 1",
                               "77 99999999999999999999 1 1" }) {
    CHECK_FALSE(ParseRelayedRequest(damaged, 77).has_value());
  }
}

/** Guards against a response without a statement that is taken for a proof that nothing ran. */
TEST(relay_fields, an_unmarked_response_proves_nothing_but_a_refusal)
{
  const auto read = [](unsigned aStatus, const std::string& aStated) {
    http_response response;
    response.mStatus = aStatus;
    if (!aStated.empty()) {
      response.mFields.push_back({ std::string(kRelayField), aStated });
    }
    return ReadRelayOutcome(response);
  };
  CHECK(relay_outcome::Answered == read(200, "answered"));
  CHECK(relay_outcome::Answered == read(503, "answered"));
  CHECK(relay_outcome::Refused == read(503, "refused"));
  CHECK(relay_outcome::Declined == read(503, "declined"));
  CHECK(relay_outcome::Failed == read(502, "failed"));
  CHECK(relay_outcome::Failed == read(502, "anything"));
  CHECK(relay_outcome::Declined == read(413, ""));
  CHECK(relay_outcome::Lost == read(200, ""));
}
