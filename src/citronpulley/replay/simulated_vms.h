#ifndef CITRONPULLEY_REPLAY_SIMULATED_VMS_H
#define CITRONPULLEY_REPLAY_SIMULATED_VMS_H

#include "citronpulley/node/entry_node.h"
#include "citronpulley/replay/control_vm_driver.h"
#include "citronpulley/replay/replay_history.h"
#include "citronpulley/replay/simulated_servers.h"
#include "citronpulley/replay/trace.h"
#include "citronpulley/replay/virtual_time_scheduler.h"

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
 * VMs of a trace with their nodes and the connections between them. It takes the endpoint of the
 * threads and sockets of a daemon.
 */
class simulated_vms
{
public:
  /** Gets the answer of a VM; nothing when the connection ended without one. */
  using answer_handler = std::function<void(std::optional<http_answer>)>;

  simulated_vms(const trace& aTrace,
                virtual_time_scheduler& aScheduler,
                simulated_servers& aServers,
                replay_history& aHistory);

  /** Starts all VMs and the announcements of all servers. */
  void Start();

  /** Applies an event of the trace that concerns VMs and connections. */
  void Apply(const trace_entry& aEvent);

  /** @return position of a VM */
  std::size_t GetPosition(const std::string& aName) const { return mPositions.at(aName); }

  /** @return true when the VM accepts connections; a frozen one does */
  bool IsUp(std::size_t aVm) const { return mVms[aVm].mState != process_state::Down; }

  /**
   * Delivers an HTTP request to a VM that is up.
   *
   * @return number by which CloseHttp() names the request
   */
  std::uint64_t DeliverHttp(std::size_t aVm,
                            http_request_received aRequest,
                            answer_handler aOnAnswer);

  /** The client of a request closed its connection. */
  void CloseHttp(std::size_t aVm, std::uint64_t aRequest);

  /** @return key of the operators of every replayed deployment */
  static std::string GetOperatorKey();

private:
  enum class process_state
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

  struct simulated_vm
  {
    trace_vm mDeclaration;
    vm_record mRecord;
    process_state mState = process_state::Down;
    /** Changes when the process ends, so that nothing of an earlier run reaches a later one. */
    std::uint64_t mProcessRun = 0;
    std::unique_ptr<entry_node> mEntry;
    std::unique_ptr<control_vm_driver> mControl;
    std::deque<node_event> mDeferredEvents;
    std::map<std::uint64_t, answer_handler> mOpenRequests;
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
  struct endpoint
  {
    bool mIsServer = false;
    std::size_t mPosition = 0;
  };

  void StartProcess(std::size_t aVm);
  void EndProcess(std::size_t aVm);
  void Tick(std::size_t aVm, std::uint64_t aProcessRun);
  void RecordVersion(std::size_t aVm);
  void Deliver(std::size_t aVm, node_event aEvent);
  void Handle(std::size_t aVm, const node_event& aEvent);
  void Execute(std::size_t aVm, node_action& aAction);
  void SendMessage(std::size_t aVm, send_peer_message aSend);
  void SendToServer(std::size_t aVm, send_to_backend aSend);
  void CancelAtServer(std::size_t aVm, std::uint64_t aDispatch);
  void FinishExchange(std::size_t aVm,
                      std::uint64_t aProcessRun,
                      std::uint64_t aDispatch,
                      backend_outcome aOutcome);
  void Announce(std::size_t aServer);
  void SendAnnouncement(std::size_t aServer, std::size_t aAttempt);
  void CloseCutConnections();
  void DeliverPeerLost(std::size_t aFrom, std::size_t aTo);
  bool IsSelectedByAny(endpoint aEndpoint, const std::vector<std::string>& aNames) const;
  bool IsCut(endpoint aFrom, endpoint aTo) const;
  microseconds GetDelay(std::size_t aFrom, std::size_t aTo) const;
  microseconds GetServerDelay(std::size_t aVm, std::size_t aServer) const;
  current_time GetTime(std::size_t aVm) const;

  const trace& mTrace;
  virtual_time_scheduler& mScheduler;
  simulated_servers& mServers;
  replay_history& mHistory;
  std::vector<simulated_vm> mVms;
  std::map<std::string, std::size_t> mPositions;
  std::map<std::string, cut> mCuts;
  /** Pairs of VMs whose connection has gone silent. */
  std::set<std::pair<std::size_t, std::size_t>> mStalledPairs;
  /** Pairs of VMs that have a connection. */
  std::set<std::pair<std::size_t, std::size_t>> mConnectedPairs;
  /** VM of its zone to which each server announces itself. */
  std::vector<std::size_t> mAnnounceTargets;
};

} // namespace citronpulley

#endif
