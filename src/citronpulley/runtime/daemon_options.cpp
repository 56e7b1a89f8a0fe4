#include "citronpulley/runtime/daemon_options.h"

#include "citronpulley/runtime/node_runner.h"

#include <cxxopts.hpp>

#include <iostream>

namespace citronpulley {

namespace {

std::optional<vm_settings> ReadSettings(const std::string& aPath, vm_role aRole)
{
  const result<std::string> text = ReadFile(aPath);
  if (!text) {
    std::cerr << aPath << ": " << text.GetError().mMessage << "\n";
    return std::nullopt;
  }
  config_faults faults;
  std::optional<vm_settings> settings = ParseVmSettings(text.Get(), aPath, aRole, faults);
  for (const config_fault& fault : faults) {
    std::cerr << ToString(fault) << "\n";
  }
  return settings;
}

} // namespace

daemon_options ReadDaemonOptions(int aCount,
                                 const char* const* aArguments,
                                 const std::string& aName,
                                 vm_role aRole)
{
  cxxopts::Options options(aName, "Daemon of citronpulley, a global traffic steering system.");
  options.add_options()("s,settings", "settings file, in TOML", cxxopts::value<std::string>())(
    "check", "check the settings and exit")("h,help", "print this help");
  if (aRole == vm_role::Control) {
    options.add_options()("bootstrap",
                          "bootstrap a new control group in the empty data folder and exit; run it "
                          "once per deployment, on one VM");
  }
  try {
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return {};
    }
    if (parsed.count("settings") == 0) {
      std::cerr << aName << ": --settings FILE is required; see " << aName << " --help\n";
      return { std::nullopt, false, ExitUsage };
    }
    std::optional<vm_settings> settings = ReadSettings(parsed["settings"].as<std::string>(), aRole);
    if (!settings) {
      return { std::nullopt, false, ExitFailure };
    }
    if (parsed.count("check") > 0) {
      std::cout << "the settings are valid\n";
      return {};
    }
    const bool isBootstrap = aRole == vm_role::Control && parsed.count("bootstrap") > 0;
    return { std::move(settings), isBootstrap, ExitSuccess };
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << aName << ": " << failure.what() << "; see --help\n";
    return { std::nullopt, false, ExitUsage };
  }
}

} // namespace citronpulley
