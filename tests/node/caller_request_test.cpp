#include "citronpulley/node/caller_request.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

http_request_received MakeRequest(std::vector<http_header> aHeaders,
                                  const std::string& aTarget = "/svc/stock/item?id=1")
{
  return { 1, "GET", aTarget, std::move(aHeaders), "body", "127.0.0.1" };
}

bool IsRefused(std::vector<http_header> aHeaders)
{
  return !ParseCallerRequest(MakeRequest(std::move(aHeaders)));
}

} // namespace

TEST_GROUP(caller_request){};

/** Guards against an API key that is forwarded to a backend server, and against reserved headers of
 * a caller that a backend server would take for those of an entry VM. */
TEST(caller_request, removes_credentials_and_reserved_headers)
{
  const result<caller_request> request =
    ParseCallerRequest(MakeRequest({ { "AUTHORIZATION", "Bearer cpk_id_secret" },
                                     { "citronpulley-workspace", "other" },
                                     { "Citronpulley-Not-Run", "true" },
                                     { "Proxy-Authorization", "x" },
                                     { "Connection", "close" },
                                     { "Accept", "text/plain" } }));
  CHECK(!!request);
  LONGS_EQUAL(1, request.Get().mRequest.mHeaders.size());
  STRCMP_EQUAL("Accept", request.Get().mRequest.mHeaders[0].mName.c_str());
  STRCMP_EQUAL("secret", request.Get().mKey->mSecret.c_str());
  STRCMP_EQUAL("/item?id=1", request.Get().mRequest.mTarget.c_str());
  STRCMP_EQUAL("/item", request.Get().mPath.c_str());
}

/** Guards against ambiguous requests that an entry VM and a backend server could interpret
 * differently. */
TEST(caller_request, refuses_repeated_and_contradictory_headers)
{
  CHECK(
    IsRefused({ { "Authorization", "Bearer cpk_a_b" }, { "authorization", "Bearer cpk_c_d" } }));
  CHECK(IsRefused({ { "Idempotency-Key", "a" }, { "Idempotency-Key", "a" } }));
  CHECK(IsRefused({ { "Content-Length", "4" }, { "Content-Length", "4" } }));
  CHECK(IsRefused({ { "Content-Length", "4" }, { "Transfer-Encoding", "chunked" } }));
  CHECK(IsRefused({ { "Host", "a" }, { "Host", "b" } }));
}

/** Guards against malformed header values that are treated as absent. */
TEST(caller_request, refuses_malformed_values)
{
  for (const char* key :
       { "cpk_a_b", "Bearer x", "Bearer cpk_", "Bearer cpk_a", "Bearer cpk__b", "Bearer cpk_a_" }) {
    CHECK(IsRefused({ { "Authorization", key } }));
  }
  for (const char* deadline : { "0", "-1", "1x", "99999999999999999999", "1.5" }) {
    CHECK(IsRefused({ { "Citronpulley-Deadline-Ms", deadline } }));
  }
  CHECK(IsRefused({ { "Citronpulley-Priority", "now" } }));
}

/** Guards against a malformed `traceparent` that breaks the trace: it must count as absent. */
TEST(caller_request, parses_a_valid_traceparent_and_ignores_a_malformed_one)
{
  const std::string valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  CHECK(ParseCallerRequest(MakeRequest({ { "traceparent", valid } })).Get().mTrace ==
        (trace_context{ "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331" }));
  CHECK(ParseCallerRequest(MakeRequest({ { "traceparent", valid + "x" } })).Get().mTrace ==
        trace_context{});
}

/** Guards against an error response without the status or a field that callers rely on. */
TEST(caller_request, reports_errors_with_code_step_peer_and_outcome)
{
  const http_answer answer =
    MakeErrorAnswer(MakeError(error_code::RateExceeded, step::Admit, "vm-1", "text \"quoted\""),
                    request_outcome::NotRun);
  LONGS_EQUAL(429, answer.mStatus);
  STRCMP_EQUAL(
    "{\"error\":{\"code\":\"rate_exceeded\",\"message\":\"text \\\"quoted\\\"\",\"step\":"
    "\"admit\",\"peer\":\"vm-1\",\"outcome\":\"not_run\"}}\n",
    answer.mBody.c_str());
}
