#include "citronpulley/replay/replay.h"
#include "citronpulley/routing/routing_policy.h"
#include "citronpulley/runtime/daemon_options.h"
#include "citronpulley/runtime/node_runner.h"

#include <cxxopts.hpp>
#include <sodium.h>

#include <algorithm>
#include <filesystem>
#include <iostream>

using namespace citronpulley;

namespace {

struct replay_options
{
  std::string mFolder;
  std::string mPolicy;
  bool mIsMeasuring = false;
};

/**
 * Replays one trace and prints its measures or the differences from its expected outcomes.
 *
 * @return exit code
 */
int Replay(const std::string& aFile, const replay_options& aOptions)
{
  const result<std::string> text = ReadFile(aFile);
  if (!text) {
    std::cout << aFile << ": " << text.GetError().mMessage << "\n";
    return ExitFailure;
  }
  std::vector<std::string> faults;
  const std::optional<trace> recordedTrace = ReadTrace(text.Get(), aFile, aOptions.mFolder, faults);
  if (!recordedTrace) {
    for (const std::string& fault : faults) {
      std::cout << fault << "\n";
    }
    return ExitFailure;
  }
  const result<replay_history> history = RunTrace(*recordedTrace, aOptions.mPolicy);
  if (!history) {
    std::cout << aFile << ": " << history.GetError().mMessage << "\n";
    return ExitFailure;
  }
  if (aOptions.mIsMeasuring) {
    std::cout << MeasureHistory(*recordedTrace, history.Get()) << "\n";
    return ExitSuccess;
  }
  const check_result checkResult = CheckHistory(*recordedTrace, history.Get());
  std::cout << recordedTrace->mName << ": " << checkResult.mOutcomes << " outcomes checked, "
            << history.Get().mRequests.size() << " requests, " << history.Get().mRuns.size()
            << " runs, "
            << (checkResult.mDifferences.empty()
                  ? "no differences"
                  : std::to_string(checkResult.mDifferences.size()) + " differences")
            << "\n";
  for (const std::string& difference : checkResult.mDifferences) {
    std::cout << "  " << difference << "\n";
  }
  return checkResult.mDifferences.empty() ? ExitSuccess : ExitFailure;
}

std::vector<std::string> ListTraces(const std::filesystem::path& aFolder)
{
  std::vector<std::string> files;
  for (const auto& file : std::filesystem::directory_iterator(aFolder / "traces")) {
    if (file.path().extension() == ".jsonl") {
      const std::filesystem::path name = "traces" / file.path().filename();
      files.push_back(aFolder == "." ? name.string() : (aFolder / name).string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (sodium_init() < 0) {
    return ExitFailure;
  }
  cxxopts::Options options("citronpulley_replay", "Replays recorded traces in virtual time.");
  options.add_options()("files",
                        "trace files; default: all files in traces/",
                        cxxopts::value<std::vector<std::string>>())(
    "folder", "root folder of the repository", cxxopts::value<std::string>()->default_value("."))(
    "policy",
    "routing policy to use instead of the one in the configuration texts",
    cxxopts::value<std::string>()->default_value(""))(
    "measure", "print the five measures as JSON instead of checking outcomes")("help",
                                                                               "print this help");
  options.parse_positional({ "files" });
  options.positional_help("[FILE...]");
  try {
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return ExitSuccess;
    }
    const replay_options replayOptions{ parsed["folder"].as<std::string>(),
                                        parsed["policy"].as<std::string>(),
                                        parsed.count("measure") > 0 };
    if (!replayOptions.mPolicy.empty() &&
        routing_policy_registry::Instance().Make(replayOptions.mPolicy) == nullptr) {
      std::cerr << "--policy: unknown routing policy " << replayOptions.mPolicy << "\n";
      return ExitUsage;
    }
    const std::vector<std::string> files = parsed.count("files") > 0
                                             ? parsed["files"].as<std::vector<std::string>>()
                                             : ListTraces(replayOptions.mFolder);
    int exitCode = ExitSuccess;
    for (const std::string& file : files) {
      exitCode = std::max(exitCode, Replay(file, replayOptions));
    }
    return exitCode;
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << "\n";
    return ExitUsage;
  }
}
