#ifndef CITRONPULLEY_REPLAY_TRACE_H
#define CITRONPULLEY_REPLAY_TRACE_H

#include "citronpulley/base/instant.h"
#include "citronpulley/replay/trace_entry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronpulley {

/** Entry VM or control VM that a trace declares. */
struct trace_vm
{
  std::string mName;
  /** Name in the declaration, without the suffix that `count` adds. */
  std::string mDeclaredName;
  std::string mZone;
  std::string mRegion;
  bool mIsControl = false;
};

/** Backend server that a trace declares. */
struct trace_server
{
  std::string mName;
  /** Name in the declaration, without the suffix that `count` adds. */
  std::string mDeclaredName;
  std::string mService;
  std::string mZone;
  std::string mRegion;
  /** Maximum number of requests that the system may run on the server at once. */
  std::int64_t mSlots = 1;
  microseconds mServiceTime{ 0 };
  /** Time after a restart during which the service time is multiplied by the cold factor. */
  microseconds mColdTime{ 0 };
  double mColdFactor = 1;
};

/** One-way delays between processes. */
struct trace_delays
{
  microseconds mSameZone{ 250 };
  microseconds mBetweenZones{ 1'500 };
  microseconds mBetweenRegions{ 20'000 };
  /** Between a caller or operator and a VM. */
  microseconds mClient{ 1'000 };
  /** Between a VM and a backend server of the same zone. */
  microseconds mServer{ 250 };
  /** Delays of pairs of regions that differ from mBetweenRegions; both directions are listed. */
  std::map<std::pair<std::string, std::string>, microseconds> mRegionPairs;

  /**
   * @param aSameZoneDelay delay when both are in the same zone
   * @return one-way delay between a VM and a process in a zone
   */
  microseconds GetDelay(const trace_vm& aFrom,
                        const std::string& aZone,
                        const std::string& aRegion,
                        microseconds aSameZoneDelay) const;
};

/** Complete, validated trace; see ReadTrace(). */
struct trace
{
  /** File name for messages. */
  std::string mFile;
  std::string mName;
  std::uint64_t mSeed = 1;
  microseconds mEndsAt{ 0 };
  /** Wall-clock time at the start of the trace. */
  unix_time mStartsAt;
  trace_delays mDelays;
  std::vector<trace_vm> mVms;
  std::vector<trace_server> mServers;
  /** Configuration texts that operators submit, by name. */
  std::map<std::string, std::string> mConfigTexts;
  std::vector<trace_entry> mEvents;
  /** Expected outcomes. */
  std::vector<trace_entry> mOutcomes;

  /**
   * @param aSelector name of a VM, declared name, zone, region, or `*` for all
   * @return names of the selected entry VMs in the order of declaration
   */
  std::vector<std::string> ListEntryVms(std::string_view aSelector) const;
  /** @return names of the selected servers in the order of declaration; see ListEntryVms() */
  std::vector<std::string> ListServers(std::string_view aSelector) const;
  /** @return true when the selector includes the VM; see ListEntryVms() */
  static bool IsSelectedBy(const trace_vm& aVm, std::string_view aSelector) noexcept;
  /** @return true when the selector includes the server; see ListEntryVms() */
  static bool IsSelectedBy(const trace_server& aServer, std::string_view aSelector) noexcept;
};

/**
 * Reads and validates a trace. Unknown kinds, keys and names and values of a wrong type are faults.
 *
 * @param aText content of the trace file: one JSON object per line
 * @param aFile name of the file for messages
 * @param aFolder folder for the relative paths in the trace
 * @param aFaults receives each fault as `FILE:LINE: description`
 * @return the trace, or nothing when it has a fault
 */
std::optional<trace> ReadTrace(const std::string& aText,
                               const std::string& aFile,
                               const std::string& aFolder,
                               std::vector<std::string>& aFaults);

} // namespace citronpulley

#endif
