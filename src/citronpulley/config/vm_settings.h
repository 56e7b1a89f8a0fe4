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

/** Control VM as listed in the settings of each daemon. */
struct control_vm
{
  vm_name mVm;
  std::string mAddress;
  std::uint16_t mPeerPort = 0;

  friend auto operator<=>(const control_vm&, const control_vm&) = default;
};

/** Limits on the connections and requests of callers and on the answers of backend servers. */
struct caller_limits
{
  std::int64_t mMaxHeaderBytes = 16LL * 1024;
  std::int64_t mMaxBodyBytes = 1024LL * 1024;
  /** Maximum size of the body of a backend server's answer, in bytes. */
  std::int64_t mMaxAnswerBytes = 8LL * 1024 * 1024;
  /** Time within which a request must have arrived completely, in milliseconds. It also limits the
   * time for sending the answer. */
  std::int64_t mReadTimeoutMilliseconds = 10'000;
  /** Time after which an idle connection is closed, in milliseconds. */
  std::int64_t mIdleTimeoutMilliseconds = 60'000;
  /** Maximum number of open connections; further ones are closed at once. */
  std::int64_t mMaxConnections = 4'096;

  friend auto operator<=>(const caller_limits&, const caller_limits&) = default;
};

/** Settings of a daemon on an entry VM or a control VM; created by ParseVmSettings() only. */
struct vm_settings
{
  std::string mDeployment;
  vm_name mVm;
  zone_name mZone;
  region_name mRegion;
  /** IPv4 address on which the process listens and from which it connects. */
  std::string mAddress;
  std::uint16_t mHttpPort = 0;
  std::uint16_t mPeerPort = 0;
  /** Path of the file with the secret of the deployment. */
  std::string mSecretFile;
  /** Path of the folder for durable state; empty on entry VMs. */
  std::string mDataFolder;
  /** Path of the file with the operator key; empty on entry VMs. */
  std::string mOperatorKeyFile;
  std::vector<control_vm> mControlVms;
  caller_limits mLimits;

  friend auto operator<=>(const vm_settings&, const vm_settings&) = default;
};

/** Role of a VM in the deployment. */
enum class vm_role
{
  Entry,
  Control,
};

/**
 * Parses and validates the settings of a daemon. Parsing continues after a fault, so that all
 * faults are reported at once.
 *
 * @param aText TOML text
 * @param aFile file name to report in faults
 * @param aRole role of the VM; a control VM needs a data folder and an operator key
 * @param aFaults all faults found are appended to it
 * @return the settings, or nothing when the text has any fault
 */
std::optional<vm_settings> ParseVmSettings(std::string_view aText,
                                           const std::string& aFile,
                                           vm_role aRole,
                                           config_faults& aFaults);

} // namespace citronpulley

#endif
