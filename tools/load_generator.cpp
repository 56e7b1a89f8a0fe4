/**
 * @file
 * Sends GET requests at a fixed rate over a fixed number of connections and prints latency
 * quantiles as JSON. Latency is measured from the time at which a request was scheduled, not sent,
 * so that requests delayed by a slow server are counted in full (no coordinated omission).
 */

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

/** Settings and results of a run, shared by all connections on a single thread. */
struct load_state
{
  tcp::endpoint mEndpoint;
  std::string mTarget;
  std::string mKey;
  std::int64_t mConnectionCount = 0;
  std::int64_t mRatePerSecond = 0;
  std::int64_t mRequestCount = 0;
  steady::time_point mStartTime;
  std::int64_t mNextRequest = 0;
  std::vector<double> mLatenciesUs;
  std::int64_t mFailed = 0;
};

/** Sends the next scheduled request whenever this connection is free, until all have been sent. A
 * connection that fails is not opened again; its current request counts as failed. */
asio::awaitable<void> RunConnection(load_state& aState)
{
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  beast::flat_buffer buffer;
  try {
    co_await stream.async_connect(aState.mEndpoint, asio::use_awaitable);
    stream.socket().set_option(tcp::no_delay(true));
    while (aState.mNextRequest < aState.mRequestCount) {
      const std::int64_t number = aState.mNextRequest++;
      const auto dueAt =
        aState.mStartTime + std::chrono::microseconds(number * 1'000'000 / aState.mRatePerSecond);
      timer.expires_at(dueAt);
      co_await timer.async_wait(asio::use_awaitable);
      http::request<http::empty_body> request{ http::verb::get, aState.mTarget, 11 };
      request.set(http::field::host, "load");
      if (!aState.mKey.empty()) {
        request.set(http::field::authorization, "Bearer " + aState.mKey);
      }
      co_await http::async_write(stream, request, asio::use_awaitable);
      http::response<http::string_body> response;
      co_await http::async_read(stream, buffer, response, asio::use_awaitable);
      if (response.result() != http::status::ok) {
        ++aState.mFailed;
        continue;
      }
      aState.mLatenciesUs.push_back(
        std::chrono::duration<double, std::micro>(steady::now() - dueAt).count());
    }
  } catch (const boost::system::system_error& failure) {
    std::cerr << "load_generator: " << failure.what() << "\n";
    ++aState.mFailed;
  }
}

/** @return the element of a sorted vector at a quantile from 0 to 1, or 0 if it is empty */
double ComputeQuantile(const std::vector<double>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto position =
    static_cast<std::size_t>(aQuantile * static_cast<double>(aSorted.size() - 1));
  return aSorted[position];
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("load_generator",
                           "Sends GET requests at a fixed rate to a server on loopback.");
  options.add_options()(
    "address", "IP address of the server (loopback only)", cxxopts::value<std::string>())(
    "port", "port of the server", cxxopts::value<std::uint16_t>())(
    "target", "path of the requests", cxxopts::value<std::string>())(
    "key",
    "API key; no Authorization header if empty",
    cxxopts::value<std::string>()->default_value(""))(
    "connections", "number of connections", cxxopts::value<std::int64_t>()->default_value("800"))(
    "rate", "requests per second", cxxopts::value<std::int64_t>()->default_value("2000"))(
    "seconds",
    "duration of the run in seconds",
    cxxopts::value<std::int64_t>()->default_value("10"));
  try {
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    load_state state;
    const auto address = asio::ip::make_address(parsed["address"].as<std::string>());
    if (!address.is_loopback()) {
      std::cerr << "load_generator: --address must be a loopback address\n";
      return 2;
    }
    state.mEndpoint = { address, parsed["port"].as<std::uint16_t>() };
    state.mTarget = parsed["target"].as<std::string>();
    state.mKey = parsed["key"].as<std::string>();
    state.mConnectionCount = parsed["connections"].as<std::int64_t>();
    state.mRatePerSecond = parsed["rate"].as<std::int64_t>();
    state.mRequestCount = state.mRatePerSecond * parsed["seconds"].as<std::int64_t>();
    state.mLatenciesUs.reserve(static_cast<std::size_t>(state.mRequestCount));
    state.mStartTime = steady::now() + std::chrono::seconds(1);
    asio::io_context context(1);
    for (std::int64_t connection = 0; connection < state.mConnectionCount; ++connection) {
      asio::co_spawn(context, RunConnection(state), asio::detached);
    }
    context.run();
    std::sort(state.mLatenciesUs.begin(), state.mLatenciesUs.end());
    std::cout << boost::json::serialize(
                   boost::json::object{ { "answered", state.mLatenciesUs.size() },
                                        { "failed", state.mFailed },
                                        { "rate_per_second", state.mRatePerSecond },
                                        { "connections", state.mConnectionCount },
                                        { "median_us", ComputeQuantile(state.mLatenciesUs, 0.5) },
                                        { "p99_us", ComputeQuantile(state.mLatenciesUs, 0.99) },
                                        { "max_us", ComputeQuantile(state.mLatenciesUs, 1.0) } })
              << "\n";
    return state.mFailed == 0 ? 0 : 1;
  } catch (const std::exception& failure) {
    std::cerr << "load_generator: " << failure.what() << "\n";
    return 2;
  }
}
