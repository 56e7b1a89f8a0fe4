#include "citronpulley/runtime/peer_bus.h"

#include "citronpulley/base/overloaded.h"
#include "citronpulley/membership/link_monitor.h"
#include "citronpulley/runtime/event_loop_thread.h"
#include "citronpulley/runtime/system_clock.h"
#include "citronpulley/runtime/thread_inbox.h"
#include "citronpulley/wire/peer_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <charconv>
#include <deque>
#include <map>
#include <utility>

namespace citronpulley {

namespace {

constexpr std::size_t kInboxCapacity = 65'536;
constexpr int kSendBufferMessages = 1'024;
constexpr std::size_t kMaxClosedLinks = 256;
constexpr std::size_t kMaxFrameBytes = 16UL * 1024 * 1024;
constexpr std::chrono::milliseconds kLinkCheckInterval{ 100 };
constexpr nng_duration kMinReconnectMilliseconds = 50;
constexpr nng_duration kMaxReconnectMilliseconds = 500;

error MakeNngError(int aCode, const std::string& aPeer)
{
  return MakeError(error_code::Internal, step::Connect, aPeer, nng_strerror(aCode));
}

} // namespace

struct peer_bus::impl
{
  struct peer_address
  {
    std::string mAddress;
    std::uint16_t mPort = 0;
  };

  struct peer_link
  {
    std::string mUrl;
    nng_socket mSocket{};
    impl* mBus = nullptr;
    vm_name mPeer;
  };

  impl(event_loop_thread& aThread, const peer_identity& aIdentity, handlers aHandlers)
    : mThread(aThread)
    , mSession(aIdentity.mDeployment,
               aIdentity.mSecret,
               aIdentity.mVm,
               aIdentity.mIncarnation,
               aIdentity.mAddress + ":" + std::to_string(aIdentity.mPort))
    , mHandlers(std::move(aHandlers))
    , mLocalAddress(aIdentity.mAddress)
    , mLocalPort(aIdentity.mPort)
    , mFrameInbox(aThread, kInboxCapacity, [this](const std::string& aFrame) {
      HandleFrame(aFrame);
    })
  {
  }

