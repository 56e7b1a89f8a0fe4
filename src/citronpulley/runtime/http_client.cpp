#include "citronpulley/runtime/http_client.h"

#include "citronpulley/runtime/http_fields.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>

namespace citronpulley {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr std::uint64_t kMaxAnswerBytes = 64ULL * 1024 * 1024;

error ToError(const beast::error_code& aFailure, step aStep, const std::string& aAddress)
{
  const bool isTimeout = aFailure == beast::error::timeout;
  return MakeError(isTimeout ? error_code::DeadlineExceeded : error_code::ConnectionLost,
                   aStep,
                   aAddress,
                   aFailure.message());
}

} // namespace

result<http_answer> SendHttpRequest(const http_client_request& aRequest)
{
  const std::size_t colon = aRequest.mAddress.rfind(':');
  std::uint16_t port = 0;
  beast::error_code failure;
  const asio::ip::address address =
    asio::ip::make_address(aRequest.mAddress.substr(0, colon), failure);
  if (colon != std::string::npos) {
    std::from_chars(aRequest.mAddress.data() + colon + 1,
                    aRequest.mAddress.data() + aRequest.mAddress.size(),
                    port);
  }
  if (failure || port == 0) {
    return MakeError(error_code::BadRequest,
                     step::Connect,
                     aRequest.mAddress,
                     "the address must have the form IP:port");
  }
  asio::io_context context;
  beast::tcp_stream stream(context);
  http::request<http::string_body> request;
  request.method_string(aRequest.mMethod);
  request.target(aRequest.mTarget);
  request.version(11);
  request.set(http::field::host, aRequest.mAddress);
  for (const http_header& header : aRequest.mHeaders) {
    request.insert(header.mName, header.mValue);
  }
  request.body() = aRequest.mBody;
  request.keep_alive(false);
  request.prepare_payload();
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxAnswerBytes);
  step currentStep = step::Connect;
  stream.expires_after(aRequest.mTimeout);
  stream.async_connect(tcp::endpoint(address, port), [&](beast::error_code aConnect) {
    failure = aConnect;
    if (failure) {
      return;
    }
    currentStep = step::SendToBackend;
    http::async_write(stream, request, [&](beast::error_code aWrite, std::size_t) {
      failure = aWrite;
      if (failure) {
        return;
      }
      currentStep = step::ReadFromBackend;
      http::async_read(
        stream, buffer, parser, [&](beast::error_code aRead, std::size_t) { failure = aRead; });
    });
  });
  context.run();
  if (failure) {
    return ToError(failure, currentStep, aRequest.mAddress);
  }
  auto message = parser.release();
  http_answer answer;
  answer.mStatus = static_cast<std::uint16_t>(message.result_int());
  for (const auto& field : message) {
    answer.mHeaders.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  answer.mBody = std::move(message.body());
  return answer;
}

} // namespace citronpulley
