#ifndef CITRONPULLEY_NODE_ANNOUNCEMENT_PARSER_H
#define CITRONPULLEY_NODE_ANNOUNCEMENT_PARSER_H

#include "citronpulley/base/result.h"
#include "citronpulley/wire/request_messages.h"

#include <string_view>

namespace citronpulley {

/**
 * Parses and checks the announcement of a backend server.
 *
 * @param aBody JSON object with `service`, `address` (`IP:port`), `zone`, `slots`, `instance`, and
 * the optional `load`, `running` and `leaving`
 * @return the announcement, or `bad_request` with a message that names the invalid member
 */
result<server_announcement> ParseAnnouncement(std::string_view aBody);

} // namespace citronpulley

#endif