  ~impl()
  {
    if (mReceiveAio != nullptr) {
      nng_aio_stop(mReceiveAio);
    }
    if (mIsListening) {
      nng_close(mPullSocket);
    }
    for (auto& [peer, link] : mLinks) {
      nng_close(link->mSocket);
    }
    if (mReceiveAio != nullptr) {
      nng_aio_free(mReceiveAio);
    }
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void Connect(const vm_name& aPeer, const std::string& aAddress, std::uint16_t aPort);

  void HandleFrame(const std::string& aFrame)
  {
    result<received_frame> frame = mSession.Open(aFrame);
    if (!frame) {
      mHandlers.mOnRefused(frame.GetError());
      return;
    }
    ConnectToSender(frame.Get());
    for (const outgoing_frame& reply : frame.Get().mReplies) {
      SendFrame(reply);
    }
    if (!frame.Get().mPayload) {
      return;
    }
    result<peer_message> message = DecodeMessage(*frame.Get().mPayload);
    if (!message) {
      mHandlers.mOnRefused(message.GetError());
      return;
    }
    const vm_name& sender = frame.Get().mSender;
    if (const auto* probe = std::get_if<link_probe>(&message.Get())) {
      Send(sender, link_probe_reply{ probe->mNumber });
    } else if (const auto* reply = std::get_if<link_probe_reply>(&message.Get())) {
      mLinkMonitor.RecordReply(sender, reply->mNumber, ReadCurrentTime().mMonotonic);
    } else {
      mHandlers.mOnMessage({ sender, std::move(message.Get()) });
    }
  }

  void Send(const vm_name& aPeer, const peer_message& aMessage)
  {
    const std::optional<outgoing_frame> frame =
      mSession.Seal(aPeer, EncodeMessage(aMessage), ReadCurrentTime().mMonotonic);
    if (frame) {
      SendFrame(*frame);
    }
  }

  /**
   * Schedules the next check of the connections, which probes those in use, reopens those whose
   * probes get no reply and closes idle ones.
   */
  void ScheduleLinkCheck()
  {
    mTimer.expires_after(kLinkCheckInterval);
    mTimer.async_wait([this](boost::system::error_code aFailure) {
      if (aFailure) {
        return;
      }
      const link_actions actions = mLinkMonitor.Tick(ReadCurrentTime().mMonotonic);
      for (const vm_name& peer : actions.mToReopen) {
        Reconnect(peer);
      }
      for (const vm_name& peer : actions.mLost) {
        mHandlers.mOnDisconnected({ peer });
      }
      for (const vm_name& peer : actions.mToClose) {
        Disconnect(peer);
      }
      for (const link_actions::probe& probe : actions.mProbes) {
        Send(probe.mPeer, link_probe{ probe.mNumber });
      }
      ScheduleLinkCheck();
    });
  }

  void Reconnect(const vm_name& aPeer)
  {
    const auto known = mAddresses.find(aPeer);
    if (known != mAddresses.end()) {
      Disconnect(aPeer);
      Connect(aPeer, known->second.mAddress, known->second.mPort);
    }
  }

  void Disconnect(const vm_name& aPeer)
  {
    const auto found = mLinks.find(aPeer);
    if (found == mLinks.end()) {
      return;
    }
    nng_pipe_notify(found->second->mSocket, NNG_PIPE_EV_REM_POST, nullptr, nullptr);
    nng_close(found->second->mSocket);
    // The link outlives its socket because a callback may still be running on a thread of nng.
    mClosedLinks.push_back(std::move(found->second));
    if (mClosedLinks.size() > kMaxClosedLinks) {
      mClosedLinks.pop_front();
    }
    mLinks.erase(found);
  }

  /** Connects to the sender of a hello, at the address in the hello, if there is no connection. */
  void ConnectToSender(const received_frame& aFrame)
  {
    const std::string& address = aFrame.mSenderAddress;
    const std::size_t colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string::npos || mLinks.contains(aFrame.mSender)) {
      return;
    }
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    Connect(aFrame.mSender, address.substr(0, colon), port);
  }

  void SendFrame(const outgoing_frame& aFrame)
  {
    const auto found = mLinks.find(aFrame.mReceiver);
    if (found == mLinks.end()) {
      return;
    }
    // Without NNG_FLAG_ALLOC, nng copies the bytes and does not take ownership of them.
    nng_send(
      found->second->mSocket,
      const_cast<char*>(aFrame.mBytes.data()), // NOLINT(cppcoreguidelines-pro-type-const-cast)
      aFrame.mBytes.size(),
      NNG_FLAG_NONBLOCK);
  }

