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

/** Result of parsing the command line of a daemon. */
struct daemon_options
{
  /** Settings to run with; empty if the process must exit at once with `mExitCode`. */
  std::optional<vm_settings> mSettings;
  /** Bootstrap a new control group in the data folder and exit instead of running. */
  bool mIsBootstrap = false;
  /** Exit code if there are no settings. */
  int mExitCode = ExitSuccess;
};

/**
 * Parses the command line of a daemon and reads its settings file. Errors are printed to the
 * standard error.
 *
 * @param aName name of the program, for help and error messages
 * @param aRole role of the VM; only control VMs have `--bootstrap`
 * @return the settings, or the exit code after `--help`, `--check` or an error
 */
daemon_options ReadDaemonOptions(int aCount,
                                 const char* const* aArguments,
                                 const std::string& aName,
                                 vm_role aRole);

} // namespace citronpulley

#endif
