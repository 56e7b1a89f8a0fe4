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

/** What a fake backend server saw of one request. */
struct fake_run
{
  server_name mServer;
  std::string mInstance;
  std::string mWorkspace;
  std::string mKey;
  std::string mBody;
  /** Number of the call from the header `X-Call`. */
  std::string mCall;
  /** VM that sent the request. */
  vm_name mSender;
  /** The server refused it with `Citronpulley-Not-Run` before it ran. */
  bool mIsRefused = false;
};

/** Fake backend server. */
struct fake_server
{
  vm_name mAnnouncesTo;
  server_announcement mAnnouncement;
  microseconds mServiceTime{ 20'000 };
  bool mIsUp = true;
  bool mAnnounces = true;
  bool mRefuses = false;
  /** Body of the requests that make the server crash; empty for none. */
  std::string mPoison;
  /** Time after a crash until the server is up again with a new instance. */
  microseconds mRestartTime{ 200'000 };
  int mCrashes = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mMostRunning = 0;
  instant mAnnouncesAt;
};

/** Call of a caller. */
struct test_call
{
  vm_name mVm;
  std::string mTarget = "/svc/orders/new";
  std::string mMethod = "POST";
  std::string mBody = "body";
  std::string mIdempotencyKey;
  std::string mKey = "cpk_k1_secret1";
  int mDeadlineMilliseconds = 1'000;
};

/**
 * Entry VMs with a control VM, fake backend servers and callers in virtual time. Messages take 1 ms
 * and can be dropped or delayed.
 */
class test_fleet
{
public:
  /** @param aZones zone of each VM; VMs are named vm1, vm2, … */
  explicit test_fleet(const std::vector<std::string>& aZones);
  ~test_fleet();
  test_fleet(const test_fleet&) = delete;
  test_fleet& operator=(const test_fleet&) = delete;

  /** Adds a server of `orders` that announces itself to a VM of its zone. */
  fake_server& AddServer(const std::string& aName,
                         const std::string& aVm,
                         std::uint32_t aSlots = 4);

  /** Sends a call; its answer appears in mAnswers under the returned number. */
  std::uint64_t Call(const test_call& aCall);
  /** Closes the caller's connection. */
  void HangUp(const std::string& aVm, std::uint64_t aCall);
  /** Runs for a time in steps of 1 ms; timers tick every 5 ms. */
  void Run(int aMilliseconds);
  /** Kills a VM; the others notice the closed connections. */
  void Kill(const std::string& aVm);
  void Start(const std::string& aVm);
  /** Stops the handling of all events of a VM until Thaw(); the events wait. */
  void Freeze(const std::string& aVm);
  void Thaw(const std::string& aVm);
  /** Hands an event to a VM. */
  void Deliver(const vm_name& aVm, const node_event& aEvent);
  /** Submits the operators' text with another idempotency window. */
  void SetWindow(int aSeconds);

  /**
   * Judges the history of runs and answers: a key runs at most once, a call gets one answer at
   * most, an answer belongs to its call, and `not_run` is said only when the call did not run.
   *
   * @return the first fault, or an empty text
   */
  std::string FindFault() const;
  /** @return runs with an idempotency key that were not refused by the server */
  int CountRuns(const std::string& aKey) const;
  /** @return the `outcome` or the body of an answer: `not_run`, `unknown`, or the body */
  std::string Describe(std::uint64_t aCall) const;

  /** Drops a message, or returns the additional delay. */
  std::function<std::optional<microseconds>(const vm_name& aFrom,
                                            const vm_name& aTo,
                                            const peer_message& aMessage)>
    mOnMessage;
  instant mNow{ microseconds(1'000'000) };
  std::map<std::uint64_t, std::vector<http_answer>> mAnswers;
  std::vector<fake_run> mRuns;
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
    std::vector<node_event> mWaiting;
    instant mPolledAt;
    std::vector<zone_summary> mHomed;
  };

  struct arrival
  {
    vm_name mVm;
    incarnation mIncarnation = 0;
    node_event mEvent;
  };

  struct running
  {
    vm_name mVm;
    incarnation mIncarnation = 0;
    std::uint64_t mDispatch = 0;
    server_name mServer;
    std::string mInstance;
  };

  current_time GetTime() const;
  void Do(const vm_name& aVm, const node_actions& aActions);
  void AnswerControl(const vm_name& aSender, const peer_message& aMessage);
  void Send(const vm_name& aFrom, const vm_name& aTo, const peer_message& aMessage);
  void StartRun(const vm_name& aVm, const send_to_backend& aSend);
  void EndRun(const running& aRun, const std::string& aAnswer);
  void Crash(fake_server& aServer);
  void Announce(fake_server& aServer);
  void At(microseconds aDelay, std::function<void()> aWork);

  std::map<vm_name, vm_slot> mVms;
  std::multimap<instant, std::function<void()>> mWork;
  std::vector<running> mRunningNow;
  std::uint64_t mLastCall = 0;
  state_index mLastIndex = 0;
  std::uint64_t mLastGrant = 0;
  int mSubmissions = 0;
};

/** @return number of seeds to try: that of CI, or the one in the environment variable SEEDS */
std::uint64_t GetSeedCount(std::uint64_t aInCi);

/** @return UUID of version 7 for the present test time with a number */
std::string MakeTestKey(const test_fleet& aFleet, int aNumber, std::int64_t aAgeMilliseconds = 0);

} // namespace citronpulley

#endif
