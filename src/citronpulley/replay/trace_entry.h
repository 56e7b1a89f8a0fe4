#ifndef CITRONPULLEY_REPLAY_TRACE_ENTRY_H
#define CITRONPULLEY_REPLAY_TRACE_ENTRY_H

#include "citronpulley/base/instant.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/**
 * One line of a trace, after its keys and their types have been checked. The accessors return the
 * default when the line does not have the key.
 */
class trace_entry
{
public:
  /**
   * @param aLine number of the line in its file, from 1
   * @param aKind kind of the declaration, event or expected outcome
   * @param aFields keys and values of the line
   */
  trace_entry(std::size_t aLine, std::string aKind, boost::json::object aFields);

  std::size_t GetLine() const noexcept { return mLine; }
  const std::string& GetKind() const noexcept { return mKind; }
  const boost::json::object& GetFields() const noexcept { return mFields; }

  bool Has(std::string_view aKey) const;
  std::string GetText(std::string_view aKey, std::string_view aDefault = "") const;
  double GetNumber(std::string_view aKey, double aDefault) const;
  std::int64_t GetInteger(std::string_view aKey, std::int64_t aDefault) const;
  bool GetBoolean(std::string_view aKey, bool aDefault) const;
  std::vector<std::string> GetList(std::string_view aKey) const;
  /** @return duration, or time since the start of the trace, from a value in milliseconds */
  microseconds GetTime(std::string_view aKey, double aDefaultMilliseconds = 0) const;

private:
  std::size_t mLine;
  std::string mKind;
  boost::json::object mFields;
};

} // namespace citronpulley

#endif
