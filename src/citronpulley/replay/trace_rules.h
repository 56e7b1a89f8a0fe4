#ifndef CITRONPULLEY_REPLAY_TRACE_RULES_H
#define CITRONPULLEY_REPLAY_TRACE_RULES_H

#include <boost/json/value.hpp>

#include <functional>
#include <map>
#include <string>

/**
 * @file
 * Kinds of lines of a trace and the keys that each of them takes.
 */

namespace citronpulley {

/** Type of a key: text, number, integer, boolean or list of texts. */
struct field_rule
{
  char mType = 't';
  bool mIsRequired = false;
};

using field_rules = std::map<std::string, field_rule, std::less<>>;

using kind_rules = std::map<std::string, std::string, std::less<>>;
/** Rules by family (`declare`, `event`, `expect`) and kind; see ParseFieldRules(). */
using trace_rules = std::map<std::string, kind_rules, std::less<>>;

/** @return the rules of the format */
const trace_rules& GetTraceRules();

/** Reads `key:type` items; `!` after the type marks a required key. */
field_rules ParseFieldRules(const std::string& aItems);

/** @return true when a value has the type that a rule names */
bool IsOfType(const boost::json::value& aValue, char aType);

/** @return true for the code of a rejection, of an answer or of a request without answer */
bool IsKnownCode(const std::string& aCode);

/** @return words for a type in a fault */
std::string DescribeType(char aType);

} // namespace citronpulley

#endif
