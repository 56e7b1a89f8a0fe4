#ifndef CITRONPULLEY_RUNTIME_HTTP_CLIENT_H
#define CITRONPULLEY_RUNTIME_HTTP_CLIENT_H

#include "citronpulley/base/result.h"
#include "citronpulley/wire/request_messages.h"

#include <chrono>
#include <string>

namespace citronpulley {

/** Request for SendHttpRequest(). */
struct http_client_request
{
  /** Address of the server, `IP:port`. */
  std::string mAddress;
  std::string mMethod;
  std::string mTarget;
  std::vector<http_header> mHeaders;
  std::string mBody;
  std::chrono::milliseconds mTimeout{ 5'000 };
};

/**
 * Sends one request on a new connection and blocks until the complete answer has arrived. For
 * command-line and test programs; daemons use `backend_client`, which does not block.
 *
 * @param aRequest request
 * @return the answer, or `bad_request` for a malformed address, `connection_lost` or
 *         `deadline_exceeded`
 */
result<http_answer> SendHttpRequest(const http_client_request& aRequest);

} // namespace citronpulley

#endif
