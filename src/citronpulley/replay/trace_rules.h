#ifndef CITRONPULLEY_REPLAY_TRACE_RULES_H
#define CITRONPULLEY_REPLAY_TRACE_RULES_H

#include <boost/json/value.hpp>

#include <functional>
#include <map>
#include <string>

/**
 * @file
 * Kinds of lines that a trace may have, and the keys of each kind.
 */

namespace citronpulley {

/** Type of the value of a key, and whether every line of the kind must have the key. */
struct field_rule
{
  /**
   * `t` text, `n` number of 0 or more, `i` integer of 0 or more, `b` boolean or `l` list of texts.
   */
  char mType = 't';
  bool mIsRequired = false;
};

/** Rules by key. */
using field_rules = std::map<std::string, field_rule, std::less<>>;

/** Keys of each kind, in the form that ParseFieldRules() parses. */
using kind_rules = std::map<std::string, std::string, std::less<>>;
/** Rules of the kinds, by family: `declare`, `event` or `expect`. */
using trace_rules = std::map<std::string, kind_rules, std::less<>>;

/** @return rules of the trace format */
const trace_rules& GetTraceRules();

/**
 * Parses the keys of a kind.
 *
 * @param aItems items `key:type`, separated by spaces; `!` after the type marks a required key
 */
field_rules ParseFieldRules(const std::string& aItems);

/**
 * @param aType type code of field_rule::mType
 * @return true when the value has this type
 */
bool IsOfType(const boost::json::value& aValue, char aType);

/** @return true for the name of an error_code, or for a code of a request without an answer */
bool IsKnownCode(const std::string& aCode);

/** @return description of a type code for messages, such as "a text" */
std::string DescribeType(char aType);

} // namespace citronpulley

#endif
