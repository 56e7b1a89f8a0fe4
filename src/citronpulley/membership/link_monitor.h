#ifndef CITRONPULLEY_MEMBERSHIP_LINK_MONITOR_H
#define CITRONPULLEY_MEMBERSHIP_LINK_MONITOR_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"

#include <cstdint>
#include <map>
#include <vector>

namespace citronpulley {

/** What the monitor wants done with the connections to peers. */
struct link_actions
{
  /** A peer and the number of the probe to send to it. */
  struct probe
  {
    vm_name mPeer;
    std::uint64_t mNumber = 0;

    friend auto operator<=>(const probe&, const probe&) = default;
  };

  std::vector<probe> mProbes;
  /** Peers whose connection is to be opened anew. */
  std::vector<vm_name> mToReopen;
  /** Peers that stopped answering since the last call. */
  std::vector<vm_name> mLost;
  /** Peers to which nothing was sent for long, and whose connection is to be closed. */
  std::vector<vm_name> mToClose;

  friend auto operator<=>(const link_actions&, const link_actions&) = default;
};

/**
 * Finds connections that have gone silent although both ends live, because something between them
 * lost track of the connection. Each connection in use is probed, and one whose probes get no reply
 * is opened anew. The reply may come over another connection, so that each end repairs the one it
 * opened.
 */
class link_monitor
{
public:
  static constexpr microseconds kProbeInterval{ 300'000 };
  /** Time without a reply to a probe from which a connection counts as silent. */
  static constexpr microseconds kContactTimeout{ 1'000'000 };
  /** Time without a message to a peer after which its connection is closed. */
  static constexpr microseconds kIdleTimeout{ 60'000'000 };

  /** Notes that a message other than a probe goes to a peer. */
  void RecordSent(const vm_name& aPeer, instant aNow);

  /** Notes the reply to a probe; a reply to a probe from before the present connection is ignored.
   */
  void RecordReply(const vm_name& aPeer, std::uint64_t aNumber, instant aNow);

  /** @return what is due at a time */
  link_actions Tick(instant aNow);

private:
  struct link_state
  {
    instant mUsedAt;
    instant mNextProbeAt;
    /** Time of the last reply, or of the opening of the connection. */
    instant mLastContactAt;
    std::uint64_t mLastProbe = 0;
    /** First probe on the present connection. */
    std::uint64_t mFirstProbe = 1;
    bool mIsLost = false;
  };

  std::map<vm_name, link_state> mLinks;
};

} // namespace citronpulley

#endif
