#include "citronpulley/gateway/backend_connector.h"

#include "citronpulley/gateway/clock.h"
#include "citronpulley/gateway/http_listener.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace citronpulley {

namespace asio = boost::asio;

std::shared_ptr<backend_channel> backend_connector::FindIdle(const server_name& aTo)
{
  const auto found = mChannels.find(aTo);
  if (found == mChannels.end()) {
    return nullptr;
  }
  const instant now = GetBootTime();
  // The one used last comes first: it is the least likely to be closed by the other side.
  for (auto place = found->second.begin(); place != found->second.end(); ++place) {
    if ((*place)->IsIdle(now)) {
      found->second.splice(found->second.begin(), found->second, place);
      return found->second.front();
    }
  }
  return nullptr;
}

std::shared_ptr<backend_channel> backend_connector::Open(const server_name& aTo,
                                                         std::function<void(bool)> aOnDone)
{
  const result<asio::ip::tcp::endpoint> endpoint = ParseEndpoint(aTo.mValue);
  if (!endpoint) {
    asio::post(mIo, [onDone = std::move(aOnDone)] { onDone(false); });
    return nullptr;
  }
  ++mOpened;
  auto channel = std::make_shared<backend_channel>(asio::ip::tcp::socket(mIo));
  mChannels[aTo].push_front(channel);
  channel->Connect(endpoint.Get(), std::move(aOnDone));
  return channel;
}

std::function<void()> backend_connector::Send(const server_name& aTo,
                                              channel_query aQuery,
                                              backend_channel::on_end aOnEnd)
{
  const auto isCancelled = std::make_shared<bool>(false);
  if (std::shared_ptr<backend_channel> idle = FindIdle(aTo)) {
    idle->Reserve();
    // Posted, so that the callback never runs inside this call.
    asio::post(mIo,
               [idle, isCancelled, query = std::move(aQuery), onEnd = std::move(aOnEnd)]() mutable {
                 if (*isCancelled) {
                   return;
                 }
                 if (idle->IsClosed()) {
                   onEnd(channel_end::NotSent, {});
                   return;
                 }
                 idle->Send(std::move(query), std::move(onEnd));
               });
    return [idle, isCancelled] {
      *isCancelled = true;
      idle->Close();
    };
  }
  const auto holder = std::make_shared<std::weak_ptr<backend_channel>>();
  const std::shared_ptr<backend_channel> channel =
    Open(aTo,
         [holder, isCancelled, query = std::move(aQuery), onEnd = std::move(aOnEnd)](
           bool aIsConnected) mutable {
           const std::shared_ptr<backend_channel> opened = holder->lock();
           if (*isCancelled) {
             return;
           }
           if (!aIsConnected || !opened) {
             onEnd(channel_end::NotSent, {});
             return;
           }
           opened->Send(std::move(query), std::move(onEnd));
         });
  *holder = channel;
  return [holder, isCancelled] {
    *isCancelled = true;
    if (const std::shared_ptr<backend_channel> opened = holder->lock()) {
      opened->Close();
    }
  };
}

void backend_connector::Probe(const server_name& aTo, std::function<void(bool)> aOnResult)
{
  Open(aTo, std::move(aOnResult));
}

void backend_connector::CheckTime(instant aNow)
{
  for (auto place = mChannels.begin(); place != mChannels.end();) {
    // A callback of a channel may open another one.
    const channels present = place->second;
    for (const std::shared_ptr<backend_channel>& channel : present) {
      channel->CheckTime(aNow);
    }
    place->second.remove_if([](const auto& aChannel) { return aChannel->IsClosed(); });
    place = place->second.empty() ? mChannels.erase(place) : std::next(place);
  }
}

} // namespace citronpulley
