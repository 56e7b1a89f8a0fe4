#include "citronpulley/gateway/http_session.h"
#include "citronpulley/gateway/memory_budget.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kBudgetBytes = 400'000;

} // namespace

/** Runs the server side of a connection against scripted bytes of a caller, on loopback. */
TEST_GROUP(http_session)
{
  std::unique_ptr<asio::io_context> mIo;
  std::shared_ptr<memory_budget> mBudget;
  std::shared_ptr<http_session_context> mContext;
  std::shared_ptr<http_session> mSession;
  std::unique_ptr<asio::ip::tcp::socket> mCaller;
  std::array<char, 4'096> mInput{};
  std::string mReceived;
  int mRequests = 0;

  void setup() override
  {
    mIo = std::make_unique<asio::io_context>(1);
    mBudget = std::make_shared<memory_budget>(kBudgetBytes);
    mContext = std::make_shared<http_session_context>();
    mContext->mLimits = [] { return caller_limits{}; };
    mContext->mBudget = mBudget;
    mContext->mOnRequest = [this](const std::shared_ptr<inbound_request>& aRequest) {
      ++mRequests;
      aRequest->Respond(MakeResponse(200, aRequest->mMessage.mBody));
    };
    asio::ip::tcp::acceptor acceptor(*mIo, { asio::ip::make_address("127.0.0.1"), 0 });
    mCaller = std::make_unique<asio::ip::tcp::socket>(*mIo);
    mCaller->connect(acceptor.local_endpoint());
    mSession = std::make_shared<http_session>(acceptor.accept(), mContext);
    mSession->Start();
  }

  void teardown() override
  {
    mSession->Close();
    mCaller->close();
    mIo->run();
    mSession.reset();
    mCaller.reset();
    mContext.reset();
    mBudget.reset();
    mIo.reset();
    mReceived = {};
  }

  void Read()
  {
    mCaller->async_read_some(asio::buffer(mInput),
                             [this](const boost::system::error_code& aError, std::size_t aCount) {
                               mReceived.append(mInput.data(), aCount);
                               if (!aError) {
                                 Read();
                               }
                             });
  }

  /** Sends bytes and runs until the response is complete up to `aEnd`. */
  void Exchange(const std::string& aBytes, const std::string& aEnd)
  {
    asio::async_write(
      *mCaller, asio::buffer(aBytes), [](const boost::system::error_code&, std::size_t) {});
    Read();
    while (mReceived.find(aEnd) == std::string::npos) {
      mIo->run_one();
    }
  }
};

