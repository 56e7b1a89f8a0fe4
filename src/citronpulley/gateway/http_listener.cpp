#include "citronpulley/gateway/http_listener.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstddef>
#include <vector>

namespace citronpulley {

namespace asio = boost::asio;

result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  boost::system::error_code error;
  const asio::ip::address address =
    asio::ip::make_address(aAddress.substr(0, std::min(colon, aAddress.size())), error);
  unsigned short port = 0;
  if (!error && colon != std::string::npos) {
    const char* end = aAddress.data() + aAddress.size();
    const auto [last, code] = std::from_chars(aAddress.data() + colon + 1, end, port);
    if (code == std::errc{} && last == end && port != 0) {
      return asio::ip::tcp::endpoint(address, port);
    }
  }
  return MakeError(
    error_code::BadRequest, step::Connect, aAddress, "expected an address of the form IP:port");
}

std::string_view GetIp(std::string_view aAddress) noexcept
{
  return aAddress.substr(0, aAddress.rfind(':'));
}

status OpenAcceptor(asio::ip::tcp::acceptor& aAcceptor, const std::string& aAddress)
{
  const result<asio::ip::tcp::endpoint> endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return endpoint.GetError();
  }
  boost::system::error_code error;
  aAcceptor.open(endpoint.Get().protocol(), error);
  if (!error) {
    aAcceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(endpoint.Get(), error);
  }
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return MakeError(error_code::Internal, step::Connect, aAddress, error.message());
  }
  return std::monostate{};
}

http_listener::http_listener(asio::io_context& aIo, std::shared_ptr<http_session_context> aContext)
  : mAcceptor(aIo)
  , mAcceptRetryTimer(aIo)
  , mContext(std::move(aContext))
{
}

status http_listener::Open(const std::string& aAddress)
{
  if (status opened = OpenAcceptor(mAcceptor, aAddress); !opened) {
    return opened;
  }
  Accept();
  return std::monostate{};
}

void http_listener::Accept()
{
  mAcceptor.async_accept(
    [this](const boost::system::error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        HandleAcceptFailure(aError.message());
        return;
      }
      mSessions.push_back(std::make_shared<http_session>(std::move(aSocket), mContext));
      mSessions.back()->Start();
      Accept();
    });
}

void http_listener::HandleAcceptFailure(const std::string& aReason)
{
  ++mFailedAccepts;
  if (mOnAcceptFailed) {
    mOnAcceptFailed(aReason);
  }
  if (EvictIdle(kEvictedAtOnce) > 0) {
    Accept();
    return;
  }
  mAcceptRetryTimer.expires_after(kAcceptRetryDelay);
  mAcceptRetryTimer.async_wait([this](const boost::system::error_code&) { Accept(); });
}

std::size_t http_listener::EvictIdle(std::size_t aCount)
{
  std::vector<std::pair<instant, http_session*>> idle;
  for (const std::shared_ptr<http_session>& session : mSessions) {
    if (session->IsIdle()) {
      idle.emplace_back(session->GetLastActivityAt(), session.get());
    }
  }
  const std::size_t count = std::min(aCount, idle.size());
  std::ranges::partial_sort(idle, idle.begin() + static_cast<std::ptrdiff_t>(count));
  for (std::size_t i = 0; i < count; ++i) {
    idle[i].second->Close();
  }
  mEvicted += count;
  return count;
}

void http_listener::CheckTimeouts(instant aNow)
{
  if (mSessions.size() > mMaxSessions) {
    EvictIdle(mSessions.size() - mMaxSessions);
  }
  for (const std::shared_ptr<http_session>& session : mSessions) {
    session->CheckTimeouts(aNow);
  }
  mSessions.remove_if(
    [](const std::shared_ptr<http_session>& aSession) { return aSession->IsClosed(); });
}

std::size_t http_listener::CountBusySessions() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mSessions, [](const auto& aSession) { return aSession->IsBusy(); }));
}

} // namespace citronpulley
