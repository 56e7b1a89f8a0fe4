#ifndef CITRONPULLEY_CONFIG_CONFIG_FAULT_H
#define CITRONPULLEY_CONFIG_CONFIG_FAULT_H

#include <cstdint>
#include <string>
#include <vector>

namespace citronpulley {

/** One fault in a settings file or in the operators' text, with its place. */
struct config_fault
{
  std::string mFile;
  /** Line from 1; 0 when the fault concerns the file as a whole. */
  std::uint32_t mLine = 0;
  /** Dotted path of the key, such as `services[2].routes[0].deadline_ms`. */
  std::string mKey;
  std::string mFound;
  std::string mExpected;

  friend auto operator<=>(const config_fault&, const config_fault&) = default;
};

/** All faults of one text; empty when the text is valid. */
using config_faults = std::vector<config_fault>;

/** @return the fault as one line: `file:line: key: found X, expected Y` */
std::string ToString(const config_fault& aFault);

} // namespace citronpulley

#endif
