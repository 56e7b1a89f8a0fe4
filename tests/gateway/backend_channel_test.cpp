#include "citronpulley/gateway/backend_channel.h"
#include "citronpulley/gateway/memory_budget.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kBudgetBytes = 4'000'000;
/** Bytes after which the faulty server stops; far more than the budget. */
constexpr std::size_t kEndlessBytes = 64UL * 1024 * 1024;

/** Backend server that sends scripted bytes for each request that it reads. */
class scripted_server
{
public:
  explicit scripted_server(asio::io_context& aIo)
    : mAcceptor(aIo, { asio::ip::make_address("127.0.0.1"), 0 })
    , mSocket(aIo)
  {
    mAcceptor.async_accept(mSocket, [this](const boost::system::error_code& aError) {
      if (!aError) {
        Read();
      }
    });
  }

  asio::ip::tcp::endpoint GetEndpoint() const { return mAcceptor.local_endpoint(); }
  std::size_t CountSent() const { return mSent; }

  /** One element for each request. */
  std::deque<std::string> mResponses;
  /** Closes the connection after the last response. */
  bool mCloses = false;
  /** Repeated after the response until the connection ends, when not empty. */
  std::string mEndless;

private:
  void Read()
  {
    mSocket.async_read_some(asio::buffer(mInput),
                            [this](const boost::system::error_code& aError, std::size_t) {
                              if (!aError && !mResponses.empty()) {
                                mOutput = mResponses.front();
                                mResponses.pop_front();
                                Write();
                              }
                            });
  }

  void Write()
  {
    asio::async_write(mSocket,
                      asio::buffer(mOutput),
                      [this](const boost::system::error_code& aError, std::size_t aCount) {
                        mSent += aCount;
                        if (aError || mSent > kEndlessBytes) {
                          return;
                        }
                        if (mCloses && mResponses.empty()) {
                          mSocket.close();
                          return;
                        }
                        if (mEndless.empty()) {
                          Read();
                          return;
                        }
                        mOutput = mEndless;
                        Write();
                      });
  }

  asio::ip::tcp::acceptor mAcceptor;
  asio::ip::tcp::socket mSocket;
  std::array<char, 4'096> mInput{};
  std::string mOutput;
  std::size_t mSent = 0;
};

