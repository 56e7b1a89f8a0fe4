#include "citronpulley/node/entry_node.h"
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
  if (!secret) {
    std::cerr << aSettings.mSecretFile << ": " << secret.GetError().mMessage << "\n";
    return ExitFailure;
  }
  const auto selfIncarnation = static_cast<incarnation>(ReadCurrentTime().mWallClock.mMilliseconds);
  const vm_record self{ aSettings.mVm,       selfIncarnation,
                        aSettings.mZone,     aSettings.mRegion,
                        aSettings.mAddress,  aSettings.mHttpPort,
                        aSettings.mPeerPort, false };
  std::vector<vm_name> controlVms;
  for (const control_vm& vm : aSettings.mControlVms) {
    controlVms.push_back(vm.mVm);
  }
  std::uint64_t seed = 0;
  randombytes_buf(&seed, sizeof seed);
  entry_node node(self, controlVms, secret.Get(), seed);
  node_runner runner(aSettings,
                     secret.Get(),
                     selfIncarnation,
                     [&node](const node_event& aEvent, current_time aNow, node_actions& aActions) {
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
    ReadDaemonOptions(aCount, aArguments, "citronpulley_entryd", vm_role::Entry);
  return options.mSettings ? Run(*options.mSettings) : options.mExitCode;
}
