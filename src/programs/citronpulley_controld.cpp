#include "citronpulley/node/control_node.h"
#include "citronpulley/runtime/daemon_options.h"
#include "citronpulley/runtime/node_runner.h"
#include "citronpulley/runtime/system_clock.h"

#include <sodium.h>

#include <iostream>

using namespace citronpulley;

namespace {

constexpr std::size_t kMinSecretLength = 32;

int Run(const vm_settings& aSettings)
{
  const result<std::string> secret = ReadSecretFile(aSettings.mSecretFile, kMinSecretLength);
  const result<std::string> operatorKey =
    ReadSecretFile(aSettings.mOperatorKeyFile, kMinSecretLength);
  for (const result<std::string>* file : { &secret, &operatorKey }) {
    if (!*file) {
      std::cerr << file->GetError().mPeer << ": " << file->GetError().mMessage << "\n";
      return ExitFailure;
    }
  }
  const auto run = static_cast<incarnation>(ReadPresentTime().mWallClock.mMilliseconds);
  control_node node(aSettings.mVm, secret.Get(), operatorKey.Get(), run);
  node_runner runner(aSettings,
                     secret.Get(),
                     run,
                     [&node](const node_event& aEvent, present_time aNow, node_actions& aActions) {
                       node.Handle(aEvent, aNow, aActions);
                     });
  const status ended = runner.Run();
  if (!ended) {
    std::cerr << ended.GetError().mPeer << ": " << ended.GetError().mMessage << "\n";
    return ExitFailure;
  }
  return ExitSuccess;
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (sodium_init() < 0) {
    return ExitFailure;
  }
  const daemon_options options =
    ReadDaemonOptions(aCount, aArguments, "citronpulley_controld", vm_role::Control);
  return options.mSettings ? Run(*options.mSettings) : options.mExitCode;
}
