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
 * Requests in flight at a VM, found by number, attempt, caller or forwarding VM, and in the order
 * in which they need attention, so that a tick costs nothing for those that do not.
 */
class request_table
{
public:
  /** Adds a request under its number. */
  active_request& Add(active_request aRequest);

  /** @return the request, or null */
  active_request* Find(std::uint64_t aNumber) noexcept;
  /** @return the request of a caller's HTTP request, or null */
  active_request* FindCallerRequest(std::uint64_t aHttpRequest) noexcept;
  /** @return the request that another VM forwarded, or null */
  active_request* FindForwardedRequest(const vm_name& aVm,
                                       incarnation aIncarnation,
                                       std::uint64_t aForwardNumber) noexcept;
  /** @return the request whose present attempt has this number and went to this VM, or null */
  active_request* FindByAttempt(std::uint64_t aAttempt, const vm_name& aVm) noexcept;

  /** Gives a request a new attempt; answers to the former one no longer find it. */
  void StartAttempt(active_request& aRequest, const vm_name& aVm);
  /** Ends the present attempt. */
  void EndAttempt(active_request& aRequest);

  /** Sets when the request needs attention next; it replaces the former time. */
  void Schedule(active_request& aRequest, instant aAt);
  /** @return numbers of the requests that need attention, which are not scheduled any more */
  std::vector<std::uint64_t> DrainDue(instant aNow);

  /** @return numbers of the requests whose present attempt went to a VM */
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
