#ifndef CITRONPULLEY_ROUTING_ENTRY_VM_ORDER_H
#define CITRONPULLEY_ROUTING_ENTRY_VM_ORDER_H

#include "citronpulley/config/catalogue.h"
#include "citronpulley/wire/poll_messages.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace citronpulley {

/** Client that asks for entry VMs, and the place of the VM that answers. */
struct entry_vm_query
{
  /** IP number of the client. */
  std::string_view mClientAddress;
  /** Region nearest to the client. */
  region_name mNearestRegion;
  /** Zone of the answering VM; the first one when it lies in the nearest region. */
  zone_name mOwnZone;
};

/**
 * Orders entry VMs for a client: the nearest region first, then by latency from it. The VMs of a
 * zone, and zones at the same distance, have an order that depends only on the client's address and
 * their names. The requests of one client, and so those of a workspace with few clients, therefore
 * meet few VMs whichever VM answers.
 *
 * @param aVms healthy VMs in any order
 * @param aCatalogue text with the latencies; null before the first one
 * @param aMaxPerZone most VMs of one zone in the answer
 * @return the first VMs of each zone in order; pointers to the given records
 */
std::vector<const vm_record*> OrderEntryVms(std::span<const vm_record* const> aVms,
                                            const entry_vm_query& aQuery,
                                            const catalogue* aCatalogue,
                                            std::size_t aMaxPerZone);

} // namespace citronpulley

#endif
