#include "citronpulley/runtime/node_runner.h"

#include "citronpulley/base/bounded_ring.h"
#include "citronpulley/base/overloaded.h"
#include "citronpulley/node/caller_request.h"
#include "citronpulley/runtime/backend_client.h"
#include "citronpulley/runtime/event_loop_thread.h"
#include "citronpulley/runtime/http_server.h"
#include "citronpulley/runtime/peer_bus.h"
#include "citronpulley/runtime/report_sink.h"
#include "citronpulley/runtime/system_clock.h"
#include "citronpulley/runtime/thread_inbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <future>
#include <mutex>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

namespace citronpulley {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kInboxCapacity = 32'768;
constexpr std::size_t kMaxPendingBatches = 65'536;
constexpr std::chrono::milliseconds kTickInterval{ 5 };

} // namespace

struct node_runner::impl
{
  impl(const vm_settings& aSettings,
       std::string aSecret,
       incarnation aIncarnation,
       node_handler aHandler,
       batch_store aBatchStore)
    : mSettings(aSettings)
    , mHandler(std::move(aHandler))
    , mBatchStore(std::move(aBatchStore))
    , mReportSink(aSettings.mVm.mValue)
    , mHttpThread("http")
    , mPeerThread("peer")
    , mDecisionThread("decision")
    , mDiskThread(mBatchStore ? std::make_unique<event_loop_thread>("disk") : nullptr)
    , mPendingBatches(kMaxPendingBatches)
    , mInbox(mDecisionThread,
             kInboxCapacity,
             [this](const node_event& aEvent) { HandleEvent(aEvent); })
    , mTimer(mDecisionThread.GetContext())
    , mSignals(mDecisionThread.GetContext(), SIGINT, SIGTERM)
    , mHttpServer(mHttpThread,
                  aSettings.mLimits,
                  { [this](http_request_received aRequest) { HandleRequest(std::move(aRequest)); },
                    [this](http_client_disconnected aDisconnected) { PushEvent(aDisconnected); } })
    , mBackendClient(mHttpThread,
                     aSettings.mAddress,
                     aSettings.mLimits,
                     [this](backend_finished aFinished) { PushEvent(std::move(aFinished)); })
    , mPeerBus(mPeerThread,
               { aSettings.mDeployment,
                 std::move(aSecret),
                 aSettings.mVm,
                 aIncarnation,
                 aSettings.mAddress,
                 aSettings.mPeerPort },
               { [this](peer_message_received aMessage) { PushEvent(std::move(aMessage)); },
                 [this](peer_disconnected aDisconnected) { PushEvent(std::move(aDisconnected)); },
                 [this](const error& aRefused) { mReportSink.CountRefusedFrame(aRefused); } })
  {
  }

