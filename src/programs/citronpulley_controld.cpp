#include "citronpulley/node/control_node.h"
#include "citronpulley/runtime/daemon_options.h"
#include "citronpulley/runtime/node_runner.h"
#include "citronpulley/runtime/system_clock.h"
#include "citronpulley/storage/storage.h"

#include <sodium.h>

#include <iostream>

using namespace citronpulley;

namespace {

constexpr std::size_t kMinSecretLength = 32;

std::uint64_t GenerateRandomNumber()
{
  std::uint64_t number = 0;
  while (number == 0) {
    randombytes_buf(&number, sizeof(number));
  }
  return number;
}

/** Prints an error to the standard error. @return the exit code for a failure */
int PrintError(const error& aError)
{
  std::cerr << aError.mPeer << ": " << aError.mMessage << "\n";
  return ExitFailure;
}

/**
 * Bootstraps a new control group with this VM as its first member. Fails if the data folder already
 * belongs to a group.
 */
int BootstrapGroup(member_storage& aStorage,
                   const recovered_member& aRecovered,
                   const vm_settings& aSettings)
{
  if (aRecovered.mSnapshot || !aRecovered.mEntries.empty()) {
    return PrintError(MakeError(error_code::BadRequest,
                                step::Recover,
                                aSettings.mDataFolder,
                                "the data folder already belongs to a control group"));
  }
  const status stored = aStorage.Store(
    { { 1,
        vote_record{ 1, {} },
        {},
        { MakeBootstrapEntry(GenerateRandomNumber(), aRecovered.mMember, aSettings.mVm) } } });
  if (!stored) {
    return PrintError(stored.GetError());
  }
  std::cout << "bootstrapped a new control group; start the control VMs now\n";
  return ExitSuccess;
}

int Run(const vm_settings& aSettings, bool aIsBootstrap)
{
  const result<std::string> secret = ReadSecretFile(aSettings.mSecretFile, kMinSecretLength);
  const result<std::string> operatorKey =
    ReadSecretFile(aSettings.mOperatorKeyFile, kMinSecretLength);
  for (const result<std::string>* file : { &secret, &operatorKey }) {
    if (!*file) {
      return PrintError(file->GetError());
    }
  }
  posix_file_system files;
  member_storage storage(files, aSettings.mDataFolder);
  result<recovered_member> recovered = storage.Open(member_id{ GenerateRandomNumber() });
  if (!recovered) {
    return PrintError(recovered.GetError());
  }
  if (aIsBootstrap) {
    return BootstrapGroup(storage, recovered.Get(), aSettings);
  }
  const auto selfIncarnation = static_cast<incarnation>(ReadCurrentTime().mWallClock.mMilliseconds);
  group_settings group;
  group.mSelf = aSettings.mVm;
  for (const control_vm& vm : aSettings.mControlVms) {
    group.mControlVms.push_back(vm.mVm);
  }
  control_node node(std::move(group),
                    std::move(recovered.Get()),
                    secret.Get(),
                    operatorKey.Get(),
                    { selfIncarnation, GenerateRandomNumber(), ReadCurrentTime().mMonotonic });
  node_runner runner(
    aSettings,
    secret.Get(),
    selfIncarnation,
    [&node](const node_event& aEvent, current_time aNow, node_actions& aActions) {
      node.Handle(aEvent, aNow, aActions);
    },
    [&storage](const std::vector<storage_batch>& aBatches) { return storage.Store(aBatches); });
  const status ended = runner.Run();
  return ended ? ExitSuccess : PrintError(ended.GetError());
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (sodium_init() < 0) {
    return ExitFailure;
  }
  const daemon_options options =
    ReadDaemonOptions(aCount, aArguments, "citronpulley_controld", vm_role::Control);
  return options.mSettings ? Run(*options.mSettings, options.mIsBootstrap) : options.mExitCode;
}
