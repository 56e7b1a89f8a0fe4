#include "citronpulley/runtime/node_runner.h"

#include "citronpulley/base/bounded_ring.h"
#include "citronpulley/base/overloaded.h"
#include "citronpulley/node/caller_request.h"
#include "citronpulley/runtime/backend_client.h"
#include "citronpulley/runtime/duty_inbox.h"
#include "citronpulley/runtime/duty_thread.h"
#include "citronpulley/runtime/http_server.h"
#include "citronpulley/runtime/peer_bus.h"
#include "citronpulley/runtime/report_sink.h"
#include "citronpulley/runtime/system_clock.h"

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
constexpr std::size_t kMaxWaitingBatches = 65'536;
constexpr std::chrono::milliseconds kTickInterval{ 5 };

} // namespace

struct node_runner::content
{
  content(const vm_settings& aSettings,
          std::string aSecret,
          incarnation aIncarnation,
          node_handler aHandle,
          batch_store aStore)
    : mSettings(aSettings)
    , mHandle(std::move(aHandle))
    , mStore(std::move(aStore))
    , mReports(aSettings.mVm.mValue)
    , mHttpThread("http")
    , mPeerThread("peer")
    , mDecisionThread("decision")
    , mDiskThread(mStore ? std::make_unique<duty_thread>("disk") : nullptr)
    , mBatches(kMaxWaitingBatches)
    , mInbox(mDecisionThread, kInboxCapacity, [this](const node_event& aEvent) { Handle(aEvent); })
    , mTimer(mDecisionThread.GetContext())
    , mSignals(mDecisionThread.GetContext(), SIGINT, SIGTERM)
    , mHttpServer(mHttpThread,
                  aSettings.mLimits,
                  { [this](http_request_received aRequest) { TakeRequest(std::move(aRequest)); },
                    [this](http_client_disconnected aGone) { Push(aGone); } })
    , mBackendClient(mHttpThread,
                     aSettings.mAddress,
                     aSettings.mLimits,
                     [this](backend_finished aFinished) { Push(std::move(aFinished)); })
    , mPeerBus(mPeerThread,
               { aSettings.mDeployment,
                 std::move(aSecret),
                 aSettings.mVm,
                 aIncarnation,
                 aSettings.mAddress,
                 aSettings.mPeerPort },
               { [this](peer_message_received aMessage) { Push(std::move(aMessage)); },
                 [this](peer_disconnected aLost) { Push(std::move(aLost)); },
                 [this](const error& aRefused) { mReports.CountRefusedFrame(aRefused); } })
  {
  }

  ~content()
  {
    mDecisionThread.Stop();
    if (mDiskThread != nullptr) {
      mDiskThread->Stop();
    }
    mHttpThread.Stop();
    mPeerThread.Stop();
  }

  content(const content&) = delete;
  content& operator=(const content&) = delete;

