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
 * Keeps an entry VM's copy of the replicated state up to date: polls one control VM, switches to
 * the next one when it does not reply, and determines until when the copy counts as fresh.
 */
class control_link
{
public:
  /**
   * Time for which a reply keeps the copy fresh. It counts from the sending of the poll, because
   * the reply only guarantees that the copy holds what was committed before the poll was sent.
   */
  static constexpr microseconds kFreshnessPeriod{ 2'000'000 };
  static constexpr microseconds kPollInterval{ 400'000 };
  /** Time without a reply after which the next control VM is polled. */
  static constexpr microseconds kReplyTimeout{ 900'000 };

  /** @param aControlVms control VMs, nearest first; at least one */
  explicit control_link(std::vector<vm_name> aControlVms);

  /**
   * Sends a poll when one is due.
   *
   * @param aSelf record of this VM
   * @param aHomedServers capacity and load of the backend servers whose home VM this is
   * @param aKnownVms digest of the list of live VMs that was received last; the control VM leaves
   *        an unchanged list out of its reply
   * @param aNow current time
   * @param aActions receives the message
   */
  void Tick(const vm_record& aSelf,
            const std::vector<zone_summary>& aHomedServers,
            const digest& aKnownVms,
            instant aNow,
            node_actions& aActions);

  /**
   * Applies the state delta of a poll reply, extends the freshness and updates the leader.
   *
   * @return false when the reply belongs to no outstanding poll of this run or its delta cannot be
   *         applied; the copy and its freshness then stay as they were
   */
  bool Receive(const poll_reply& aReply, instant aNow);

  /** @return true while the copy is recent enough to accept callers' keys */
  bool IsFresh(instant aNow) const noexcept { return aNow < mFreshUntil; }

  /** @return copy of the replicated state */
  const state_view& GetView() const noexcept { return mView; }

  /** @return the leader of the control group if known, otherwise the control VM that is polled */
  vm_name GetLeader() const;

  /** Sets the leader of the control group; an empty name means that it is unknown. */
  void SetLeader(const vm_name& aLeader) { mLeader = aLeader; }

private:
  std::vector<vm_name> mControlVms;
  /** Index of the control VM that is polled. */
  std::size_t mCurrentIndex = 0;
  vm_name mLeader;
  state_view mView;
  /** Time of sending by poll number. */
  std::map<std::uint64_t, instant> mOutstandingPolls;
  std::uint64_t mLastPollNumber = 0;
  instant mNextPollAt;
  /** Time of the last reply, or start of the wait for the first one of a control VM. */
  instant mLastReplyAt;
  instant mFreshUntil;
};

} // namespace citronpulley

#endif
