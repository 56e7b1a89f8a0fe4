#ifndef CITRONPULLEY_MEMBERSHIP_ZONE_DIRECTORY_H
#define CITRONPULLEY_MEMBERSHIP_ZONE_DIRECTORY_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/wire/poll_messages.h"
#include "citronpulley/wire/request_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronpulley {

/** Backend server of the zone with its home VM. */
struct located_server
{
  vm_name mHome;
  homed_server mServer;

  friend auto operator<=>(const located_server&, const located_server&) = default;
};

/**
 * What an entry VM knows of the other entry VMs of its zone and of the backend servers homed on
 * them. It works from heartbeats inside the zone alone, so that a zone that is cut off keeps it.
 */
class zone_directory
{
public:
  /** Age of the last update of a VM from which its servers are not used. */
  static constexpr microseconds kContactTimeout{ 3'000'000 };

  /** @param aSelf this VM */
  explicit zone_directory(vm_record aSelf);

  /** Takes the list of live VMs of a poll reply; VMs of other zones are kept for forwarding. */
  void SetVms(const std::vector<vm_record>& aVms);

  /** Takes an update; one of an earlier run or with an old sequence changes nothing. */
  void Update(const vm_name& aSender, const backend_update& aUpdate, instant aNow);

  /** Notes that the connection of a VM closed: it gets no work until its next update. */
  void MarkDisconnected(const vm_name& aVm);

  /** Takes over what the failure detector says of a VM of the zone. */
  void SetAlive(const vm_name& aVm, bool aIsAlive);

  /** @return other entry VMs of this zone that the control group named, dead ones included */
  std::vector<vm_name> ListZonePeers() const;

  /** @return entry VMs of a zone that are not stopping, in order of their names */
  std::vector<vm_name> ListVms(const zone_name& aZone) const;

  /** @return all VMs that the control group named */
  const std::map<vm_name, vm_record>& GetVms() const noexcept { return mVms; }

  /** @return true for this VM and for VMs of the zone that live and sent a recent update */
  bool IsAlive(const vm_name& aVm, instant aNow) const noexcept;

  /** @return servers of a service on the other live VMs of the zone that take work */
  std::vector<located_server> ListServers(const service_name& aService, instant aNow) const;

  /** @return the live VM of the zone on which a server is homed, or nothing */
  std::optional<vm_name> FindHome(const server_name& aServer, instant aNow) const;

  /** @return true when another VM of the zone was last known as home of this run of a server */
  bool WasHomedElsewhere(const server_name& aServer, const std::string& aInstance) const noexcept;

  /**
   * @return true when the control group's list of VMs is known and each other VM of the zone on it
   * has sent a heartbeat to this run, so that all homes of the zone are known
   */
  bool HasSeenAllPeers() const noexcept;

  /**
   * Chooses the VM that becomes the home of a server, alike on each VM with the same view of the
   * zone.
   *
   * @return the VM; this VM when it sees no other
   */
  vm_name ChooseHome(const server_name& aServer, instant aNow) const;

private:
  struct peer_state
  {
    backend_update mUpdate;
    instant mLastSeenAt;
    bool mIsDisconnected = false;
    bool mIsAlive = true;
  };

  vm_record mSelf;
  std::map<vm_name, vm_record> mVms;
  std::map<vm_name, peer_state> mPeers;
};

} // namespace citronpulley

#endif
