/**
 * @file
 * Backend server for tests and demonstrations. It announces itself to entry VMs and answers every
 * path with a JSON object that echoes the request. The optional journal file gets one line for each
 * executed request, so that a test can count executions. A path that starts with `/crash` ends the
 * process.
 */

#include "citronpulley/runtime/http_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <sodium.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

using namespace citronpulley;

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

/** Settings and counters of the server, shared by the I/O thread and the announcing thread. */
struct backend_state
{
  std::string mService;
  std::string mAddress;
  std::string mZone;
  std::string mInstanceId;
  std::int64_t mSlots = 4;
  std::chrono::microseconds mServiceTime{ 0 };
  std::vector<std::string> mEntryVms;
  std::ofstream mJournal;
  std::atomic<std::int64_t> mRunning{ 0 };
  std::atomic<bool> mIsShuttingDown{ false };
};

std::string GetHeader(const http::request<http::string_body>& aRequest, const char* aName)
{
  return std::string(aRequest[aName]);
}

asio::awaitable<void> ServeConnection(tcp::socket aSocket, backend_state& aState)
{
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  try {
    for (;;) {
      http::request<http::string_body> request;
      co_await http::async_read(stream, buffer, request, asio::use_awaitable);
      ++aState.mRunning;
      if (request.target().starts_with("/crash")) {
        std::quick_exit(3);
      }
      if (aState.mServiceTime.count() > 0) {
        asio::steady_timer timer(co_await asio::this_coro::executor, aState.mServiceTime);
        co_await timer.async_wait(asio::use_awaitable);
      }
      const boost::json::object body{ { "service", aState.mService },
                                      { "server", aState.mAddress },
                                      { "zone", aState.mZone },
                                      { "method", std::string(request.method_string()) },
                                      { "target", std::string(request.target()) },
                                      { "body", request.body() },
                                      { "workspace", GetHeader(request, "Citronpulley-Workspace") },
                                      { "key_seen", request.count("Authorization") > 0 } };
      if (aState.mJournal.is_open()) {
        aState.mJournal << boost::json::serialize(body) << std::endl;
      }
      http::response<http::string_body> response{ http::status::ok, 11 };
      response.set(http::field::content_type, "application/json");
      response.keep_alive(request.keep_alive());
      response.body() = boost::json::serialize(body);
      response.prepare_payload();
      --aState.mRunning;
      co_await http::async_write(stream, response, asio::use_awaitable);
      if (!response.keep_alive()) {
        co_return;
      }
    }
  } catch (const boost::system::system_error&) {
    // The client closed the connection.
  }
}

asio::awaitable<void> AcceptConnections(tcp::acceptor& aAcceptor, backend_state& aState)
{
  for (;;) {
    tcp::socket socket = co_await aAcceptor.async_accept(asio::use_awaitable);
    socket.set_option(tcp::no_delay(true));
    asio::co_spawn(
      aAcceptor.get_executor(), ServeConnection(std::move(socket), aState), asio::detached);
  }
}

/** Announces the server with its current load to the first entry VM that accepts the announcement.
 */
void Announce(const backend_state& aState)
{
  const std::int64_t running = aState.mRunning.load();
  const boost::json::object body{
    { "service", aState.mService },
    { "address", aState.mAddress },
    { "zone", aState.mZone },
    { "slots", aState.mSlots },
    { "running", running },
    { "load", std::min(1.0, static_cast<double>(running) / static_cast<double>(aState.mSlots)) },
    { "leaving", aState.mIsShuttingDown.load() },
    { "instance", aState.mInstanceId }
  };
  for (const std::string& vm : aState.mEntryVms) {
    const result<http_answer> answer = SendHttpRequest({ vm,
                                                         "POST",
                                                         "/v1/announce",
                                                         {},
                                                         boost::json::serialize(body),
                                                         std::chrono::milliseconds(500) });
    if (answer && answer.Get().mStatus == 200) {
      return;
    }
  }
}

/**
 * Serves and announces once a second until SIGINT or SIGTERM; the last announcement reports that
 * the server is leaving.
 *
 * @return exit status of the process
 */
int Serve(backend_state& aState)
{
  asio::io_context context;
  const std::size_t colon = aState.mAddress.rfind(':');
  const tcp::endpoint endpoint(
    asio::ip::make_address(aState.mAddress.substr(0, colon)),
    static_cast<std::uint16_t>(std::stoi(aState.mAddress.substr(colon + 1))));
  tcp::acceptor acceptor(context, endpoint, true);
  asio::co_spawn(context, AcceptConnections(acceptor, aState), asio::detached);
  asio::signal_set signals(context, SIGINT, SIGTERM);
  std::atomic<bool> isStopping{ false };
  std::thread announcer([&] {
    while (!isStopping) {
      Announce(aState);
      for (int interval = 0; interval < 10 && !isStopping; ++interval) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
      }
    }
  });
  signals.async_wait([&](const boost::system::error_code&, int) {
    aState.mIsShuttingDown = true;
    context.stop();
  });
  context.run();
  isStopping = true;
  announcer.join();
  Announce(aState);
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (sodium_init() < 0) {
    return 1;
  }
  cxxopts::Options options("fake_backend", "Backend server for tests and demonstrations.");
  options.add_options()("service", "name of the service", cxxopts::value<std::string>())(
    "address", "IP:port to listen on and to announce", cxxopts::value<std::string>())(
    "zone", "availability zone", cxxopts::value<std::string>())(
    "slots",
    "announced number of concurrent requests",
    cxxopts::value<std::int64_t>()->default_value("4"))(
    "service-time-us",
    "processing time of a request in microseconds",
    cxxopts::value<std::int64_t>()->default_value("0"))(
    "vms",
    "entry VMs that get announcements, IP:port, separated by commas",
    cxxopts::value<std::vector<std::string>>())(
    "journal",
    "file to which a JSON line is appended for each executed request",
    cxxopts::value<std::string>()->default_value(""));
  try {
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    backend_state state;
    state.mService = parsed["service"].as<std::string>();
    state.mAddress = parsed["address"].as<std::string>();
    state.mZone = parsed["zone"].as<std::string>();
    state.mSlots = parsed["slots"].as<std::int64_t>();
    state.mServiceTime = std::chrono::microseconds(parsed["service-time-us"].as<std::int64_t>());
    state.mEntryVms = parsed["vms"].as<std::vector<std::string>>();
    state.mInstanceId = std::to_string(randombytes_random());
    if (const auto journal = parsed["journal"].as<std::string>(); !journal.empty()) {
      state.mJournal.open(journal, std::ios::app);
    }
    return Serve(state);
  } catch (const std::exception& failure) {
    std::cerr << "fake_backend: " << failure.what() << "\n";
    return 2;
  }
}