  /** Queues a received frame; runs on a thread of nng. */
  static void HandleReceived(void* aBus)
  {
    auto& bus = *static_cast<impl*>(aBus);
    if (nng_aio_result(bus.mReceiveAio) != 0) {
      return;
    }
    nng_msg* message = nng_aio_get_msg(bus.mReceiveAio);
    std::string frame(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
    nng_msg_free(message);
    // If the inbox is full, the frame is dropped: protocols must handle lost frames anyway.
    bus.mFrameInbox.TryPush(frame);
    nng_recv_aio(bus.mPullSocket, bus.mReceiveAio);
  }

  /** Reports that the connection to a peer was closed; runs on a thread of nng. */
  static void HandleClosed(nng_pipe /*aPipe*/, nng_pipe_ev /*aEvent*/, void* aLink)
  {
    const auto& link = *static_cast<const peer_link*>(aLink);
    impl& bus = *link.mBus;
    bus.mThread.Post([&bus, peer = link.mPeer] { bus.mHandlers.mOnDisconnected({ peer }); });
  }

  event_loop_thread& mThread;
  boost::asio::steady_timer mTimer{ mThread.GetContext() };
  link_monitor mLinkMonitor;
  peer_session mSession;
  handlers mHandlers;
  std::string mLocalAddress;
  std::uint16_t mLocalPort;
  thread_inbox<std::string> mFrameInbox;
  nng_socket mPullSocket{};
  nng_aio* mReceiveAio = nullptr;
  bool mIsListening = false;
  std::map<vm_name, peer_address> mAddresses;
  std::map<vm_name, std::unique_ptr<peer_link>> mLinks;
  std::deque<std::unique_ptr<peer_link>> mClosedLinks;
};

void peer_bus::impl::Connect(const vm_name& aPeer, const std::string& aAddress, std::uint16_t aPort)
{
  const std::string url = "tcp://" + mLocalAddress + ";" + aAddress + ":" + std::to_string(aPort);
  std::unique_ptr<peer_link>& link = mLinks[aPeer];
  if (link != nullptr && link->mUrl == url) {
    return;
  }
  if (link != nullptr) {
    Disconnect(aPeer);
    Connect(aPeer, aAddress, aPort);
    return;
  }
  mAddresses.insert_or_assign(aPeer, peer_address{ aAddress, aPort });
  link = std::make_unique<peer_link>();
  link->mUrl = url;
  link->mBus = this;
  link->mPeer = aPeer;
  if (const int code = nng_push0_open(&link->mSocket); code != 0) {
    mHandlers.mOnRefused(MakeNngError(code, aPeer.mValue));
    mLinks.erase(aPeer);
    return;
  }
  nng_socket_set_int(link->mSocket, NNG_OPT_SENDBUF, kSendBufferMessages);
  nng_socket_set_ms(link->mSocket, NNG_OPT_RECONNMINT, kMinReconnectMilliseconds);
  nng_socket_set_ms(link->mSocket, NNG_OPT_RECONNMAXT, kMaxReconnectMilliseconds);
  nng_pipe_notify(link->mSocket, NNG_PIPE_EV_REM_POST, &HandleClosed, link.get());
  if (const int code = nng_dial(link->mSocket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
      code != 0) {
    mHandlers.mOnRefused(MakeNngError(code, aPeer.mValue));
  }
}

peer_bus::peer_bus(event_loop_thread& aThread, const peer_identity& aIdentity, handlers aHandlers)
  : mImpl(std::make_shared<impl>(aThread, aIdentity, std::move(aHandlers)))
{
}

peer_bus::~peer_bus() = default;

status peer_bus::Listen()
{
  impl& bus = *mImpl;
  const std::string url = "tcp://" + bus.mLocalAddress + ":" + std::to_string(bus.mLocalPort);
  int code = nng_pull0_open(&bus.mPullSocket);
  if (code != 0) {
    return MakeNngError(code, url);
  }
  bus.mIsListening = true;
  nng_socket_set_size(bus.mPullSocket, NNG_OPT_RECVMAXSZ, kMaxFrameBytes);
  code = nng_listen(bus.mPullSocket, url.c_str(), nullptr, 0);
  if (code != 0) {
    return MakeNngError(code, url);
  }
  code = nng_aio_alloc(&bus.mReceiveAio, &impl::HandleReceived, &bus);
  if (code != 0) {
    return MakeNngError(code, url);
  }
  nng_recv_aio(bus.mPullSocket, bus.mReceiveAio);
  bus.mThread.Post([&bus] { bus.ScheduleLinkCheck(); });
  return std::monostate{};
}

void peer_bus::Connect(const vm_name& aPeer, const std::string& aAddress, std::uint16_t aPort)
{
  mImpl->Connect(aPeer, aAddress, aPort);
}

void peer_bus::Send(const vm_name& aPeer, const peer_message& aMessage)
{
  mImpl->mLinkMonitor.RecordSent(aPeer, ReadCurrentTime().mMonotonic);
  if (!mImpl->mLinks.contains(aPeer)) {
    // The connection was closed because it was idle.
    mImpl->Reconnect(aPeer);
  }
  mImpl->Send(aPeer, aMessage);
}

} // namespace citronpulley