  ~impl()
  {
    mDecisionThread.Stop();
    if (mDiskThread != nullptr) {
      mDiskThread->Stop();
    }
    mHttpThread.Stop();
    mPeerThread.Stop();
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void HandleRequest(http_request_received aRequest)
  {
    const std::uint64_t number = aRequest.mRequest;
    if (aRequest.mMethod == "GET" && aRequest.mTarget == "/metrics") {
      mReportSink.FormatMetrics([this, number](std::string aPage) {
        mHttpThread.Post([this, number, page = std::move(aPage)]() mutable {
          mHttpServer.Reply(number, { 200, { { "Content-Type", "text/plain" } }, std::move(page) });
        });
      });
      return;
    }
    node_event event = std::move(aRequest);
    if (!mInbox.TryPush(event)) {
      mHttpServer.Reply(
        number,
        MakeErrorAnswer(
          MakeError(error_code::Overloaded, step::ReadRequest, "", "the VM is overloaded"),
          request_outcome::NotRun));
    }
  }

  void PushEvent(node_event aEvent)
  {
    if (!mInbox.TryPush(aEvent)) {
      mReportSink.Log({ log_level::Error,
                        "the inbox of the decision thread is full with " +
                          std::to_string(kInboxCapacity) + " events; an event was dropped",
                        "" });
    }
  }

  void HandleEvent(const node_event& aEvent)
  {
    node_actions actions;
    mHandler(aEvent, ReadCurrentTime(), actions);
    for (node_action& action : actions) {
      std::visit([this](auto& aAction) { Execute(std::move(aAction)); }, action);
    }
  }

  void Execute(reply_to_client aReply)
  {
    mHttpThread.Post([this, reply = std::move(aReply)]() mutable {
      mHttpServer.Reply(reply.mRequest, std::move(reply.mAnswer));
    });
  }

  void Execute(send_peer_message aSend)
  {
    mPeerThread.Post(
      [this, send = std::move(aSend)] { mPeerBus.Send(send.mReceiver, send.mMessage); });
  }

  void Execute(connect_peer aConnect)
  {
    mPeerThread.Post([this, connect = std::move(aConnect)] {
      mPeerBus.Connect(connect.mPeer, connect.mAddress, connect.mPeerPort);
    });
  }

  void Execute(send_to_backend aSend)
  {
    const microseconds remaining = aSend.mDeadline - ReadCurrentTime().mMonotonic;
    mHttpThread.Post([this, send = std::move(aSend), remaining]() mutable {
      mBackendClient.Send(std::move(send), remaining);
    });
  }

  void Execute(cancel_backend_request aCancel)
  {
    mHttpThread.Post([this, aCancel] { mBackendClient.Cancel(aCancel.mDispatch); });
  }

  void Execute(storage_batch aBatch)
  {
    if (!mPendingBatches.TryPush(aBatch)) {
      HandleStorageFailure(
        MakeError(error_code::StorageFailed,
                  step::Store,
                  "",
                  std::to_string(kMaxPendingBatches) +
                    " storage batches are waiting, which is the limit; the disk is too slow"));
      return;
    }
    if (!mIsStoreScheduled.exchange(true)) {
      mDiskThread->Post([this] { StorePendingBatches(); });
    }
  }

  /** Stores all waiting batches with one sync; runs on the disk thread. */
  void StorePendingBatches()
  {
    mIsStoreScheduled.store(false);
    std::vector<storage_batch> batches;
    while (std::optional<storage_batch> batch = mPendingBatches.TryPop()) {
      batches.push_back(std::move(*batch));
    }
    if (batches.empty()) {
      return;
    }
    if (const status stored = mBatchStore(batches); !stored) {
      HandleStorageFailure(stored.GetError());
      return;
    }
    PushEvent(batch_stored{ batches.back().mNumber, false, {} });
  }

  void HandleStorageFailure(const error& aFailure)
  {
    {
      const std::lock_guard lock(mStorageFailureMutex);
      mStorageFailure = aFailure;
    }
    PushEvent(batch_stored{ 0, true, aFailure.mPeer + ": " + aFailure.mMessage });
  }

  void Execute(write_log aLine) { mReportSink.Log(std::move(aLine)); }
  void Execute(record_request aRecord) { mReportSink.RecordRequest(std::move(aRecord)); }
  void Execute(set_gauge aGauge) { mReportSink.SetGauge(std::move(aGauge)); }
  void Execute(stop_process /*aStop*/)
  {
    if (!mIsStopped) {
      mIsStopped = true;
      mStopPromise.set_value();
    }
  }

  void ScheduleTick()
  {
    mTimer.expires_after(kTickInterval);
    mTimer.async_wait([this](boost::system::error_code aFailure) {
      if (aFailure) {
        return;
      }
      HandleEvent(timer_ticked{});
      ScheduleTick();
    });
  }

  vm_settings mSettings;
  node_handler mHandler;
  batch_store mBatchStore;
  report_sink mReportSink;
  event_loop_thread mHttpThread;
  event_loop_thread mPeerThread;
  event_loop_thread mDecisionThread;
  /** Null if the VM has no storage. */
  std::unique_ptr<event_loop_thread> mDiskThread;
  bounded_ring<storage_batch> mPendingBatches;
  std::atomic<bool> mIsStoreScheduled{ false };
  std::mutex mStorageFailureMutex;
  std::optional<error> mStorageFailure;
  thread_inbox<node_event> mInbox;
  asio::steady_timer mTimer;
  asio::signal_set mSignals;
  http_server mHttpServer;
  backend_client mBackendClient;
  peer_bus mPeerBus;
  std::promise<void> mStopPromise;
  bool mIsStopped = false;
};

node_runner::node_runner(const vm_settings& aSettings,
                         std::string aSecret,
                         incarnation aIncarnation,
                         node_handler aHandler,
                         batch_store aBatchStore)
  : mImpl(std::make_unique<impl>(aSettings,
                                 std::move(aSecret),
                                 aIncarnation,
                                 std::move(aHandler),
                                 std::move(aBatchStore)))
{
}

node_runner::~node_runner() = default;

status node_runner::Run()
{
  impl& runner = *mImpl;
  const vm_settings& settings = runner.mSettings;
  if (status listening = runner.mPeerBus.Listen(); !listening) {
    return listening;
  }
  if (status listening = runner.mHttpServer.Listen(settings.mAddress, settings.mHttpPort);
      !listening) {
    return listening;
  }
  for (const control_vm& vm : settings.mControlVms) {
    if (vm.mVm != settings.mVm) {
      runner.Execute(connect_peer{ vm.mVm, vm.mAddress, vm.mPeerPort });
    }
  }
  runner.mSignals.async_wait([&runner](boost::system::error_code aFailure, int /*aSignal*/) {
    if (!aFailure) {
      runner.HandleEvent(stop_requested{});
    }
  });
  runner.mDecisionThread.Post([&runner] { runner.ScheduleTick(); });
  runner.mReportSink.Log(
    { log_level::Information,
      "listening on " + settings.mAddress + ":" + std::to_string(settings.mHttpPort),
      "" });
  runner.mStopPromise.get_future().wait();
  {
    const std::lock_guard lock(runner.mStorageFailureMutex);
    if (runner.mStorageFailure) {
      return *runner.mStorageFailure;
    }
  }
  runner.mReportSink.Log({ log_level::Information, "stopped gracefully", "" });
  return std::monostate{};
}

result<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  if (!file) {
    return MakeError(
      error_code::NotFound, step::ReadSettings, aPath, "the file does not exist or cannot be read");
  }
  return std::move(content).str();
}

result<std::string> ReadSecretFile(const std::string& aPath, std::size_t aMinLength)
{
  result<std::string> content = ReadFile(aPath);
  if (!content) {
    return content;
  }
  std::string& secret = content.Get();
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
    secret.pop_back();
  }
  if (secret.size() < aMinLength) {
    return MakeError(error_code::BadRequest,
                     step::ReadSettings,
                     aPath,
                     "the secret in this file has " + std::to_string(secret.size()) +
                       " characters; expected at least " + std::to_string(aMinLength));
  }
  return content;
}

} // namespace citronpulley
