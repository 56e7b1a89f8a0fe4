#include "citronpulley/runtime/backend_client.h"
#include "citronpulley/runtime/event_loop_thread.h"
#include "citronpulley/runtime/http_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <string>
#include <thread>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

/**
 * Clients that read a response with a field of 64 KB after its last chunk, at which the parser of
 * the HTTP library throws.
 */
TEST_GROUP(long_trailer)
{
  int mListener = -1;
  std::string mAddress;
  std::thread mServer;

  void setup() override
  {
    mListener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    CHECK_EQUAL(0, ::bind(mListener, reinterpret_cast<sockaddr*>(&address), size));
    CHECK_EQUAL(0, ::listen(mListener, 1));
    CHECK_EQUAL(0, ::getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size));
    mAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    mServer = std::thread([listener = mListener] {
      const int socket = ::accept(listener, nullptr, nullptr);
      char request[4096];
      ::recv(socket, request, sizeof request, 0);
      const std::string response =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Sum: " +
        std::string(70'000, 'x') + "\r\n\r\n";
      ::send(socket, response.data(), response.size(), MSG_NOSIGNAL);
      // Waits for the client, so that the end of the connection does not end the response first.
      while (::recv(socket, request, sizeof request, 0) > 0) {
      }
      ::close(socket);
    });
  }

  void teardown() override
  {
    mServer.join();
    ::close(mListener);
    mAddress = {};
  }
};

/** Guards against a response that ends the command-line program with an exception. */
TEST(long_trailer, is_an_error_of_the_blocking_client)
{
  http_client_request request;
  request.mAddress = mAddress;
  request.mMethod = "GET";
  request.mTarget = "/";
  CHECK_FALSE(!!SendHttpRequest(request));
}

/** Guards against a response of a backend server that ends the entry daemon. */
TEST(long_trailer, is_a_bad_answer_of_a_backend_server)
{
  event_loop_thread thread("test-backend");
  std::promise<backend_finished> finished;
  backend_client client(thread, "127.0.0.1", caller_limits{}, [&](backend_finished aResult) {
    finished.set_value(std::move(aResult));
  });
  send_to_backend request;
  request.mDispatch = 1;
  request.mServer = server_name{ mAddress };
  request.mRequest.mMethod = "GET";
  request.mRequest.mTarget = "/";
  thread.Post([&] { client.Send(request, microseconds(5'000'000)); });
  const backend_outcome outcome = finished.get_future().get().mOutcome;
  thread.Stop();
  const auto* failure = std::get_if<backend_failure>(&outcome);
  CHECK(failure != nullptr);
  CHECK(failure->mError.mCode == error_code::BadBackendAnswer);
  CHECK(failure->mMayHaveRun);
}
