#ifndef CITRONPULLEY_NODE_REQUEST_TABLE_H
#define CITRONPULLEY_NODE_REQUEST_TABLE_H

#include "citronpulley/node/active_request.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace citronpulley {

/**
 * Requests in flight at a VM, indexed by number, attempt, caller and forwarding VM, and ordered by
 * the time of their next deadline or resend, so that a tick visits only the requests that are due.
 */
class request_table
{
public:
  /** Adds a request under its number. */
  active_request& Add(active_request aRequest);

  /** @return the request, or null */
  active_request* Find(std::uint64_t aNumber) noexcept;
  /** @return the request with the number of a caller's HTTP request, or null */
  active_request* FindCallerRequest(std::uint64_t aHttpRequest) noexcept;
  /** @return the request that another VM forwarded, or null */
  active_request* FindForwardedRequest(const vm_name& aVm,
                                       incarnation aIncarnation,
                                       std::uint64_t aForwardNumber) noexcept;
  /** @return the request whose current attempt has this number and was sent to this VM, or null */
  active_request* FindByAttempt(std::uint64_t aAttempt, const vm_name& aVm) noexcept;

  /** Starts an attempt on a VM. Late answers to the previous attempt no longer find the request. */
  void StartAttempt(active_request& aRequest, const vm_name& aVm);
  /** Ends the current attempt, if any; late answers to it no longer find the request. */
  void EndAttempt(active_request& aRequest);

  /** Sets the time at which DrainDue() returns the request; replaces an earlier setting. */
  void Schedule(active_request& aRequest, instant aAt);
  /** @return numbers of the requests that are due; removes them from the schedule */
  std::vector<std::uint64_t> DrainDue(instant aNow);

  /** @return numbers of the requests whose current attempt was sent to a VM, ascending */
  std::vector<std::uint64_t> ListAttempts(const vm_name& aVm) const;

  void Remove(std::uint64_t aNumber);

  std::size_t GetCount() const noexcept { return mRequests.size(); }

private:
  struct forward_key
  {
    vm_name mVm;
    incarnation mIncarnation = 0;
    std::uint64_t mForwardNumber = 0;

    friend auto operator<=>(const forward_key&, const forward_key&) = default;
  };

  std::unordered_map<std::uint64_t, active_request> mRequests;
  std::unordered_map<std::uint64_t, std::uint64_t> mByAttempt;
  std::unordered_map<std::uint64_t, std::uint64_t> mByCaller;
  std::map<forward_key, std::uint64_t> mByForward;
  std::set<std::pair<instant, std::uint64_t>> mDue;
  std::uint64_t mLastAttempt = 0;
};

} // namespace citronpulley

#endif
