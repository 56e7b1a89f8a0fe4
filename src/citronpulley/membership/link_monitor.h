#ifndef CITRONPULLEY_MEMBERSHIP_LINK_MONITOR_H
#define CITRONPULLEY_MEMBERSHIP_LINK_MONITOR_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"

#include <cstdint>
#include <map>
#include <vector>

namespace citronpulley {

/** Actions that the caller carries out on its connections to peers. */
struct link_actions
{
  /** Probe to send: its receiver and its number, which the reply repeats. */
  struct probe
  {
    vm_name mPeer;
    std::uint64_t mNumber = 0;

    friend auto operator<=>(const probe&, const probe&) = default;
  };

  std::vector<probe> mProbes;
  /** Peers whose connection is to be closed and opened again. */
  std::vector<vm_name> mToReopen;
  /** Peers that stopped answering since the last call; each is reported once until it answers. */
  std::vector<vm_name> mLost;
  /** Peers whose connection is to be closed because it was idle for `kIdleTimeout`. */
  std::vector<vm_name> mToClose;

  friend auto operator<=>(const link_actions&, const link_actions&) = default;
};

/**
 * Detects half-open connections: both ends live, but a device between them has lost the state of
 * the connection. Each connection in use is probed, and one whose probes get no reply is reopened.
 * The reply may arrive over another connection, so that each end repairs the connection that it
 * opened itself.
 */
class link_monitor
{
public:
  static constexpr microseconds kProbeInterval{ 300'000 };
  /** Time without a reply to a probe after which a connection is reopened. */
  static constexpr microseconds kContactTimeout{ 1'000'000 };
  /** Time without a message to a peer, probes aside, after which its connection is closed. */
  static constexpr microseconds kIdleTimeout{ 60'000'000 };

  /** Records that a message other than a probe is sent to a peer; starts to monitor a new peer. */
  void RecordSent(const vm_name& aPeer, instant aNow);

  /** Records the reply to a probe. Replies to probes on an earlier connection are ignored. */
  void RecordReply(const vm_name& aPeer, std::uint64_t aNumber, instant aNow);

  /** @return probes and connection changes that are due; call it more often than probes are due */
  link_actions Tick(instant aNow);

private:
  struct link_state
  {
    instant mUsedAt;
    instant mNextProbeAt;
    /** Time of the last reply, or of the last (re)opening of the connection if that is later. */
    instant mLastContactAt;
    std::uint64_t mLastProbe = 0;
    /** Number of the first probe on the current connection. */
    std::uint64_t mFirstProbe = 1;
    bool mIsLost = false;
  };

  std::map<vm_name, link_state> mLinks;
};

} // namespace citronpulley

#endif
