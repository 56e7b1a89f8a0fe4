#include "citronpulley/gateway/backend_connector.h"

#include "citronpulley/gateway/clock.h"
#include "citronpulley/gateway/http_listener.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <netinet/in.h>
#include <utility>

namespace citronpulley {

namespace asio = boost::asio;

namespace {

/**
 * @return a socket bound to the local address with any port, so that peers see the VM's own
 * address. A failure shows in the attempt to connect.
 */
asio::ip::tcp::socket OpenSocket(asio::io_context& aIo,
                                 const asio::ip::tcp::endpoint& aPeer,
                                 const std::string& aLocalIp)
{
  asio::ip::tcp::socket socket(aIo);
  boost::system::error_code error;
  const asio::ip::address local = asio::ip::make_address(aLocalIp, error);
  if (error || local.is_v4() != aPeer.address().is_v4()) {
    return socket;
  }
  socket.open(aPeer.protocol(), error);
  // The port is chosen at connect, when the peer is known, so that it is unique for the peer only.
  const int enabled = 1;
  ::setsockopt(
    socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof(enabled));
  socket.bind({ local, 0 }, error);
  return socket;
}

} // namespace

std::shared_ptr<backend_channel> backend_connector::FindIdle(const server_name& aServer,
                                                             const std::string& aRequestId)
{
  const auto found = mChannels.find(aServer);
  if (found == mChannels.end()) {
    return nullptr;
  }
  const instant now = GetBootTime();
  // Most recently used first: its idle time is the shortest, so the server is least likely to have
  // closed it.
  for (auto position = found->second.begin(); position != found->second.end(); ++position) {
    if ((*position)->IsIdle(now) && !(*position)->MayAnswer(aRequestId)) {
      found->second.splice(found->second.begin(), found->second, position);
      return found->second.front();
    }
  }
  return nullptr;
}

std::shared_ptr<backend_channel> backend_connector::OpenChannel(const server_name& aServer,
                                                                std::function<void(bool)> aOnDone)
{
  const result<asio::ip::tcp::endpoint> endpoint = ParseEndpoint(aServer.mValue);
  if (!endpoint) {
    asio::post(mIo, [onDone = std::move(aOnDone)] { onDone(false); });
    return nullptr;
  }
  ++mOpenedCount;
  auto channel =
    std::make_shared<backend_channel>(OpenSocket(mIo, endpoint.Get(), mLocalIp), mBudget);
  mChannels[aServer].push_front(channel);
  channel->Connect(endpoint.Get(), std::move(aOnDone));
  return channel;
}

std::function<void()> backend_connector::Send(const server_name& aServer,
                                              channel_request aRequest,
                                              backend_channel::on_end aOnEnd)
{
  const auto isCancelled = std::make_shared<bool>(false);
  if (std::shared_ptr<backend_channel> idle = FindIdle(aServer, aRequest.mRequestId)) {
    idle->Reserve();
    // Posted, so that the callback never runs inside this call.
    asio::post(
      mIo, [idle, isCancelled, request = std::move(aRequest), onEnd = std::move(aOnEnd)]() mutable {
        if (*isCancelled) {
          return;
        }
        if (idle->IsClosed()) {
          onEnd(channel_end::NotSent, {});
          return;
        }
        idle->Send(std::move(request), std::move(onEnd));
      });
    return [idle, isCancelled] {
      *isCancelled = true;
      idle->Close();
    };
  }
  const auto openingChannel = std::make_shared<std::weak_ptr<backend_channel>>();
  const std::shared_ptr<backend_channel> channel = OpenChannel(
    aServer,
    [openingChannel, isCancelled, request = std::move(aRequest), onEnd = std::move(aOnEnd)](
      bool aIsConnected) mutable {
      const std::shared_ptr<backend_channel> opened = openingChannel->lock();
      if (*isCancelled) {
        return;
      }
      if (!aIsConnected || !opened) {
        onEnd(channel_end::NotSent, {});
        return;
      }
      opened->Send(std::move(request), std::move(onEnd));
    });
  *openingChannel = channel;
  return [openingChannel, isCancelled] {
    *isCancelled = true;
    if (const std::shared_ptr<backend_channel> opened = openingChannel->lock()) {
      opened->Close();
    }
  };
}

void backend_connector::Probe(const server_name& aServer, std::function<void(bool)> aOnResult)
{
  OpenChannel(aServer, std::move(aOnResult));
}

void backend_connector::CheckTimeouts(instant aNow)
{
  for (auto position = mChannels.begin(); position != mChannels.end();) {
    // Iterates over a copy, because a callback of a channel may open another one.
    const channels channelsOfServer = position->second;
    for (const std::shared_ptr<backend_channel>& channel : channelsOfServer) {
      channel->CheckTimeouts(aNow);
    }
    position->second.remove_if([](const auto& aChannel) { return aChannel->IsClosed(); });
    position = position->second.empty() ? mChannels.erase(position) : std::next(position);
  }
}

} // namespace citronpulley
