#ifndef CITRONPULLEY_CONFIG_CONFIG_FAULT_H
#define CITRONPULLEY_CONFIG_CONFIG_FAULT_H

#include <cstdint>
#include <string>
#include <vector>

namespace citronpulley {

/** Fault in a settings file or a catalogue, with its location. */
struct config_fault
{
  std::string mFile;
  /** Line number, starting at 1; 0 when the fault concerns the whole file. */
  std::uint32_t mLine = 0;
  /** Dotted path of the key, such as `services[2].routes[0].deadline_ms`. */
  std::string mKey;
  std::string mFound;
  std::string mExpected;

  friend auto operator<=>(const config_fault&, const config_fault&) = default;
};

/** All faults of one file; empty when the file is valid. */
using config_faults = std::vector<config_fault>;

/** @return the fault as one line in the form `file:line: key: found X, expected Y` */
std::string ToString(const config_fault& aFault);

} // namespace citronpulley

#endif
