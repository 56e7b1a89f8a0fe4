#ifndef CITRONPULLEY_REPLAY_VIRTUAL_HOSTS_H
#define CITRONPULLEY_REPLAY_VIRTUAL_HOSTS_H

#include "citronpulley/node/entry_node.h"
#include "citronpulley/replay/control_vm_driver.h"
#include "citronpulley/replay/replay_history.h"
#include "citronpulley/replay/trace.h"
#include "citronpulley/replay/virtual_queue.h"
#include "citronpulley/replay/virtual_servers.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronpulley {

/**
 * VMs of a trace with their nodes and the connections between them. It takes the place of the
 * threads and sockets of a daemon.
 */
class virtual_hosts
{
public:
  /** Gets the answer of a VM; nothing when the connection ended without one. */
  using answer_handler = std::function<void(std::optional<http_answer>)>;

  virtual_hosts(const trace& aTrace,
                virtual_queue& aQueue,
                virtual_servers& aServers,
                replay_history& aHistory);

  /** Starts all VMs and the announcements of all servers. */
  void Start();

  /** Applies an event of the trace that concerns VMs and connections. */
  void Apply(const trace_entry& aEvent);

  /** @return position of a VM */
  std::size_t GetPosition(const std::string& aVm) const { return mPositions.at(aVm); }

  /** @return true when the VM accepts connections; a frozen one does */
  bool IsUp(std::size_t aHost) const { return mHosts[aHost].mState != host_state::Down; }

  /**
   * Delivers an HTTP request to a VM that is up.
   *
   * @return number by which CloseHttp() names the request
   */
  std::uint64_t DeliverHttp(std::size_t aHost,
                            http_request_received aRequest,
                            answer_handler aOnAnswer);

  /** The client of a request closed its connection. */
  void CloseHttp(std::size_t aHost, std::uint64_t aRequest);

  /** @return key of the operators of every replayed deployment */
  static std::string GetOperatorKey();

private:
  enum class host_state
  {
    Up,
    Frozen,
    Down,
  };

  struct backend_exchange
  {
    std::size_t mServer = 0;
    std::uint64_t mRun = 0;
    bool mIsCancelled = false;
  };

  struct host
  {
    trace_vm mVm;
    vm_record mRecord;
    host_state mState = host_state::Down;
    /** Changes when the process ends, so that nothing of an earlier run reaches a later one. */
    std::uint64_t mRun = 0;
    std::unique_ptr<entry_node> mEntry;
    std::unique_ptr<control_vm_driver> mControl;
    std::deque<node_event> mWaiting;
    std::map<std::uint64_t, answer_handler> mOpen;
    std::map<std::uint64_t, std::shared_ptr<backend_exchange>> mExchanges;
    std::set<vm_name> mKnownPeers;
    std::uint64_t mLastRequest = 0;
    microseconds mRestartAfter{ 0 };
  };

  struct cut
  {
    std::vector<std::string> mFrom;
    std::vector<std::string> mTo;
    bool mIsOneWay = false;
  };

  /** Place of a process: position of a VM or of a server. */
  struct place
  {
    bool mIsServer = false;
    std::size_t mPosition = 0;
  };

  void StartHost(std::size_t aHost);
  void EndHost(std::size_t aHost);
  void Tick(std::size_t aHost, std::uint64_t aRun);
  void ObserveVersion(std::size_t aHost);
  void Give(std::size_t aHost, node_event aEvent);
  void Handle(std::size_t aHost, const node_event& aEvent);
  void Do(std::size_t aHost, node_action& aAction);
  void SendMessage(std::size_t aHost, send_peer_message aSend);
  void SendToServer(std::size_t aHost, send_to_backend aSend);
  void CancelAtServer(std::size_t aHost, std::uint64_t aDispatch);
  void FinishExchange(std::size_t aHost,
                      std::uint64_t aRun,
                      std::uint64_t aDispatch,
                      backend_outcome aOutcome);
  void Announce(std::size_t aServer);
  void SendAnnouncement(std::size_t aServer, std::size_t aAttempt);
  void BreakConnections();
  void LosePeer(std::size_t aFrom, std::size_t aTo);
  bool Matches(place aPlace, const std::vector<std::string>& aNames) const;
  bool IsCut(place aFrom, place aTo) const;
  microseconds GetDelay(std::size_t aFrom, std::size_t aTo) const;
  microseconds GetServerDelay(std::size_t aHost, std::size_t aServer) const;
  current_time GetTime(std::size_t aHost) const;

  const trace& mTrace;
  virtual_queue& mQueue;
  virtual_servers& mServers;
  replay_history& mHistory;
  std::vector<host> mHosts;
  std::map<std::string, std::size_t> mPositions;
  std::map<std::string, cut> mCuts;
  /** Pairs of VMs whose connection has gone silent. */
  std::set<std::pair<std::size_t, std::size_t>> mSilent;
  /** Pairs of VMs that have a connection. */
  std::set<std::pair<std::size_t, std::size_t>> mConnected;
  /** VM of its zone to which each server announces itself. */
  std::vector<std::size_t> mAnnounceTo;
};

} // namespace citronpulley

#endif
