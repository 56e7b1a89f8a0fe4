#include "citronpulley/gateway/http_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;
namespace asio = boost::asio;

/** Runs a listener against clients that keep connections, on loopback. */
TEST_GROUP(http_listener)
{
  asio::io_context mIo{ 1 };
  std::shared_ptr<http_session_context> mContext = std::make_shared<http_session_context>();
  std::shared_ptr<inbound_request> mOpenRequest;
  std::unique_ptr<http_listener> mListener;
  std::deque<asio::ip::tcp::socket> mClients;
  asio::ip::tcp::endpoint mAddress;

  void setup() override
  {
    mContext->mLimits = [] { return caller_limits{}; };
    mContext->mOnRequest = [this](const std::shared_ptr<inbound_request>& aRequest) {
      mOpenRequest = aRequest;
    };
    mListener = std::make_unique<http_listener>(mIo, mContext);
    // A free port, which the listener then takes.
    asio::ip::tcp::acceptor probe(mIo, { asio::ip::make_address("127.0.0.1"), 0 });
    mAddress = probe.local_endpoint();
    probe.close();
    CHECK(static_cast<bool>(mListener->Open("127.0.0.1:" + std::to_string(mAddress.port()))));
  }

  void teardown() override
  {
    mOpenRequest.reset();
    mListener.reset();
    mClients.clear();
    mContext.reset();
    mIo.poll();
  }

  void Connect()
  {
    const std::size_t count = mListener->CountSessions();
    mClients.emplace_back(mIo).connect(mAddress);
    while (mListener->CountSessions() == count) {
      mIo.run_one();
    }
  }
};

/** Guards against idle connections that leave no descriptors for callers with requests. */
TEST(http_listener, closes_the_longest_idle_connections_above_its_share)
{
  mListener->SetMaxSessions(3);
  for (int i = 0; i < 5; ++i) {
    Connect();
  }
  // The first connection is the oldest, but has a request in progress.
  asio::write(mClients.front(), asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  while (!mOpenRequest) {
    mIo.run_one();
  }
  mListener->CheckTimeouts(instant{});
  UNSIGNED_LONGS_EQUAL(3, mListener->CountSessions());
  UNSIGNED_LONGS_EQUAL(2, mListener->CountEvicted());
  UNSIGNED_LONGS_EQUAL(1, mListener->CountBusySessions());
  mListener->CheckTimeouts(instant{});
  UNSIGNED_LONGS_EQUAL(3, mListener->CountSessions());
}
