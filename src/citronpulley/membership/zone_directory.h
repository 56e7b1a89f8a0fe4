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
 * Directory, kept by an entry VM, of the other entry VMs of its zone and of the backend servers
 * that are homed on them. Servers and liveness come from heartbeats inside the zone only, so that
 * the directory stays current while the zone is cut off from the rest of the fleet.
 */
class zone_directory
{
public:
  /** Time since the last update of a VM after which its servers are not used. */
  static constexpr microseconds kContactTimeout{ 3'000'000 };

  /** @param aSelf this VM */
  explicit zone_directory(vm_record aSelf);

  /** Replaces the list of live VMs by that of a poll reply. VMs of other zones in it are used for
   * forwarding. */
  void SetVms(const std::vector<vm_record>& aVms);

  /**
   * Replaces the known backend servers of a VM and records contact with it. An update of an earlier
   * incarnation, or whose sequence number is not higher than the last one, is ignored.
   */
  void Update(const vm_name& aSender, const backend_update& aUpdate, instant aNow);

  /** Marks a VM whose connection closed. It counts as dead until its next update. */
  void MarkDisconnected(const vm_name& aVm);

  /** Sets the state that the failure detector reports for a VM of the zone; ignored for a VM that
   * has not sent an update yet. */
  void SetAlive(const vm_name& aVm, bool aIsAlive);

  /** @return other entry VMs of this zone on the control group's list, dead ones included */
  std::vector<vm_name> ListZonePeers() const;

  /** @return entry VMs of a zone that are not stopping, in order of their names */
  std::vector<vm_name> ListVms(const zone_name& aZone) const;

  /** @return all VMs on the control group's list */
  const std::map<vm_name, vm_record>& GetVms() const noexcept { return mVms; }

  /** @return true for this VM, and for VMs of the zone that are alive and sent a recent update */
  bool IsAlive(const vm_name& aVm, instant aNow) const noexcept;

  /** @return servers of a service that accept requests, on the other live VMs of the zone */
  std::vector<located_server> ListServers(const service_name& aService, instant aNow) const;

  /** @return the other live VM of the zone on which a server is homed; nothing if there is none */
  std::optional<vm_name> FindHome(const server_name& aServer, instant aNow) const;

  /** @return true when the last update of another VM, alive or dead, lists this run of a server */
  bool WasHomedElsewhere(const server_name& aServer, const std::string& aInstance) const noexcept;

  /**
   * @return true when the control group's list of VMs is known and each other VM of the zone on it
   * has sent at least one update to this run of the process. Only then are the home VMs of all
   * servers of the zone known.
   */
  bool HasSeenAllPeers() const noexcept;

  /**
   * Chooses the home VM of a server by rendezvous hashing, so that VMs with the same view of the
   * zone choose the same one.
   *
   * @return the chosen VM; this VM when no other live VM of the zone is known
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
