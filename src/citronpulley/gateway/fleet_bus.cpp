#include "citronpulley/gateway/fleet_bus.h"

#include "citronpulley/gateway/clock.h"
#include "citronpulley/gateway/http_listener.h"

#include <utility>

namespace citronpulley {

namespace asio = boost::asio;

namespace {

/** Frames that wait for a connection. */
constexpr std::size_t kMaxWaitingFrames = 64;

} // namespace

fleet_bus::fleet_bus(asio::io_context& aIo, on_message aOnMessage)
  : mIo(aIo)
  , mOnMessage(std::move(aOnMessage))
  , mAcceptor(aIo)
  , mPause(aIo)
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
        mPause.expires_after(kAcceptPause);
        mPause.async_wait([this](const boost::system::error_code&) { Accept(); });
        return;
      }
      auto connection = std::make_shared<frame_connection>(
        std::move(aSocket),
        [this](const auto& aConnection, const std::string& aFrame) {
          TakeFrame(aConnection, aFrame);
        },
        [] {});
      mAccepted.push_back(connection);
      connection->Start();
      Accept();
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
    if (now < link.mNextTryAt) {
      return;
    }
    Connect(aVm, link, now);
  }
  link.mFrames.push_back(EncodeFleetMessage(aMessage));
  if (link.mFrames.size() > kMaxWaitingFrames) {
    link.mFrames.pop_front();
  }
}

void fleet_bus::Connect(const vm_name& aVm, link& aLink, instant aNow)
{
  aLink.mNextTryAt = aNow + kRetryPause;
  aLink.mConnectUntil = aNow + kConnectTimeout;
  const result<asio::ip::tcp::endpoint> endpoint = ParseEndpoint(aVm.mValue);
  if (!endpoint) {
    return;
  }
  const auto socket = std::make_shared<asio::ip::tcp::socket>(mIo);
  aLink.mConnecting = socket;
  socket->async_connect(endpoint.Get(),
                        [this, aVm, socket](const boost::system::error_code& aError) {
                          TakeConnected(aVm, socket, !aError);
                        });
}

void fleet_bus::TakeConnected(const vm_name& aVm,
                              const std::shared_ptr<asio::ip::tcp::socket>& aSocket,
                              bool aIsConnected)
{
  link& link = mLinks[aVm];
  if (link.mConnecting != aSocket) {
    return;
  }
  link.mConnecting.reset();
  const std::list<std::string> frames = std::exchange(link.mFrames, {});
  if (!aIsConnected) {
    return;
  }
  link.mConnection = std::make_shared<frame_connection>(
    std::move(*aSocket),
    [this](const auto& aConnection, const std::string& aFrame) { TakeFrame(aConnection, aFrame); },
    [] {});
  link.mConnection->Start();
  for (const std::string& frame : frames) {
    link.mConnection->Send(frame);
  }
}

void fleet_bus::TakeFrame(const std::shared_ptr<frame_connection>& aConnection,
                          const std::string& aFrame)
{
  const result<fleet_message> message = DecodeFleetMessage(aFrame);
  if (!message) {
    aConnection->Close();
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

void fleet_bus::CheckTime(instant aNow)
{
  for (auto& [vm, link] : mLinks) {
    if (link.mConnecting && link.mConnectUntil <= aNow) {
      boost::system::error_code ignored;
      const auto socket = std::exchange(link.mConnecting, nullptr);
      socket->close(ignored);
      link.mFrames.clear();
    }
    if (link.mConnection && link.mConnection->IsClosed()) {
      link.mConnection.reset();
    }
  }
  mAccepted.remove_if([](const auto& aConnection) { return aConnection->IsClosed(); });
}

} // namespace citronpulley
