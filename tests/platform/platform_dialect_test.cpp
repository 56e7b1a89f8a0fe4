#include "platform_dialect.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

const char* const kConfigText =
  R"({"Version":"r7","Limits":{"MaxHeaderBytes":8192,"MaxBodyBytes":1000000,"HeaderTimeout":"3000ms",)"
  R"("IdleTimeout":"2.5s"},"Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1,"RatePerS":405,)"
  R"("Burst":300,"AllowedRegions":["north"]}],"BaseVersion":"r5","Listeners":[{"Host":"a.example",)"
  R"("Rules":[{"Name":"r1","Kind":"safe","Aim":"400ms","Priority":2,"AllowAnonymous":false,)"
  R"("Sticky":true,"Match":{"PathPrefix":"/x/"},"Action":{"WeightedServices":[{"Service":"s1",)"
  R"("Weight":90},{"Service":"s2","Weight":10}],"Timeout":"1200ms","MaxAttempts":2,)"
  R"("AllowedRegions":[]}}]}],"Clusters":[{"Name":"s1","HealthCheckPath":"/h","MaxConnections":780,)"
  R"("Protocol":"h1","Tls":false,"Warmup":"3s","WarmupPerS":16.0},{"Name":"s2","MaxConnections":5}]})";

http_request MakeRequest(std::string aMethod, std::string aTarget, std::string aBody = {})
{
  http_request request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  return request;
}

const char* const kHeartbeatBody =
  R"({"Service":"s1","Address":"10.0.0.9:8080","Zone":"a","Version":"v1","Slots":9,"State":"ready",)"
  R"("WarmupLeft":"1500ms","Seq":4,"born":1700000000000})";

/** @return the configuration of kConfigText with another kind of its route */
std::string MakeConfigOfKind(const std::string& aKind)
{
  std::string text = kConfigText;
  const std::string kind = R"("Kind":"safe")";
  return text.replace(text.find(kind), kind.size(), R"("Kind":")" + aKind + "\"");
}

} // namespace

TEST_GROUP(platform_dialect)
{
  platform_dialect mDialect;

  result<backend_record> Announce(const std::string& aBody)
  {
    return std::get<announcement_call>(
             mDialect.ParseCall(MakeRequest("POST", "/-/instances/i-1/heartbeat", aBody)))
      .mRecord;
  }
};

