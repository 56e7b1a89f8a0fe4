#include "citronpulley/gateway/fleet_bus.h"

#include "citronpulley/gateway/clock.h"
#include "citronpulley/gateway/http_listener.h"

#include <utility>

namespace citronpulley {

namespace asio = boost::asio;

namespace {

/** Frames queued for a connection attempt; beyond it the oldest are dropped. */
constexpr std::size_t kMaxPendingFrames = 64;

} // namespace

fleet_bus::fleet_bus(asio::io_context& aIo,
                     on_message aOnMessage,
                     frame_connection::on_refused aOnRefused)
  : mIo(aIo)
  , mOnMessage(std::move(aOnMessage))
  , mOnRefused(std::move(aOnRefused))
  , mAcceptor(aIo)
  , mAcceptRetryTimer(aIo)
{
}

status fleet_bus::Open(const std::string& aAddress)
{
  if (status opened = OpenAcceptor(mAcceptor, aAddress); !opened) {
    return opened;
  }
  Accept();
  return std::monostate{};
}

void fleet_bus::Accept()
{
  mAcceptor.async_accept(
    [this](const boost::system::error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        mAcceptRetryTimer.expires_after(kAcceptRetryDelay);
        mAcceptRetryTimer.async_wait([this](const boost::system::error_code&) { Accept(); });
        return;
      }
      const std::shared_ptr<frame_connection> connection = MakeConnection(std::move(aSocket));
      mAccepted.push_back(connection);
      connection->Start();
      Accept();
    });
}

std::shared_ptr<frame_connection> fleet_bus::MakeConnection(asio::ip::tcp::socket aSocket)
{
  return std::make_shared<frame_connection>(
    std::move(aSocket),
    [this](const auto& aConnection, const std::string& aFrame) {
      HandleFrame(aConnection, aFrame);
    },
    [this](const std::string& aPeer, const std::string& aReason) {
      ++mRefused;
      mOnRefused(aPeer, aReason);
    });
}

void fleet_bus::Send(const vm_name& aVm, const fleet_message& aMessage)
{
  link& link = mLinks[aVm];
  if (link.mConnection && !link.mConnection->IsClosed()) {
    link.mConnection->Send(EncodeFleetMessage(aMessage));
    return;
  }
  const instant now = GetBootTime();
  if (!link.mConnecting) {
    if (now < link.mNextAttemptAt) {
      return;
    }
    Connect(aVm, link, now);
  }
  link.mPendingFrames.push_back(EncodeFleetMessage(aMessage));
  if (link.mPendingFrames.size() > kMaxPendingFrames) {
    link.mPendingFrames.pop_front();
  }
}

void fleet_bus::Connect(const vm_name& aVm, link& aLink, instant aNow)
{
  aLink.mNextAttemptAt = aNow + kRetryPause;
  aLink.mConnectDeadline = aNow + kConnectTimeout;
  const result<asio::ip::tcp::endpoint> endpoint = ParseEndpoint(aVm.mValue);
  if (!endpoint) {
    return;
  }
  const auto socket = std::make_shared<asio::ip::tcp::socket>(mIo);
  aLink.mConnecting = socket;
  socket->async_connect(endpoint.Get(),
                        [this, aVm, socket](const boost::system::error_code& aError) {
                          HandleConnected(aVm, socket, !aError);
                        });
}

void fleet_bus::HandleConnected(const vm_name& aVm,
                                const std::shared_ptr<asio::ip::tcp::socket>& aSocket,
                                bool aIsConnected)
{
  link& link = mLinks[aVm];
  if (link.mConnecting != aSocket) {
    return;
  }
  link.mConnecting.reset();
  const std::list<std::string> frames = std::exchange(link.mPendingFrames, {});
  if (!aIsConnected) {
    return;
  }
  link.mConnection = MakeConnection(std::move(*aSocket));
  link.mConnection->Start();
  for (const std::string& frame : frames) {
    link.mConnection->Send(frame);
  }
}

void fleet_bus::HandleFrame(const std::shared_ptr<frame_connection>& aConnection,
                            const std::string& aFrame)
{
  const result<fleet_message> message = DecodeFleetMessage(aFrame);
  if (!message) {
    aConnection->Refuse(message.GetError().mMessage);
    return;
  }
  mOnMessage(message.Get(), [aConnection](const fleet_message& aReply) {
    aConnection->Send(EncodeFleetMessage(aReply));
  });
}

void fleet_bus::Disconnect(const vm_name& aVm)
{
  const auto found = mLinks.find(aVm);
  if (found == mLinks.end()) {
    return;
  }
  if (found->second.mConnection) {
    std::exchange(found->second.mConnection, nullptr)->Close();
  }
}

control_contact::link_state fleet_bus::GetLinkState(const vm_name& aVm) const
{
  const auto found = mLinks.find(aVm);
  if (found == mLinks.end()) {
    return {};
  }
  const link& link = found->second;
  if (link.mConnection && !link.mConnection->IsClosed()) {
    return { true, link.mConnection->GetLastReceivedAt() };
  }
  return { link.mConnecting != nullptr, {} };
}

void fleet_bus::CheckTimeouts(instant aNow)
{
  for (auto& [vm, link] : mLinks) {
    if (link.mConnecting && link.mConnectDeadline <= aNow) {
      boost::system::error_code ignored;
      const auto socket = std::exchange(link.mConnecting, nullptr);
      socket->close(ignored);
      link.mPendingFrames.clear();
    }
    if (link.mConnection && link.mConnection->IsClosed()) {
      link.mConnection.reset();
    }
  }
  mAccepted.remove_if([](const auto& aConnection) { return aConnection->IsClosed(); });
}

} // namespace citronpulley
