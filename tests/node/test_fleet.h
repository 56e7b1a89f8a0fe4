#ifndef CITRONPULLEY_TESTS_NODE_TEST_FLEET_H
#define CITRONPULLEY_TESTS_NODE_TEST_FLEET_H

#include "citronpulley/node/entry_node.h"
#include "citronpulley/state/control_state.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronpulley {

/** Request that a fake backend server received. */
struct received_request
{
  server_name mServer;
  std::string mInstance;
  std::string mWorkspace;
  std::string mIdempotencyKey;
  std::string mBody;
  /** Number of the call, from the header `X-Call`. */
  std::string mCall;
  /** VM that sent the request. */
  vm_name mSender;
  /** The server refused the request with `Citronpulley-Not-Run` and did not run it. */
  bool mIsRefused = false;
};

/** Fake backend server. */
struct fake_server
{
  /** VM to which the server sends its announcements. */
  vm_name mAnnouncementVm;
  server_announcement mAnnouncement;
  microseconds mServiceTime{ 20'000 };
  bool mIsUp = true;
  bool mIsAnnouncing = true;
  /** The server refuses all requests with `Citronpulley-Not-Run`. */
  bool mRefuses = false;
  /** Requests with this body crash the server; empty for none. */
  std::string mPoisonBody;
  /** Time from a crash until the server is up again with a new instance name. */
  microseconds mRestartTime{ 200'000 };
  int mCrashes = 0;
  std::uint32_t mRunning = 0;
  /** Largest number of requests that ran at the same time. */
  std::uint32_t mMaxRunning = 0;
  instant mNextAnnouncementAt;
};

/** HTTP request of a test's caller. */
struct test_call
{
  vm_name mVm;
  std::string mTarget = "/svc/orders/new";
  std::string mMethod = "POST";
  std::string mBody = "body";
  std::string mIdempotencyKey;
  std::string mApiKey = "cpk_k1_secret1";
  int mDeadlineMilliseconds = 1'000;
};

/**
 * Simulation, in virtual time, of entry VMs with one control VM, fake backend servers and callers.
 * Messages take 1 ms and can be dropped or delayed.
 */
class test_fleet
{
public:
  /** @param aZones zone of each VM; VMs are named vm1, vm2, … */
  explicit test_fleet(const std::vector<std::string>& aZones);
  ~test_fleet();
  test_fleet(const test_fleet&) = delete;
  test_fleet& operator=(const test_fleet&) = delete;

  /** Adds a server of the service `orders` that announces itself to a VM, in the VM's zone. */
  fake_server& AddServer(const std::string& aName,
                         const std::string& aVm,
                         std::uint32_t aSlots = 4);

  /** Sends a call. Its answer appears in mAnswers under the returned number. */
  std::uint64_t Call(const test_call& aCall);
  /** Closes the caller's connection. */
  void DisconnectCaller(const std::string& aVm, std::uint64_t aCall);
  /** Advances the time in steps of 1 ms; the timers of the VMs tick every 5 ms. */
  void Run(int aMilliseconds);
  /** Kills a VM without a graceful stop; the other VMs see their connections close. */
  void Kill(const std::string& aVm);
  /** Starts a VM with a new incarnation. */
  void Start(const std::string& aVm);
  /** Suspends a VM: its events, except timer ticks, are queued until Thaw(). */
  void Freeze(const std::string& aVm);
  void Thaw(const std::string& aVm);
  /** Lets a VM handle an event and executes its actions; ignored when the VM is not running. */
  void Deliver(const vm_name& aVm, const node_event& aEvent);
  /** Submits the configuration with another idempotency window, in seconds. */
  void SetIdempotencyWindow(int aSeconds);

  /**
   * Checks the history of runs and answers: a key runs at most once, a call gets at most one
   * answer, an answer belongs to its call, and the outcome is `not_run` only when the call did not
   * run.
   *
   * @return description of the first violation, or an empty text
   */
  std::string FindViolation() const;
  /** @return number of runs with an idempotency key, without those that a server refused */
  int CountRuns(const std::string& aKey) const;
  /**
   * @return `not_run` or `unknown` for an error, else the body of the answer; `no answer` or
   * `several answers` when there is not exactly one
   */
  std::string DescribeAnswer(std::uint64_t aCall) const;

  /** Called for each message between VMs: returns the additional delay, or nothing to drop it. */
  std::function<std::optional<microseconds>(const vm_name& aFrom,
                                            const vm_name& aTo,
                                            const peer_message& aMessage)>
    mMessageFilter;
  instant mNow{ microseconds(1'000'000) };
  std::map<std::uint64_t, std::vector<http_answer>> mAnswers;
  std::vector<received_request> mRuns;
  std::map<std::uint64_t, test_call> mCalls;
  std::map<server_name, fake_server> mServers;
  control_state mControl;

private:
  struct vm_slot
  {
    vm_record mRecord;
    std::unique_ptr<entry_node> mNode;
    incarnation mIncarnation = 0;
    bool mIsFrozen = false;
    std::vector<node_event> mPendingEvents;
    instant mPolledAt;
    std::vector<zone_summary> mHomed;
  };

  struct arrival
  {
    vm_name mVm;
    incarnation mIncarnation = 0;
    node_event mEvent;
  };

  struct running_request
  {
    vm_name mVm;
    incarnation mIncarnation = 0;
    std::uint64_t mDispatch = 0;
    server_name mServer;
    std::string mInstance;
  };

  current_time GetTime() const;
  void Execute(const vm_name& aVm, const node_actions& aActions);
  void HandleControlMessage(const vm_name& aSender, const peer_message& aMessage);
  void Send(const vm_name& aFrom, const vm_name& aTo, const peer_message& aMessage);
  void StartRun(const vm_name& aVm, const send_to_backend& aSend);
  void EndRun(const running_request& aRun, const std::string& aAnswer);
  void Crash(fake_server& aServer);
  void Announce(fake_server& aServer);
  void Schedule(microseconds aDelay, std::function<void()> aTask);

  std::map<vm_name, vm_slot> mVms;
  std::multimap<instant, std::function<void()>> mScheduledTasks;
  std::vector<running_request> mRunningNow;
  std::uint64_t mLastCall = 0;
  state_index mLastIndex = 0;
  std::uint64_t mLastGrant = 0;
  int mSubmissionCount = 0;
};

/** @return number of seeds to run: the environment variable SEEDS, or else the default of CI */
std::uint64_t GetSeedCount(std::uint64_t aDefaultCount);

/** @return idempotency key: a UUID of version 7 with the current test time, less an age, and a
 * number */
std::string MakeIdempotencyKey(const test_fleet& aFleet,
                               int aNumber,
                               std::int64_t aAgeMilliseconds = 0);

} // namespace citronpulley

#endif