  void TakeRequest(http_request_received aRequest)
  {
    const std::uint64_t number = aRequest.mRequest;
    if (aRequest.mMethod == "GET" && aRequest.mTarget == "/metrics") {
      mReports.RenderMetrics([this, number](std::string aPage) {
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

  void Push(node_event aEvent)
  {
    if (!mInbox.TryPush(aEvent)) {
      mReports.Log(
        { log_level::Error, "the decision thread does not keep up; an event was dropped", "" });
    }
  }

  void Handle(const node_event& aEvent)
  {
    node_actions actions;
    mHandle(aEvent, ReadPresentTime(), actions);
    for (node_action& action : actions) {
      std::visit([this](auto& aOne) { Do(std::move(aOne)); }, action);
    }
  }

  void Do(reply_to_client aReply)
  {
    mHttpThread.Post([this, reply = std::move(aReply)]() mutable {
      mHttpServer.Reply(reply.mRequest, std::move(reply.mAnswer));
    });
  }

  void Do(send_peer_message aSend)
  {
    mPeerThread.Post(
      [this, send = std::move(aSend)] { mPeerBus.Send(send.mReceiver, send.mMessage); });
  }

  void Do(connect_peer aConnect)
  {
    mPeerThread.Post([this, connect = std::move(aConnect)] {
      mPeerBus.Connect(connect.mPeer, connect.mAddress, connect.mPeerPort);
    });
  }

  void Do(send_to_backend aSend)
  {
    const microseconds remaining = aSend.mDeadline - ReadPresentTime().mMonotonic;
    mHttpThread.Post([this, send = std::move(aSend), remaining]() mutable {
      mBackendClient.Send(std::move(send), remaining);
    });
  }

  void Do(cancel_backend_request aCancel)
  {
    mHttpThread.Post([this, aCancel] { mBackendClient.Cancel(aCancel.mDispatch); });
  }

  void Do(storage_batch aBatch)
  {
    if (!mBatches.TryPush(aBatch)) {
      FailStorage(MakeError(error_code::StorageFailed, step::Store, "", "the disk is too slow"));
      return;
    }
    if (!mIsStoring.exchange(true)) {
      mDiskThread->Post([this] { StoreWaiting(); });
    }
  }

  /** Runs on the disk thread; all batches that wait share a sync. */
  void StoreWaiting()
  {
    mIsStoring.store(false);
    std::vector<storage_batch> batches;
    while (std::optional<storage_batch> batch = mBatches.TryPop()) {
      batches.push_back(std::move(*batch));
    }
    if (batches.empty()) {
      return;
    }
    if (const status stored = mStore(batches); !stored) {
      FailStorage(stored.GetError());
      return;
    }
    Push(batch_stored{ batches.back().mNumber, false, {} });
  }

  void FailStorage(const error& aFailure)
  {
    {
      const std::lock_guard lock(mFailureMutex);
      mFailure = aFailure;
    }
    Push(batch_stored{ 0, true, aFailure.mPeer + ": " + aFailure.mMessage });
  }

  void Do(write_log aLine) { mReports.Log(std::move(aLine)); }
  void Do(record_request aRecord) { mReports.Record(std::move(aRecord)); }
  void Do(set_gauge aGauge) { mReports.Set(std::move(aGauge)); }
  void Do(stop_process /*aStop*/)
  {
    if (!mIsStopped) {
      mIsStopped = true;
      mStopped.set_value();
    }
  }

  void Tick()
  {
    mTimer.expires_after(kTickInterval);
    mTimer.async_wait([this](boost::system::error_code aFailure) {
      if (aFailure) {
        return;
      }
      Handle(timer_ticked{});
      Tick();
    });
  }

  vm_settings mSettings;
  node_handler mHandle;
  batch_store mStore;
  report_sink mReports;
  duty_thread mHttpThread;
  duty_thread mPeerThread;
  duty_thread mDecisionThread;
  /** Null on a VM that stores nothing. */
  std::unique_ptr<duty_thread> mDiskThread;
  bounded_ring<storage_batch> mBatches;
  std::atomic<bool> mIsStoring{ false };
  std::mutex mFailureMutex;
  std::optional<error> mFailure;
  duty_inbox<node_event> mInbox;
  asio::steady_timer mTimer;
  asio::signal_set mSignals;
  http_server mHttpServer;
  backend_client mBackendClient;
  peer_bus mPeerBus;
  std::promise<void> mStopped;
  bool mIsStopped = false;
};

node_runner::node_runner(const vm_settings& aSettings,
                         std::string aSecret,
                         incarnation aIncarnation,
                         node_handler aHandle,
                         batch_store aStore)
  : mContent(std::make_unique<content>(aSettings,
                                       std::move(aSecret),
                                       aIncarnation,
                                       std::move(aHandle),
                                       std::move(aStore)))
{
}

node_runner::~node_runner() = default;

status node_runner::Run()
{
  content& runner = *mContent;
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
      runner.Do(connect_peer{ vm.mVm, vm.mAddress, vm.mPeerPort });
    }
  }
  runner.mSignals.async_wait([&runner](boost::system::error_code aFailure, int /*aSignal*/) {
    if (!aFailure) {
      runner.Handle(stop_requested{});
    }
  });
  runner.mDecisionThread.Post([&runner] { runner.Tick(); });
  runner.mReports.Log(
    { log_level::Information,
      "listening on " + settings.mAddress + ":" + std::to_string(settings.mHttpPort),
      "" });
  runner.mStopped.get_future().wait();
  {
    const std::lock_guard lock(runner.mFailureMutex);
    if (runner.mFailure) {
      return *runner.mFailure;
    }
  }
  runner.mReports.Log({ log_level::Information, "stopped gracefully", "" });
  return std::monostate{};
}

result<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  if (!file) {
    return MakeError(error_code::NotFound, step::ReadSettings, aPath, "the file cannot be read");
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
                     "the secret needs " + std::to_string(aMinLength) + " characters or more");
  }
  return content;
}

} // namespace citronpulley
