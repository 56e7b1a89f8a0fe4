#ifndef CITRONPULLEY_STEERING_LIMIT_NOTICE_H
#define CITRONPULLEY_STEERING_LIMIT_NOTICE_H

#include <variant>

namespace citronpulley {

/** The response says nothing that can be trusted about a limit. */
struct limit_unknown
{
  friend auto operator<=>(const limit_unknown&, const limit_unknown&) = default;
};

/** The backend server states no limit, so an earlier one has ended. */
struct limit_none
{
  friend auto operator<=>(const limit_none&, const limit_none&) = default;
};

/** The backend server takes at most this rate from all VMs together. */
struct limit_rate
{
  /** Requests per second. */
  double mRate = 0;

  friend auto operator<=>(const limit_rate&, const limit_rate&) = default;
};

/** What a response of a backend server says about the rate of requests that it takes. */
using limit_notice = std::variant<limit_unknown, limit_none, limit_rate>;

} // namespace citronpulley

#endif
