#ifndef CITRONPULLEY_GATEWAY_GUARDED_RUN_H
#define CITRONPULLEY_GATEWAY_GUARDED_RUN_H

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace citronpulley {

/**
 * Runs the handlers of an I/O context until it stops or has no work left. An exception of one
 * handler ends that handler only: in an entry VM process it concerns one request or message, and
 * the other requests must not be lost with it.
 *
 * @param aOnFailure called with the description of each exception
 */
void RunGuarded(boost::asio::io_context& aIo,
                const std::function<void(const std::string& aDescription)>& aOnFailure);

} // namespace citronpulley

#endif
