#ifndef CITRONPULLEY_WIRE_MEMBERSHIP_MESSAGES_H
#define CITRONPULLEY_WIRE_MEMBERSHIP_MESSAGES_H

#include "citronpulley/base/identifiers.h"

#include <cstdint>
#include <vector>

/**
 * @file
 * Messages of the SWIM failure detector, which runs inside a zone, and of the link monitor.
 */

namespace citronpulley {

/** State of a member as disseminated by the failure detector. */
enum class member_condition : std::uint8_t
{
  Alive,
  Suspect,
  Dead,
};

/**
 * State update about one member. Of two updates, the one with the higher incarnation wins, then the
 * one with the higher refutation number, then the one with the worse condition.
 */
struct member_update
{
  vm_name mVm;
  incarnation mIncarnation = 0;
  /** Increased by the member itself to refute a suspicion without a restart. */
  std::uint32_t mRefutation = 0;
  member_condition mCondition = member_condition::Alive;

  friend auto operator<=>(const member_update&, const member_update&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVm, mIncarnation, mRefutation, mCondition);
  }
};

/** Direct probe of a member. */
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

/** Asks another member to probe a target on behalf of the sender (indirect probe). */
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

/** Reply to a direct or indirect probe; `mTarget` is the member that was found alive. */
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

/** Tests the connection to a peer. The `peer_bus` of the receiver replies without involving the
 * node. */
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

/** Reply to a `link_probe`. */
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
