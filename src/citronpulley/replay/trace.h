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

/** VM of the system in a trace. */
struct trace_vm
{
  std::string mName;
  /** Name as declared, without the number that `count` adds. */
  std::string mDeclaredName;
  std::string mZone;
  std::string mRegion;
  bool mIsControl = false;
};

/** Backend server in a trace. */
struct trace_server
{
  std::string mName;
  std::string mDeclaredName;
  std::string mService;
  std::string mZone;
  std::string mRegion;
  std::int64_t mSlots = 1;
  microseconds mServiceTime{ 0 };
  /** Time after a start in which the service time is multiplied by the cold factor. */
  microseconds mColdTime{ 0 };
  double mColdFactor = 1;
};

/** One-way delays between processes. */
struct trace_delays
{
  microseconds mSameZone{ 250 };
  microseconds mBetweenZones{ 1'500 };
  microseconds mBetweenRegions{ 20'000 };
  microseconds mClient{ 1'000 };
  microseconds mServer{ 250 };
  std::map<std::pair<std::string, std::string>, microseconds> mRegionPairs;

  /** @return delay between a VM and a process in a zone; the last parameter holds inside a zone */
  microseconds GetDelay(const trace_vm& aFrom,
                        const std::string& aZone,
                        const std::string& aRegion,
                        microseconds aSameZoneDelay) const;
};

/** Whole trace; made by ReadTrace() alone. */
struct trace
{
  std::string mFile;
  std::string mName;
  std::uint64_t mSeed = 1;
  microseconds mEndsAt{ 0 };
  unix_time mStartsAt;
  trace_delays mDelays;
  std::vector<trace_vm> mVms;
  std::vector<trace_server> mServers;
  /** Operators' texts by name. */
  std::map<std::string, std::string> mConfigTexts;
  std::vector<trace_entry> mEvents;
  std::vector<trace_entry> mOutcomes;

  /** @return entry VMs that a name stands for: a VM, declared VMs, a zone, a region or `*` */
  std::vector<std::string> ListEntryVms(std::string_view aSelector) const;
  /** @return servers that a name stands for: a server, declared servers, a zone, a region or `*` */
  std::vector<std::string> ListServers(std::string_view aSelector) const;
  /** @return true when a name stands for the VM */
  static bool IsSelectedBy(const trace_vm& aVm, std::string_view aSelector) noexcept;
  /** @return true when a name stands for the server */
  static bool IsSelectedBy(const trace_server& aServer, std::string_view aSelector) noexcept;
};

/**
 * Reads a trace. A kind, key, name or type that the format does not know is a fault.
 *
 * @param aText JSON lines
 * @param aFile name of the file for faults
 * @param aFolder folder to which the files that the trace names are relative
 * @param aFaults gets each fault as `FILE:LINE: what is wrong`
 * @return the trace, or nothing when there is any fault
 */
std::optional<trace> ReadTrace(const std::string& aText,
                               const std::string& aFile,
                               const std::string& aFolder,
                               std::vector<std::string>& aFaults);

} // namespace citronpulley

#endif
