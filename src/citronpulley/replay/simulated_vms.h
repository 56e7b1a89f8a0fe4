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
 * Simulates the VMs of a trace and the connections between them in virtual time. It runs the nodes
 * in place of the threads and sockets of the daemons.
 */
class simulated_vms
{
public:
  /** Receives the answer of a VM, or nothing when the connection ended without one. */
  using answer_handler = std::function<void(std::optional<http_answer>)>;

  simulated_vms(const trace& aTrace,
                virtual_time_scheduler& aScheduler,
                simulated_servers& aServers,
                replay_history& aHistory);

  /** Starts all VMs and the periodic announcements of all servers. */
  void Start();

  /** Applies an event of the trace that concerns VMs or the connections between processes. */
  void Apply(const trace_entry& aEvent);

  /** @return position of a VM in the trace */
  std::size_t GetPosition(const std::string& aName) const { return mPositions.at(aName); }

  /** @return true when the VM accepts connections, which includes a frozen VM */
  bool IsUp(std::size_t aVm) const { return mVms[aVm].mState != process_state::Down; }

  /**
   * Delivers an HTTP request to a VM that is up.
   *
   * @return number of the request for CloseHttp()
   */
  std::uint64_t DeliverHttp(std::size_t aVm,
                            http_request_received aRequest,
                            answer_handler aOnAnswer);

  /** Closes the connection of a request from the client side; its answer is discarded. */
  void CloseHttp(std::size_t aVm, std::uint64_t aRequest);

  /** @return key with which operators authenticate in all replays */
  static std::string GetOperatorKey();

private:
  enum class process_state
  {
    Up,
    /** The process is suspended: its connections stay open, and events wait until it resumes. */
    Frozen,
    Down,
  };

  /** Request that a VM has sent to a backend server. */
  struct backend_exchange
  {
    std::size_t mServer = 0;
    /** Number of the run at the server; 0 before the request arrives or when it was refused. */
    std::uint64_t mRun = 0;
    bool mIsCancelled = false;
  };

  struct simulated_vm
  {
    trace_vm mDeclaration;
    vm_record mRecord;
    process_state mState = process_state::Down;
    /**
     * Changes when the process ends, so that no timer or message for an earlier run of the process
     * reaches a later one.
     */
    std::uint64_t mProcessRun = 0;
    std::unique_ptr<entry_node> mEntry;
    std::unique_ptr<control_vm_driver> mControl;
    /** Events that arrived while the process was frozen. */
    std::deque<node_event> mDeferredEvents;
    /** Unanswered HTTP requests by number. */
    std::map<std::uint64_t, answer_handler> mOpenRequests;
    /** Unanswered requests to backend servers by dispatch number. */
    std::map<std::uint64_t, std::shared_ptr<backend_exchange>> mExchanges;
    /** Peers whose address the node knows; messages to others are dropped. */
    std::set<vm_name> mKnownPeers;
    std::uint64_t mLastRequest = 0;
    /** Time from the end of a graceful stop to the restart; 0 for no restart. */
    microseconds mRestartAfter{ 0 };
  };

  /** Network partition from a `cut` event; the lists are selectors, see trace::ListEntryVms(). */
  struct cut
  {
    std::vector<std::string> mFrom;
    std::vector<std::string> mTo;
    bool mIsOneWay = false;
  };

  /** Process of a VM or a server, by its position in the trace. */
  struct endpoint
  {
    bool mIsServer = false;
    std::size_t mPosition = 0;
  };

  void StartProcess(std::size_t aVm);
  /** Ends a process at once. Its peers notice the closed connections after the one-way delay. */
  void EndProcess(std::size_t aVm);
  void Tick(std::size_t aVm, std::uint64_t aProcessRun);
  /** Requests the configuration version of an entry VM and records the answer. */
  void RecordVersion(std::size_t aVm);
  /** Delivers an event to a VM: later when it is frozen, and not at all when it is down. */
  void Deliver(std::size_t aVm, node_event aEvent);
  /** Passes an event to the node and executes the resulting actions. */
  void Handle(std::size_t aVm, const node_event& aEvent);
  void Execute(std::size_t aVm, node_action& aAction);
  void SendMessage(std::size_t aVm, send_peer_message aSend);
  void SendToServer(std::size_t aVm, send_to_backend aSend);
  void CancelAtServer(std::size_t aVm, std::uint64_t aDispatch);
  void FinishExchange(std::size_t aVm,
                      std::uint64_t aProcessRun,
                      std::uint64_t aDispatch,
                      backend_outcome aOutcome);
  /** Sends the announcement of a server now and at every following interval. */
  void Announce(std::size_t aServer);
  /** Sends one announcement. Without an answer of status 200 within the timeout, it is sent once
   * more, to the next entry VM of the zone. */
  void SendAnnouncement(std::size_t aServer, std::size_t aAttempt);
  /** Simulates the idle timeout: closes the connections between VMs that a cut separates. */
  void CloseCutConnections();
  /** Reports to a VM that its connection to another VM was lost. */
  void DeliverPeerDisconnected(std::size_t aFrom, std::size_t aTo);
  bool IsSelectedByAny(endpoint aEndpoint, const std::vector<std::string>& aSelectors) const;
  /** @return true when a cut blocks messages in this direction */
  bool IsCut(endpoint aFrom, endpoint aTo) const;
  microseconds GetDelay(std::size_t aFrom, std::size_t aTo) const;
  microseconds GetServerDelay(std::size_t aVm, std::size_t aServer) const;
  /** @return current time on the clocks of a VM */
  current_time GetTime(std::size_t aVm) const;

  const trace& mTrace;
  virtual_time_scheduler& mScheduler;
  simulated_servers& mServers;
  replay_history& mHistory;
  std::vector<simulated_vm> mVms;
  std::map<std::string, std::size_t> mPositions;
  std::map<std::string, cut> mCuts;
  /** Pairs of VMs whose connection is open but drops all messages, after a `silence` event. */
  std::set<std::pair<std::size_t, std::size_t>> mStalledPairs;
  /** Pairs of VMs that have a connection. */
  std::set<std::pair<std::size_t, std::size_t>> mConnectedPairs;
  /** Entry VM to which each server announces itself: an index modulo the entry VMs of its zone. */
  std::vector<std::size_t> mAnnounceTargets;
};

} // namespace citronpulley

#endif
