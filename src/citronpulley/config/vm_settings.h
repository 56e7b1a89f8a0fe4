#ifndef CITRONPULLEY_CONFIG_VM_SETTINGS_H
#define CITRONPULLEY_CONFIG_VM_SETTINGS_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/config/config_fault.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/** Control VM as the settings of every process name it. */
struct control_vm
{
  vm_name mVm;
  std::string mAddress;
  std::uint16_t mPeerPort = 0;

  friend auto operator<=>(const control_vm&, const control_vm&) = default;
};

/** Limits on what a caller may send. */
struct caller_limits
{
  std::int64_t mMaxHeaderBytes = 16LL * 1024;
  std::int64_t mMaxBodyBytes = 1024LL * 1024;
  std::int64_t mMaxAnswerBytes = 8LL * 1024 * 1024;
  /** Time in which a request must have arrived whole, in milliseconds. */
  std::int64_t mReadTimeoutMilliseconds = 10'000;
  /** Time after which a connection without a request is closed, in milliseconds. */
  std::int64_t mIdleTimeoutMilliseconds = 60'000;
  std::int64_t mMaxConnections = 4'096;

  friend auto operator<=>(const caller_limits&, const caller_limits&) = default;
};

/** Settings of a daemon on an entry VM or on a control VM; made by ParseVmSettings() alone. */
struct vm_settings
{
  std::string mDeployment;
  vm_name mVm;
  zone_name mZone;
  region_name mRegion;
  /** IP number on which the process listens and from which it connects. */
  std::string mAddress;
  std::uint16_t mHttpPort = 0;
  std::uint16_t mPeerPort = 0;
  /** File with the secret of the deployment. */
  std::string mSecretFile;
  /** Folder for durable state; empty on entry VMs. */
  std::string mDataFolder;
  /** File with the key of the operators; empty on entry VMs. */
  std::string mOperatorKeyFile;
  std::vector<control_vm> mControlVms;
  caller_limits mLimits;

  friend auto operator<=>(const vm_settings&, const vm_settings&) = default;
};

/** Part that a VM plays. */
enum class vm_role
{
  Entry,
  Control,
};

/**
 * Parses and checks the settings of a daemon as a whole.
 *
 * @param aText TOML text
 * @param aFile name of the file for the faults
 * @param aRole part that the VM plays; a control VM needs a data folder and an operator key
 * @param aFaults gets every fault
 * @return the settings, or nothing when there is any fault
 */
std::optional<vm_settings> ParseVmSettings(std::string_view aText,
                                           const std::string& aFile,
                                           vm_role aRole,
                                           config_faults& aFaults);

} // namespace citronpulley

#endif
