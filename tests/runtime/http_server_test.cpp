#include "citronpulley/runtime/http_server.h"

#include "citronpulley/runtime/event_loop_thread.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

constexpr const char* kAddress = "127.31.77.1";
constexpr std::uint16_t kPort = 18'099;

/** Client socket that sends raw bytes and reads until the server closes the connection. */
class raw_client
{
public:
  raw_client()
    : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kPort);
    inet_pton(AF_INET, kAddress, &address.sin_addr);
    CHECK_EQUAL(0, ::connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address));
  }
  ~raw_client() { ::close(mSocket); }
  raw_client(const raw_client&) = delete;
  raw_client& operator=(const raw_client&) = delete;

  void Send(const std::string& aBytes)
  {
    ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  std::string ReadAll()
  {
    std::string text;
    char buffer[4096];
    for (;;) {
      const ssize_t read = ::recv(mSocket, buffer, sizeof buffer, 0);
      if (read <= 0) {
        return text;
      }
      text.append(buffer, static_cast<std::size_t>(read));
    }
  }

  void ShutdownSending() { ::shutdown(mSocket, SHUT_WR); }

private:
  int mSocket;
};

} // namespace

TEST_GROUP(http_server)
{
  event_loop_thread mThread{ "test-http" };
  caller_limits mLimits{ 1'024, 2'048, 4'096, 300, 300, 8 };
  std::mutex mMutex;
  std::condition_variable mChanged;
  int mDisconnectCount = 0;
  http_server* mServer = nullptr;

  void setup() override
  {
    mServer = new http_server(mThread,
                              mLimits,
                              { [this](const http_request_received& aRequest) {
                                 if (aRequest.mTarget != "/wait") {
                                   mServer->Reply(
                                     aRequest.mRequest,
                                     { 200, { { "Transfer-Encoding", "x" } }, aRequest.mBody });
                                 }
                               },
                                [this](http_client_disconnected) {
                                  const std::lock_guard lock(mMutex);
                                  ++mDisconnectCount;
                                  mChanged.notify_all();
                                } });
    CHECK(!!mServer->Listen(kAddress, kPort));
  }

  void teardown() override
  {
    mThread.Stop();
    delete mServer;
  }

  std::string Exchange(const std::string& aBytes)
  {
    raw_client client;
    client.Send(aBytes);
    return client.ReadAll();
  }

  static bool Contains(const std::string& aText, const std::string& aPart)
  {
    return aText.find(aPart) != std::string::npos;
  }
};

/**
 * Guards against wrong framing of answers: the server must set the length of the complete body and
 * must not forward a `Transfer-Encoding` header of the handler.
 */
TEST(http_server, answers_with_the_length_of_the_body)
{
  const std::string answer =
    Exchange("POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
  CHECK(Contains(answer, "HTTP/1.1 200"));
  CHECK(Contains(answer, "Content-Length: 4"));
  CHECK_FALSE(Contains(answer, "Transfer-Encoding"));
  CHECK(answer.ends_with("\r\n\r\nbody"));
}

/** Guards against memory exhaustion by oversized headers and bodies. */
TEST(http_server, refuses_oversized_headers_and_bodies)
{
  CHECK(
    Contains(Exchange("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(3'000, 'x') + "\r\n\r\n"),
             "headers_too_large"));
  const std::string answer = Exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" +
                                      std::string(5'000, 'x'));
  CHECK(Contains(answer, "HTTP/1.1 413"));
  CHECK(Contains(answer, "\"outcome\":\"not_run\""));
}

/**
 * Guards against one request that ends the daemon: the parser throws at a field of 64 KB after the
 * last chunk, and no other limit covers these fields.
 */
TEST(http_server, refuses_a_field_of_64_kb_after_the_last_chunk)
{
  CHECK(Contains(Exchange("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "2\r\n{}\r\n0\r\nX-Sum: " +
                          std::string(70'000, 'x') + "\r\n\r\n"),
                 "headers_too_large"));
}

/** Guards against clients that occupy a connection by sending a request slowly. */
TEST(http_server, refuses_a_request_that_does_not_arrive_in_time)
{
  CHECK(Contains(Exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nslow"),
                 "slow_sender"));
}

/** Guards against clients that open connections and send no request on them. */
TEST(http_server, closes_a_connection_on_which_no_request_arrives)
{
  STRCMP_EQUAL("", Exchange("").c_str());
}

/** Guards against request smuggling through framing that two parsers interpret differently. */
TEST(http_server, refuses_malformed_and_contradictory_framing)
{
  CHECK(Contains(Exchange("nonsense\r\n\r\n"), "HTTP/1.1 400"));
  CHECK(Contains(
    Exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
    "HTTP/1.1 400"));
  CHECK(Contains(Exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                 "HTTP/1.1 400"));
}

/**
 * Guards against work that continues for a client that has disconnected. Half-closing the
 * connection counts as disconnecting.
 */
TEST(http_server, reports_a_client_that_disconnects_while_its_request_runs)
{
  raw_client client;
  client.Send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  client.ShutdownSending();
  std::unique_lock lock(mMutex);
  mChanged.wait(lock, [this] { return mDisconnectCount == 1; });
}

/** Guards against swapped answers to two pipelined requests on one connection. */
TEST(http_server, answers_requests_on_one_connection_in_order)
{
  const std::string answer = Exchange("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none"
                                      "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                                      "Content-Length: 3\r\n\r\ntwo");
  CHECK(answer.find("one") < answer.find("two"));
  CHECK(answer.ends_with("two"));
}