/** Guards against configuration fields that are decoded into the wrong member or unit. */
TEST(platform_dialect, parses_a_configuration)
{
  const result<traffic_config> read = mDialect.ParseConfig(kConfigText);
  CHECK(static_cast<bool>(read));
  const traffic_config& config = read.Get();
  UNSIGNED_LONGS_EQUAL(7, config.mVersion);
  UNSIGNED_LONGS_EQUAL(5, config.mBase);
  UNSIGNED_LONGS_EQUAL(8'192, config.mLimits.mMaxHeaderBytes);
  CHECK(config.mLimits.mIdleTimeout == microseconds(2'500'000));
  const workspace_rule& workspace = config.mWorkspaces.front();
  STRCMP_EQUAL("k2", workspace.mKeys.back().c_str());
  DOUBLES_EQUAL(405, workspace.mRate, 0);
  DOUBLES_EQUAL(300, workspace.mBurst, 0);
  LONGS_EQUAL(1, *workspace.mPriority);
  const route_rule& route = config.mRoutes.front();
  STRCMP_EQUAL("a.example", route.mHost.c_str());
  CHECK(route.mIsIdempotent);
  CHECK(*route.mTimeout == microseconds(1'200'000));
  CHECK(*route.mObjective == microseconds(400'000));
  LONGS_EQUAL(2, route.mMaxAttempts);
  DOUBLES_EQUAL(10, route.mServices.back().mWeight, 0);
  DOUBLES_EQUAL(16, config.mServices.front().mWarmupRate, 0);
  CHECK_FALSE(FindFault(config).has_value());
}

/** Guards against refusing or failing to retry routes with large responses, which are idempotent.
 */
TEST(platform_dialect, reads_a_download_as_idempotent)
{
  const result<traffic_config> read = mDialect.ParseConfig(MakeConfigOfKind("download"));
  CHECK(static_cast<bool>(read));
  CHECK(read.Get().mRoutes.front().mIsIdempotent);
  CHECK(read.Get().mWarnings.empty());
}

/** Guards against one unknown kind of route that leaves all routes without a configuration. */
TEST(platform_dialect, reads_an_unknown_kind_as_not_idempotent_and_warns)
{
  const result<traffic_config> read = mDialect.ParseConfig(MakeConfigOfKind("bidirectional"));
  CHECK(static_cast<bool>(read));
  CHECK_FALSE(read.Get().mRoutes.front().mIsIdempotent);
  UNSIGNED_LONGS_EQUAL(1, read.Get().mWarnings.size());
  STRCMP_CONTAINS("r1", read.Get().mWarnings.front().c_str());
  STRCMP_CONTAINS("bidirectional", read.Get().mWarnings.front().c_str());
}

/**
 * Guards against accepting a configuration that is truncated, not an object, or lacks a valid
 * version.
 */
TEST(platform_dialect, rejects_truncated_and_malformed_configurations)
{
  const std::string text = kConfigText;
  CHECK_FALSE(static_cast<bool>(mDialect.ParseConfig(text.substr(0, text.size() - 2))));
  CHECK_FALSE(static_cast<bool>(mDialect.ParseConfig("[]")));
  CHECK_FALSE(static_cast<bool>(mDialect.ParseConfig(R"({"Version":"x7","BaseVersion":"r5"})")));
  CHECK_FALSE(static_cast<bool>(mDialect.ParseConfig(R"({"BaseVersion":"r5"})")));
}

/** Guards against a warm-up or start time that is decoded in the wrong unit. */
TEST(platform_dialect, parses_an_announcement)
{
  const result<backend_record> record = Announce(kHeartbeatBody);
  CHECK(static_cast<bool>(record));
  STRCMP_EQUAL("i-1", record.Get().mId.c_str());
  LONGS_EQUAL(1'500, record.Get().mColdForMs);
  CHECK(record.Get().mStartedAtMs == 1'700'000'000'000);
  CHECK_FALSE(record.Get().mIsLeaving);
}

/**
 * Guards against registering a backend server from an announcement with missing fields, fields of
 * the wrong type or an unknown state.
 */
TEST(platform_dialect, rejects_malformed_announcements)
{
  CHECK_FALSE(static_cast<bool>(Announce("{")));
  CHECK_FALSE(static_cast<bool>(Announce(R"({"Service":"s1"})")));
  CHECK_FALSE(static_cast<bool>(
    Announce(R"({"Service":"s1","Address":"a","Zone":"a","Slots":"9","State":"ready","Seq":4})")));
  CHECK_FALSE(static_cast<bool>(
    Announce(R"({"Service":"s1","Address":"a","Zone":"a","Slots":9,"State":"asleep","Seq":4})")));
  CHECK_FALSE(static_cast<bool>(Announce(
    R"({"Service":"s1","Address":"a","Zone":"a","Slots":9,"State":"ready","Seq":4,"born":1.5})")));
}

/**
 * Guards against entries of another writer that make the entry VMs that read them fail, or send
 * requests to addresses that do not exist.
 */
TEST(platform_dialect, rejects_announcements_of_another_writer_that_name_no_backend_server)
{
  const std::string nested(10'000, '[');
  const std::string whole =
    R"({"Service":"stock","Address":"10.2.0.1:80","Zone":"a","Slots":4,"State":"ready","Seq":1,"X":0})";
  const auto isAccepted = [&](const std::string& aFrom, const std::string& aTo) {
    std::string body = whole;
    body.replace(body.find(aFrom), aFrom.size(), aTo);
    const control_call call =
      mDialect.ParseCall({ "POST", "/-/instances/i-1/heartbeat", {}, body });
    return static_cast<bool>(std::get<announcement_call>(call).mRecord);
  };
  CHECK(isAccepted("\"X\":0", "\"X\":0"));
  CHECK_FALSE(isAccepted("\"X\":0", "\"X\":" + nested));
  CHECK_FALSE(isAccepted("\"X\":0", "\"X\":" + nested + std::string(10'000, ']')));
  for (const char* address : { "10.2.0.1:65536",
                               "10.2.0.1:0",
                               "10.2.0.1:-1",
                               "10.2.0.1",
                               "host:80",
                               "10.2.0.256:80",
                               "10.2.0.1:80x",
                               "10.2.0.1:99999999999999999999" }) {
    CHECK_FALSE(isAccepted("10.2.0.1:80", address));
  }
  for (const char* number : { "1e400", "99999999999999999999", "4.5", "-1", "1000001" }) {
    CHECK_FALSE(isAccepted("\"Slots\":4", std::string("\"Slots\":") + number));
  }
  CHECK_FALSE(isAccepted("\"Seq\":1", "\"Seq\":99999999999999999999"));
  CHECK_FALSE(isAccepted("\"Seq\":1", "\"Seq\":-1"));
  CHECK_FALSE(isAccepted("\"X\":0", "\"born\":1e300"));
  CHECK_FALSE(isAccepted("\"X\":0", "\"born\":-5"));
  CHECK_FALSE(isAccepted("\"X\":0", "\"WarmupLeft\":\"1e300s\""));
  CHECK_FALSE(isAccepted("\"X\":0", "\"WarmupLeft\":\"999999999s\""));
  CHECK_FALSE(isAccepted("stock", std::string(5'000, 's')));
}

/** Guards against numbers of a configuration that no integer holds. */
TEST(platform_dialect, rejects_numbers_that_are_out_of_range)
{
  for (const char* number : { "1e300", "-1e300", "3000000000" }) {
    std::string text = kConfigText;
    const std::string name = "\"MaxAttempts\":2";
    CHECK(text.find(name) != std::string::npos);
    text.replace(text.find(name), name.size(), std::string("\"MaxAttempts\":") + number);
    CHECK_FALSE(static_cast<bool>(mDialect.ParseConfig(text)));
  }
}

/** Guards against paths that map to the wrong call, and an empty instance id that is accepted. */
TEST(platform_dialect, recognises_each_call)
{
  CHECK(std::holds_alternative<ready_call>(mDialect.ParseCall(MakeRequest("GET", "/-/readyz"))));
  CHECK(std::holds_alternative<get_config_call>(
    mDialect.ParseCall(MakeRequest("GET", "/-/config/get"))));
  CHECK(std::holds_alternative<unknown_call>(mDialect.ParseCall(MakeRequest("POST", "/-/other"))));
  CHECK(std::holds_alternative<unknown_call>(
    mDialect.ParseCall(MakeRequest("POST", "/-/instances//heartbeat"))));
  const auto resolve = std::get<resolve_call>(
    mDialect.ParseCall(MakeRequest("GET", "/-/resolve?Name=x&Region=r&Zone=z")));
  STRCMP_EQUAL("z", resolve.mZone.mValue.c_str());
  STRCMP_EQUAL("r", resolve.mRegion.mValue.c_str());
  const auto evacuation =
    std::get<evacuation_call>(mDialect.ParseCall(MakeRequest("POST", "/-/evacuations/z/end")));
  CHECK_FALSE(evacuation.mCommand.mIsEvacuated);
  const auto departure = std::get<departure_call>(
    mDialect.ParseCall(MakeRequest("POST", "/-/instances/i-2/deregister", R"({"born":5})")));
  STRCMP_EQUAL("i-2", departure.mCommand.mBackend.c_str());
  LONGS_EQUAL(5, departure.mCommand.mStartedAtMs);
}

/** Guards against accepting load values that are incomplete, negative or not numeric. */
TEST(platform_dialect, parses_load_reports)
{
  const std::optional<load_report> load = mDialect.ParseLoad("3,1,8");
  CHECK(load.has_value());
  CHECK((*load == load_report{ 3, 1, 8 }));
  CHECK_FALSE(mDialect.ParseLoad("3,1").has_value());
  CHECK_FALSE(mDialect.ParseLoad("-3,1,8").has_value());
  CHECK_FALSE(mDialect.ParseLoad("x").has_value());
}

/** Guards against a limit that is read from damaged text, or that makes a share meaningless. */
TEST(platform_dialect, reads_only_a_plain_decimal_number_as_a_limit)
{
  DOUBLES_EQUAL(7.2, mDialect.ParseLimit("7.2").value(), 1e-9);
  DOUBLES_EQUAL(0, mDialect.ParseLimit("0").value(), 1e-9);
  for (const char* text :
       { "", " ", "-1", "nan", "inf", "1e3", "7.2/s", "7,2", "1e999", "2000000" }) {
    CHECK(!mDialect.ParseLimit(text).has_value());
  }
}
