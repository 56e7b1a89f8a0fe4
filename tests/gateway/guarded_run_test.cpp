#include "citronpulley/gateway/guarded_run.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(guarded_run){};

/** Guards against an unexpected error in one request that ends all requests with the process. */
TEST(guarded_run, an_exception_ends_one_handler_only)
{
  boost::asio::io_context io(1);
  int handled = 0;
  std::vector<std::string> failures;
  boost::asio::post(io, [&] { ++handled; });
  boost::asio::post(io, [] { throw std::runtime_error("unexpected"); });
  boost::asio::post(io, [&] { ++handled; });
  boost::asio::post(io, [] { throw std::length_error("too long"); });
  boost::asio::post(io, [&] { ++handled; });
  RunGuarded(io, [&](const std::string& aDescription) { failures.push_back(aDescription); });
  LONGS_EQUAL(3, handled);
  LONGS_EQUAL(2, failures.size());
  STRCMP_EQUAL("unexpected", failures.front().c_str());
}
