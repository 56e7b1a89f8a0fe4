#ifndef CITRONPULLEY_NODE_CONTROL_LINK_H
#define CITRONPULLEY_NODE_CONTROL_LINK_H

#include "citronpulley/base/instant.h"
#include "citronpulley/node/node_actions.h"
#include "citronpulley/state/state_view.h"

#include <cstdint>
#include <map>
#include <vector>

namespace citronpulley {

/**
 * Follows the control group from an entry VM: polls one control VM, turns to the next one when it
 * does not answer, and knows until when the copy of the state counts as fresh.
 */
class control_link
{
public:
  /** Time from the sending of a poll for which its answer makes the copy fresh. */
  static constexpr microseconds kFreshnessPeriod{ 2'000'000 };
  static constexpr microseconds kPollInterval{ 400'000 };
  /** Silence after which the next control VM is asked. */
  static constexpr microseconds kReplyTimeout{ 900'000 };

  /** @param aControlVms control VMs, nearest first; at least one */
  explicit control_link(std::vector<vm_name> aControlVms);

  /** Sends a poll when one is due; it names the digest of the VMs that this VM knows. */
  void Tick(const vm_record& aSelf,
            const std::vector<zone_summary>& aHomedServers,
            const digest& aKnownVms,
            instant aNow,
            node_actions& aActions);

  /**
   * Takes a reply.
   *
   * @return true when it answers a poll of this run and its delta was applied
   */
  bool Receive(const poll_reply& aReply, instant aNow);

  /** @return true while keys may be accepted */
  bool IsFresh(instant aNow) const noexcept { return aNow < mFreshUntil; }

  /** @return copy of the replicated state */
  const state_view& GetView() const noexcept { return mView; }

  /** @return the leader if known, else the control VM that is asked at present */
  vm_name GetLeader() const;

  /** Notes who leads; an empty name means unknown. */
  void SetLeader(const vm_name& aLeader) { mLeader = aLeader; }

private:
  std::vector<vm_name> mControlVms;
  std::size_t mCurrentIndex = 0;
  vm_name mLeader;
  state_view mView;
  std::map<std::uint64_t, instant> mOutstandingPolls;
  std::uint64_t mLastPollNumber = 0;
  instant mNextPollAt;
  instant mLastReplyAt;
  instant mFreshUntil;
};

} // namespace citronpulley

#endif