std::string MakeAnswer(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

/** Runs a connection against a server that misbehaves, on loopback and without time limits. */
TEST_GROUP(backend_channel)
{
  std::unique_ptr<asio::io_context> mIo;
  std::unique_ptr<scripted_server> mServer;
  std::shared_ptr<memory_budget> mBudget;
  std::shared_ptr<backend_channel> mChannel;
  std::optional<channel_end> mEnd;
  http_response mResponse;
  std::size_t mPeakBytes = 0;
  bool mMaySend = true;

  void setup() override
  {
    mIo = std::make_unique<asio::io_context>(1);
    mServer = std::make_unique<scripted_server>(*mIo);
    mBudget = std::make_shared<memory_budget>(kBudgetBytes);
    mChannel = std::make_shared<backend_channel>(asio::ip::tcp::socket(*mIo), mBudget);
    bool isConnected = false;
    mChannel->Connect(mServer->GetEndpoint(),
                      [&](bool aIsConnected) { isConnected = aIsConnected; });
    while (!isConnected) {
      mIo->run_one();
    }
  }

  void teardown() override
  {
    mChannel->Close();
    mIo->run();
    mChannel.reset();
    mServer.reset();
    mIo.reset();
    mBudget.reset();
    mResponse = {};
  }

  channel_end Request(const std::string& aId)
  {
    mEnd.reset();
    channel_request request;
    request.mEncoded = "GET / HTTP/1.1\r\nRequest-Id: " + aId + "\r\n\r\n";
    request.mRequestId = aId;
    request.mRequestIdName = "Request-Id";
    request.mMaySend = [this] { return mMaySend; };
    mChannel->Send(std::move(request), [this](channel_end aEnd, http_response aResponse) {
      mEnd = aEnd;
      mResponse = std::move(aResponse);
    });
    while (!mEnd) {
      mIo->run_one();
      mPeakBytes = std::max(mPeakBytes, mBudget->GetUsedBytes());
    }
    return *mEnd;
  }

  void CheckEndless(const std::string& aStart, const std::string& aEndless, channel_end aExpected)
  {
    mServer->mResponses = { aStart };
    mServer->mEndless = aEndless;
    CHECK(Request("a") == aExpected);
    CHECK(mChannel->IsClosed());
    CHECK(mPeakBytes <= mBudget->GetMaxMessageBytes());
    CHECK(mServer->CountSent() < kEndlessBytes);
    UNSIGNED_LONGS_EQUAL(0, mBudget->GetUsedBytes());
  }
};

TEST(backend_channel, delivers_a_whole_answer)
{
  const std::string body(540'000, 'p');
  mServer->mResponses = { MakeAnswer("a", body) };
  CHECK(Request("a") == channel_end::Answered);
  CHECK(mResponse.mBody == body);
  CHECK_FALSE(mChannel->IsClosed());
}

/** Guards against a header without end that fills the memory. */
TEST(backend_channel, ends_at_an_endless_header)
{
  CheckEndless(
    "HTTP/1.1 200 OK\r\n", "X-Filler: " + std::string(1'000, 'x') + "\r\n", channel_end::Malformed);
}

/** Guards against bytes without end that are no answer and contain no end of line. */
TEST(backend_channel, ends_at_endless_garbage)
{
  CheckEndless("HTTP/1.1 200 ", std::string(4'000, 'x'), channel_end::Malformed);
}

/** Guards against a body without a length that never ends. */
TEST(backend_channel, ends_at_an_endless_body)
{
  CheckEndless(
    "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n", std::string(16'000, 'x'), channel_end::TooLarge);
}

/** Guards against a body whose chunks never end. */
TEST(backend_channel, ends_at_endless_chunks)
{
  CheckEndless("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
               "3e80\r\n" + std::string(16'000, 'x') + "\r\n",
               channel_end::TooLarge);
}

/** Guards against an end of a chunk that never comes, which is searched again with each read. */
TEST(backend_channel, ends_at_an_endless_chunk_extension)
{
  CheckEndless("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3e80;",
               std::string(1'000, 'x'),
               channel_end::Malformed);
}

/** Guards against trailers without end. */
TEST(backend_channel, ends_at_endless_trailers)
{
  CheckEndless("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
               "X-Filler: " + std::string(1'000, 'x') + "\r\n",
               channel_end::Malformed);
}

/**
 * Guards against a trailer field that the parser cannot store: the error left the read handler, and
 * the caller waited until its deadline.
 */
TEST(backend_channel, ends_at_a_long_trailer_field)
{
  mServer->mResponses = {
    "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: " +
    std::string(66'000, 'x') + "\r\n\r\n"
  };
  CHECK(Request("a") == channel_end::Malformed);
  CHECK(mChannel->IsClosed());
}

/** Guards against an endless response that takes the memory which the other callers' need. */
TEST(backend_channel, an_endless_body_leaves_memory_for_others)
{
  memory_reservation others(mBudget);
  others.Resize(kBudgetBytes * 3 / 4);
  mServer->mResponses = { "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n" };
  mServer->mEndless = std::string(16'000, 'x');
  CHECK(Request("a") == channel_end::TooLarge);
  CHECK(mPeakBytes <= kBudgetBytes * 13 / 16);
}

/** Guards against allocating a length that a faulty server states. */
TEST(backend_channel, refuses_a_stated_length_that_the_memory_cannot_hold)
{
  mServer->mResponses = {
    "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9000000000000000000\r\n\r\nx"
  };
  CHECK(Request("a") == channel_end::TooLarge);
  CHECK(mChannel->IsClosed());
}

/** Guards against interim responses without end, each of them complete. */
TEST(backend_channel, ends_at_endless_interim_responses)
{
  CheckEndless(
    "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", channel_end::Malformed);
}

/** Guards against a request that leaves although it is no longer permitted. */
TEST(backend_channel, withholds_a_request_that_may_not_be_sent)
{
  mServer->mResponses = { MakeAnswer("b", "second") };
  mMaySend = false;
  CHECK(Request("a") == channel_end::Withheld);
  mMaySend = true;
  CHECK(Request("b") == channel_end::Answered);
  STRCMP_EQUAL("second", mResponse.mBody.c_str());
}

/** Guards against a second copy of an answer that reaches the next caller on the connection. */
TEST(backend_channel, skips_a_late_copy_of_an_earlier_answer)
{
  mServer->mResponses = { MakeAnswer("a", "first"),
                          MakeAnswer("a", "first") + MakeAnswer("b", "second") };
  CHECK(Request("a") == channel_end::Answered);
  CHECK(Request("b") == channel_end::Answered);
  STRCMP_EQUAL("second", mResponse.mBody.c_str());
  CHECK(mChannel->IsClosed());
}

/** Guards against a late failure without an id that is taken for the answer of the next request. */
TEST(backend_channel, refuses_an_answer_without_an_id_on_a_used_connection)
{
  const std::string failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
  mServer->mResponses = { MakeAnswer("a", "first"), failure };
  CHECK(Request("a") == channel_end::Answered);
  CHECK(Request("b") == channel_end::Malformed);
  CHECK(mChannel->IsClosed());
}

/**
 * Guards against a response that is broken off, in its head or later, and is taken for a whole one:
 * callers would get an empty or short body with a length that fits it.
 */
TEST(backend_channel, a_response_that_is_broken_off_anywhere_is_lost)
{
  const std::string whole = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Signature: s\r\n"
                            "Content-Length: 4\r\n\r\nbody";
  for (std::size_t length = 0; length <= whole.size(); ++length) {
    teardown();
    setup();
    mServer->mResponses = { whole.substr(0, length) };
    mServer->mCloses = true;
    CHECK((Request("a") == channel_end::Answered) == (length == whole.size()));
  }
}

/** Guards against a chunked body without its end that is taken for a whole one. */
TEST(backend_channel, a_chunked_response_without_its_last_chunk_is_lost)
{
  const std::string whole = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  for (std::size_t length = 0; length < whole.size(); ++length) {
    teardown();
    setup();
    mServer->mResponses = { whole.substr(0, length) };
    mServer->mCloses = true;
    CHECK(Request("a") != channel_end::Answered);
  }
}

/** Guards against an earlier refusal that is taken for the answer of the next request. */
TEST(backend_channel, skips_a_late_copy_of_an_earlier_refusal)
{
  const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\n"
                              "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  mServer->mResponses = { refusal, refusal + MakeAnswer("b", "second") };
  CHECK(Request("a") == channel_end::Answered);
  LONGS_EQUAL(503, mResponse.mStatus);
  CHECK(Request("b") == channel_end::Answered);
  LONGS_EQUAL(200, mResponse.mStatus);
}

/**
 * Guards against a request that was given up and is delivered, and run, once a cut of the network
 * has healed: only a reset drops the bytes that the network holds.
 */
TEST(backend_channel, resets_the_connection_of_a_request_that_is_given_up)
{
  for (const bool isGivenUp : { true, false }) {
    asio::ip::tcp::acceptor acceptor(*mIo, { asio::ip::make_address("127.0.0.1"), 0 });
    const auto channel = std::make_shared<backend_channel>(asio::ip::tcp::socket(*mIo), mBudget);
    bool isConnected = false;
    channel->Connect(acceptor.local_endpoint(),
                     [&](bool aIsConnected) { isConnected = aIsConnected; });
    asio::ip::tcp::socket server = acceptor.accept();
    while (!isConnected) {
      mIo->run_one();
    }
    if (isGivenUp) {
      channel_request request;
      request.mEncoded = "GET / HTTP/1.1\r\n\r\n";
      channel->Send(std::move(request), [](channel_end, const http_response&) {});
    }
    channel->Close();
    boost::system::error_code error;
    std::array<char, 64> input{};
    while (!error) {
      server.read_some(asio::buffer(input), error);
    }
    const boost::system::error_code expected =
      isGivenUp ? boost::system::error_code(asio::error::connection_reset)
                : boost::system::error_code(asio::error::eof);
    CHECK(expected == error);
  }
}
