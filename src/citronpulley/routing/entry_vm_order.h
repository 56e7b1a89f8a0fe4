#ifndef CITRONPULLEY_ROUTING_ENTRY_VM_ORDER_H
#define CITRONPULLEY_ROUTING_ENTRY_VM_ORDER_H

#include "citronpulley/config/catalogue.h"
#include "citronpulley/wire/poll_messages.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace citronpulley {

/** Client that requests a list of entry VMs, and the location of the VM that answers. */
struct entry_vm_query
{
  /** IP address of the client. */
  std::string_view mClientAddress;
  /** Region nearest to the client. */
  region_name mNearestRegion;
  /** Zone of the answering VM. It precedes the other zones with the same latency, so that it comes
   * first when it lies in the nearest region. */
  zone_name mOwnZone;
};

/**
 * Orders entry VMs for a client: the nearest region first, then the other regions by latency from
 * it. VMs of a zone, and zones with the same latency other than the zone of the answering VM, are
 * ordered by a rendezvous hash of the client's address and their names. The requests of one client,
 * and so those of a workspace with few clients, therefore reach only a few VMs, whichever VM
 * answers the query.
 *
 * @param aVms healthy VMs in any order
 * @param aCatalogue catalogue with the latencies; null before the first one is known
 * @param aMaxPerZone maximum number of VMs of one zone in the result
 * @return the given pointers to the first VMs of each zone, zone after zone
 */
std::vector<const vm_record*> OrderEntryVms(std::span<const vm_record* const> aVms,
                                            const entry_vm_query& aQuery,
                                            const catalogue* aCatalogue,
                                            std::size_t aMaxPerZone);

} // namespace citronpulley

#endif
