#ifndef CITRONPULLEY_RUNTIME_DAEMON_OPTIONS_H
#define CITRONPULLEY_RUNTIME_DAEMON_OPTIONS_H

#include "citronpulley/config/vm_settings.h"

#include <optional>
#include <string>

namespace citronpulley {

/** Exit codes of all programs. */
enum exit_code : int
{
  ExitSuccess = 0,
  ExitFailure = 1,
  ExitUsage = 2,
};

/** What a daemon learned from its command line. */
struct daemon_options
{
  /** Settings with which to run; nothing when the process is to end now. */
  std::optional<vm_settings> mSettings;
  /** Form a new group in the data folder and end, instead of running. */
  bool mIsBootstrap = false;
  /** Exit code when the process is to end now. */
  int mExitCode = ExitSuccess;
};

/**
 * Reads a daemon's command line and its settings, and prints faults to the standard error.
 *
 * @param aName name of the program
 * @param aRole part that the VM plays
 * @return settings, or the exit code after `--help`, `--check` or a fault
 */
daemon_options ReadDaemonOptions(int aCount,
                                 const char* const* aArguments,
                                 const std::string& aName,
                                 vm_role aRole);

} // namespace citronpulley

#endif
