#include "citronpulley/replay/trace_entry.h"

#include <boost/json.hpp>

#include <cmath>
#include <utility>

namespace citronpulley {

trace_entry::trace_entry(std::size_t aLine, std::string aKind, boost::json::object aFields)
  : mLine(aLine)
  , mKind(std::move(aKind))
  , mFields(std::move(aFields))
{
}

bool trace_entry::Has(std::string_view aKey) const
{
  return mFields.contains(aKey);
}

std::string trace_entry::GetText(std::string_view aKey, std::string_view aDefault) const
{
  const boost::json::value* value = mFields.if_contains(aKey);
  return std::string(value == nullptr ? aDefault : std::string_view(value->get_string()));
}

double trace_entry::GetNumber(std::string_view aKey, double aDefault) const
{
  const boost::json::value* value = mFields.if_contains(aKey);
  return value == nullptr ? aDefault : value->to_number<double>();
}

std::int64_t trace_entry::GetInteger(std::string_view aKey, std::int64_t aDefault) const
{
  const boost::json::value* value = mFields.if_contains(aKey);
  return value == nullptr ? aDefault : value->get_int64();
}

bool trace_entry::GetBoolean(std::string_view aKey, bool aDefault) const
{
  const boost::json::value* value = mFields.if_contains(aKey);
  return value == nullptr ? aDefault : value->get_bool();
}

std::vector<std::string> trace_entry::GetList(std::string_view aKey) const
{
  std::vector<std::string> list;
  if (const boost::json::value* value = mFields.if_contains(aKey)) {
    for (const boost::json::value& item : value->get_array()) {
      list.emplace_back(item.get_string());
    }
  }
  return list;
}

microseconds trace_entry::GetTime(std::string_view aKey, double aDefaultMilliseconds) const
{
  return microseconds(std::llround(GetNumber(aKey, aDefaultMilliseconds) * 1'000));
}

} // namespace citronpulley