TEST(http_session, returns_the_memory_of_a_request_and_its_response)
{
  Exchange("POST / HTTP/1.1\r\nContent-Length: 40000\r\n\r\n" + std::string(39'999, 'x') + "y",
           "xy");
  LONGS_EQUAL(1, mRequests);
  STRNCMP_EQUAL("HTTP/1.1 200", mReceived.c_str(), 12);
  mSession->Close();
  while (mBudget->GetUsedBytes() > 0 && mIo->run_one() > 0) {
  }
  UNSIGNED_LONGS_EQUAL(0, mBudget->GetUsedBytes());
}

/** Guards against one upload, within the operator's limit, that exceeds the memory of the VM. */
TEST(http_session, refuses_a_request_that_exceeds_the_share_of_one_message)
{
  Exchange("POST / HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + std::string(60'000, 'x'),
           "\r\n\r\n");
  STRNCMP_EQUAL("HTTP/1.1 413", mReceived.c_str(), 12);
  LONGS_EQUAL(0, mRequests);
  CHECK(mBudget->GetUsedBytes() < mBudget->GetMaxMessageBytes());
}

/** Guards against uploads that together exceed the memory of the VM. */
TEST(http_session, asks_a_caller_to_return_when_memory_is_taken)
{
  memory_reservation others(mBudget);
  others.Resize(kBudgetBytes - 10'000);
  Exchange("POST / HTTP/1.1\r\nContent-Length: 30000\r\n\r\n" + std::string(30'000, 'x'),
           "\r\n\r\n");
  STRNCMP_EQUAL("HTTP/1.1 503", mReceived.c_str(), 12);
  STRCMP_CONTAINS("Retry-After: ", mReceived.c_str());
  LONGS_EQUAL(0, mRequests);
}

/** Guards against requests that are handled although their caller left before they were read. */
TEST(http_session, does_not_handle_a_request_whose_caller_left_while_it_waited)
{
  asio::write(*mCaller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  mCaller->close();
  while (!mSession->IsClosed()) {
    mIo->run_one();
  }
  LONGS_EQUAL(0, mRequests);
}

/**
 * Guards against one message that ends the process: the parser throws at a field of 64 KB, and its
 * limit of the header does not cover the fields after the last chunk.
 */
TEST(http_session, refuses_a_field_of_64_kb_after_the_last_chunk)
{
  Exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Sum: " +
             std::string(70'000, 'x') + "\r\n\r\n",
           "\r\n\r\n");
  STRNCMP_EQUAL("HTTP/1.1 431", mReceived.c_str(), 12);
  LONGS_EQUAL(0, mRequests);
}

/** Guards against a chunk line without end, which takes memory and is searched with each read. */
TEST(http_session, refuses_a_chunk_line_without_end)
{
  Exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;" + std::string(40'000, 'x'),
           "\r\n\r\n");
  STRNCMP_EQUAL("HTTP/1.1 431", mReceived.c_str(), 12);
  LONGS_EQUAL(0, mRequests);
}

/** Guards against the same exception at a field within the operator's limit of the header. */
TEST(http_session, refuses_a_header_field_that_the_parser_cannot_store)
{
  mContext->mLimits = [] {
    caller_limits limits;
    limits.mMaxHeaderBytes = 200'000;
    return limits;
  };
  Exchange("GET / HTTP/1.1\r\nX-Sum: " + std::string(70'000, 'x') + "\r\n\r\n", "\r\n\r\n");
  STRNCMP_EQUAL("HTTP/1.1 431", mReceived.c_str(), 12);
  LONGS_EQUAL(0, mRequests);
}

/** Guards against a bound on chunk lines that refuses a body in many chunks, or fields after it. */
TEST(http_session, accepts_a_chunked_body_with_fields_after_it)
{
  std::string chunks;
  for (int i = 0; i < 2'000; ++i) {
    chunks += "10\r\n0123456789abcdef\r\n";
  }
  Exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks +
             "0\r\nX-Sum: " + std::string(8'000, 'x') + "\r\n\r\n",
           "cdef");
  STRNCMP_EQUAL("HTTP/1.1 200", mReceived.c_str(), 12);
  LONGS_EQUAL(1, mRequests);
}

/**
 * Guards against requests that run on for a caller that left: with the maximum number in progress
 * the connection is not read, and further requests hide its end.
 */
TEST(http_session, notices_that_the_caller_left_while_reading_pauses)
{
  int left = 0;
  mContext->mOnRequest = [&](const std::shared_ptr<inbound_request>& aRequest) {
    ++mRequests;
    aRequest->mOnCallerLeft = [&] { ++left; };
  };
  std::string requests;
  for (std::size_t i = 0; i < http_session::kMaxPipelined + 8; ++i) {
    requests += "GET / HTTP/1.1\r\n\r\n";
  }
  asio::write(*mCaller, asio::buffer(requests));
  while (mRequests < static_cast<int>(http_session::kMaxPipelined)) {
    mIo->run_one();
  }
  mSession->CheckTimeouts(mSession->GetLastActivityAt());
  CHECK_FALSE(mSession->IsClosed());
  mCaller->close();
  mIo->poll();
  mSession->CheckTimeouts(mSession->GetLastActivityAt());
  CHECK(mSession->IsClosed());
  LONGS_EQUAL(http_session::kMaxPipelined, left);
}
