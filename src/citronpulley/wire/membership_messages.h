#ifndef CITRONPULLEY_WIRE_MEMBERSHIP_MESSAGES_H
#define CITRONPULLEY_WIRE_MEMBERSHIP_MESSAGES_H

#include "citronpulley/base/identifiers.h"

#include <cstdint>
#include <vector>

/**
 * @file
 * Messages of the failure detector inside a zone and of the monitor of connections.
 */

namespace citronpulley {

/** State of a member as the failure detector spreads it. */
enum class member_condition : std::uint8_t
{
  Alive,
  Suspect,
  Dead,
};

/** News about one member; a higher incarnation overrides, then the worse condition. */
struct member_update
{
  vm_name mVm;
  incarnation mIncarnation = 0;
  /** Raised by the member itself to refute a suspicion inside one run. */
  std::uint32_t mRefutation = 0;
  member_condition mCondition = member_condition::Alive;

  friend auto operator<=>(const member_update&, const member_update&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVm, mIncarnation, mRefutation, mCondition);
  }
};

/** Direct probe. */
struct swim_ping
{
  std::uint64_t mProbe = 0;
  std::vector<member_update> mUpdates;

  friend auto operator<=>(const swim_ping&, const swim_ping&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mProbe, mUpdates);
  }
};

/** Asks another member to probe a target. */
struct swim_ping_request
{
  std::uint64_t mProbe = 0;
  vm_name mTarget;
  std::vector<member_update> mUpdates;

  friend auto operator<=>(const swim_ping_request&, const swim_ping_request&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mProbe, mTarget, mUpdates);
  }
};

/** Answer to a probe; `mTarget` is the member that is alive. */
struct swim_ack
{
  std::uint64_t mProbe = 0;
  vm_name mTarget;
  std::vector<member_update> mUpdates;

  friend auto operator<=>(const swim_ack&, const swim_ack&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mProbe, mTarget, mUpdates);
  }
};

/** Tests the connection to a peer; the peer's bus answers it. */
struct link_probe
{
  std::uint64_t mNumber = 0;

  friend auto operator<=>(const link_probe&, const link_probe&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber);
  }
};

/** Answer to a link probe. */
struct link_probe_reply
{
  std::uint64_t mNumber = 0;

  friend auto operator<=>(const link_probe_reply&, const link_probe_reply&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber);
  }
};

} // namespace citronpulley

#endif
