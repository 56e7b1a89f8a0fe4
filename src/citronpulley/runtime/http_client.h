#ifndef CITRONPULLEY_RUNTIME_HTTP_CLIENT_H
#define CITRONPULLEY_RUNTIME_HTTP_CLIENT_H

#include "citronpulley/base/result.h"
#include "citronpulley/wire/request_messages.h"

#include <chrono>
#include <string>

namespace citronpulley {

/** Request of a program that waits for the answer. */
struct http_client_request
{
  /** `IP:port`. */
  std::string mAddress;
  std::string mMethod;
  std::string mTarget;
  std::vector<http_header> mHeaders;
  std::string mBody;
  std::chrono::milliseconds mTimeout{ 5'000 };
};

/**
 * Sends one request on a new connection and waits for the whole answer. For command lines and test
 * programs; daemons use `backend_client`.
 *
 * @param aRequest request
 * @return the answer, or `connection_lost` or `deadline_exceeded`
 */
result<http_answer> SendHttpRequest(const http_client_request& aRequest);

} // namespace citronpulley

#endif
