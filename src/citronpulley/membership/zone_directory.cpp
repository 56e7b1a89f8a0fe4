#include "citronpulley/membership/zone_directory.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

zone_directory::zone_directory(vm_record aSelf)
  : mSelf(std::move(aSelf))
{
}

void zone_directory::SetVms(const std::vector<vm_record>& aVms)
{
  mVms.clear();
  for (const vm_record& vm : aVms) {
    mVms.emplace(vm.mVm, vm);
  }
}

void zone_directory::Update(const vm_name& aSender, const backend_update& aUpdate, instant aNow)
{
  peer_state& peer = mPeers[aSender];
  const backend_update& known = peer.mUpdate;
  const bool isOld = aUpdate.mSenderIncarnation < known.mSenderIncarnation ||
                     (aUpdate.mSenderIncarnation == known.mSenderIncarnation &&
                      aUpdate.mSequence <= known.mSequence);
  if (isOld) {
    return;
  }
  peer.mUpdate = aUpdate;
  peer.mLastSeenAt = aNow;
  peer.mIsDisconnected = false;
}

void zone_directory::MarkDisconnected(const vm_name& aVm)
{
  const auto found = mPeers.find(aVm);
  if (found != mPeers.end()) {
    found->second.mIsDisconnected = true;
  }
}

void zone_directory::SetAlive(const vm_name& aVm, bool aIsAlive)
{
  const auto found = mPeers.find(aVm);
  if (found != mPeers.end()) {
    found->second.mIsAlive = aIsAlive;
  }
}

std::vector<vm_name> zone_directory::ListZonePeers() const
{
  std::vector<vm_name> peers;
  for (const auto& [name, vm] : mVms) {
    if (vm.mZone == mSelf.mZone && name != mSelf.mVm) {
      peers.push_back(name);
    }
  }
  return peers;
}

std::vector<vm_name> zone_directory::ListVms(const zone_name& aZone) const
{
  std::vector<vm_name> vms;
  for (const auto& [name, vm] : mVms) {
    if (vm.mZone == aZone && !vm.mIsStopping) {
      vms.push_back(name);
    }
  }
  return vms;
}

bool zone_directory::IsAlive(const vm_name& aVm, instant aNow) const noexcept
{
  if (aVm == mSelf.mVm) {
    return true;
  }
  const auto found = mPeers.find(aVm);
  return found != mPeers.end() && !found->second.mIsDisconnected && found->second.mIsAlive &&
         found->second.mLastSeenAt + kContactTimeout > aNow;
}

std::vector<located_server> zone_directory::ListServers(const service_name& aService,
                                                        instant aNow) const
{
  std::vector<located_server> servers;
  for (const auto& [name, peer] : mPeers) {
    if (!IsAlive(name, aNow)) {
      continue;
    }
    for (const homed_server& server : peer.mUpdate.mServers) {
      if (server.mService == aService && server.mAcceptsRequests) {
        servers.push_back({ name, server });
      }
    }
  }
  return servers;
}

std::optional<vm_name> zone_directory::FindHome(const server_name& aServer, instant aNow) const
{
  for (const auto& [name, peer] : mPeers) {
    if (!IsAlive(name, aNow)) {
      continue;
    }
    for (const homed_server& server : peer.mUpdate.mServers) {
      if (server.mServer == aServer) {
        return name;
      }
    }
  }
  return std::nullopt;
}

bool zone_directory::WasHomedElsewhere(const server_name& aServer,
                                       const std::string& aInstance) const noexcept
{
  for (const auto& [name, peer] : mPeers) {
    for (const homed_server& server : peer.mUpdate.mServers) {
      if (server.mServer == aServer && server.mInstance == aInstance) {
        return true;
      }
    }
  }
  return false;
}

bool zone_directory::HasSeenAllPeers() const noexcept
{
  return !mVms.empty() && std::all_of(mVms.begin(), mVms.end(), [this](const auto& aVm) {
    return aVm.second.mZone != mSelf.mZone || aVm.first == mSelf.mVm || mPeers.contains(aVm.first);
  });
}

vm_name zone_directory::ChooseHome(const server_name& aServer, instant aNow) const
{
  const std::hash<std::string> hash;
  const auto score = [&](const vm_name& aVm) { return hash(aVm.mValue + "/" + aServer.mValue); };
  vm_name best = mSelf.mVm;
  for (const auto& [name, vm] : mVms) {
    const bool isCandidate =
      vm.mZone == mSelf.mZone && !vm.mIsStopping && name != mSelf.mVm && IsAlive(name, aNow);
    if (isCandidate && score(name) > score(best)) {
      best = name;
    }
  }
  return best;
}

} // namespace citronpulley
