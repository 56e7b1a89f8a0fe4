#include "citronpulley/replay/trace_rules.h"

#include "citronpulley/base/error.h"

#include <boost/json.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace citronpulley {

namespace {

/** Keys of events that send requests of callers. */
const std::string kRequestFields =
  " vm:t key:t method:t path:t! body:t deadline_ms:i urgent:b group:t "
  "give_up_after_ms:n ";
/** Keys of expected outcomes that select runs. */
const std::string kRunFilterFields =
  " request:t idempotency_key:t path:t service:t workspace:t server:t "
  "zone:t region:t after_ms:n before_ms:n ";

} // namespace

const trace_rules& GetTraceRules()
{
  static const trace_rules sRules{
    { "declare",
      { { "trace", "name:t! description:t! synthetic:b! ends_ms:n! seed:i start_unix_ms:i" },
        { "text", "name:t! file:t lines:l of:t prepend:l replace:l" },
        { "vm", "name:t! role:t! zone:t! region:t! count:i" },
        { "server",
          "name:t! service:t! zone:t! slots:i! service_time_ms:n! count:i cold_ms:n "
          "cold_factor:n" },
        { "delays", "same_zone_ms:n zone_ms:n region_ms:n client_ms:n server_ms:n" },
        { "link", "between:l! one_way_ms:n!" } } },
    { "event",
      { { "request", "id:t! idempotency_key:t idempotency_age_ms:n failover:l" + kRequestFields },
        { "load",
          "vms:l! rate_per_second:n! for_ms:n! own_idempotency_keys:b failover:b poisson:b seed:i" +
            kRequestFields },
        { "resend", "id:t! of:t! vm:t group:t" },
        { "give_key", "key:t! workspace:t! id:t vm:t" },
        { "withdraw_key", "key:t! id:t vm:t" },
        { "submit", "text:t! expected_version:i! submission:t! id:t vm:t drains:t" },
        { "cut", "name:t! from:l! to:l! one_way:b" },
        { "heal", "cut:t!" },
        { "silence", "between:l! reopens_after_ms:n" },
        { "kill", "vm:t!" },
        { "restart", "vm:t!" },
        { "freeze", "vm:t!" },
        { "wake", "vm:t!" },
        { "stop", "vm:t! restart_after_ms:n" },
        { "server_start", "servers:l!" },
        { "server_crash", "servers:l! restart_after_ms:n" },
        { "server_leave", "servers:l!" },
        { "server_behaviour", "servers:l! do:t! path:t factor:n status:i restart_after_ms:n" },
        { "server_report", "servers:l! do:t! load:n running:i" } } },
    { "expect",
      { { "answer",
          "request:t! status:i code:t outcome:t body:t body_contains:t same_body_as:t server:t "
          "zone:t region:t by_ms:n" },
        { "runs", "at_most:i at_least:i" + kRunFilterFields },
        { "group",
          "group:t! status:i code:t outcome:t workspace:t vm:t zone:t region:t after_ms:n "
          "before_ms:n at_least:i at_most:i at_least_ratio:n at_most_ratio:n" },
        { "running", "at_most:i!" + kRunFilterFields },
        { "rate", "at_most:i! window_ms:n" + kRunFilterFields },
        { "spend", "workspace:t! rate_per_second:n! burst:n! jitter_ms:n" },
        { "latency", "group:t! quantile:n! at_most_ms:n at_least_ms:n after_ms:n before_ms:n" },
        { "version", "version:i! by_ms:n! vms:l" },
        { "stopped", "vm:t! by_ms:n!" } } }
  };
  return sRules;
}

field_rules ParseFieldRules(const std::string& aItems)
{
  field_rules rules;
  std::istringstream items(aItems);
  for (std::string item; items >> item;) {
    const std::size_t colon = item.find(':');
    rules[item.substr(0, colon)] = { item[colon + 1], item.back() == '!' };
  }
  return rules;
}

bool IsKnownCode(const std::string& aCode)
{
  static const std::set<std::string> sWithoutAnswer{ "no_connection",
                                                     "connection_lost",
                                                     "gave_up" };
  for (int code = 0; code <= static_cast<int>(error_code::Internal); ++code) {
    if (ToString(static_cast<error_code>(code)) == aCode) {
      return true;
    }
  }
  return sWithoutAnswer.contains(aCode);
}

bool IsOfType(const boost::json::value& aValue, char aType)
{
  switch (aType) {
    case 't':
      return aValue.is_string();
    case 'n':
      return aValue.is_number() && aValue.to_number<double>() >= 0;
    case 'i':
      return aValue.is_int64() && aValue.get_int64() >= 0;
    case 'b':
      return aValue.is_bool();
    default:
      return aValue.is_array() && std::all_of(aValue.get_array().begin(),
                                              aValue.get_array().end(),
                                              [](const auto& aItem) { return aItem.is_string(); });
  }
}

std::string DescribeType(char aType)
{
  static const std::map<char, std::string> sNames{ { 't', "a text" },
                                                   { 'n', "a number of 0 or more" },
                                                   { 'i', "an integer of 0 or more" },
                                                   { 'b', "true or false" },
                                                   { 'l', "a list of texts" } };
  return sNames.at(aType);
}

} // namespace citronpulley
