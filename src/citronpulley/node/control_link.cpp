#include "citronpulley/node/control_link.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citronpulley {

namespace {

/** Maximum number of polls without a reply; replies to older ones are ignored. */
constexpr std::size_t kMaxOutstandingPolls = 16;

} // namespace

control_link::control_link(std::vector<vm_name> aControlVms)
  : mControlVms(std::move(aControlVms))
{
  assert(!mControlVms.empty());
}

void control_link::Tick(const vm_record& aSelf,
                        const std::vector<zone_summary>& aHomedServers,
                        const digest& aKnownVms,
                        instant aNow,
                        node_actions& aActions)
{
  if (aNow < mNextPollAt) {
    return;
  }
  if (!mOutstandingPolls.empty() && mLastReplyAt + kReplyTimeout <= aNow) {
    mCurrentIndex = (mCurrentIndex + 1) % mControlVms.size();
    mLastReplyAt = aNow;
    mLeader = {};
  }
  if (mOutstandingPolls.empty()) {
    mLastReplyAt = aNow;
  }
  mNextPollAt = aNow + kPollInterval;
  mOutstandingPolls.emplace(++mLastPollNumber, aNow);
  if (mOutstandingPolls.size() > kMaxOutstandingPolls) {
    mOutstandingPolls.erase(mOutstandingPolls.begin());
  }
  aActions.emplace_back(send_peer_message{
    mControlVms[mCurrentIndex],
    poll{ mLastPollNumber, mView.GetIndex(), aSelf, aHomedServers, aKnownVms } });
}

bool control_link::Receive(const poll_reply& aReply, instant aNow)
{
  const auto sent = mOutstandingPolls.find(aReply.mPollNumber);
  if (sent == mOutstandingPolls.end()) {
    return false;
  }
  const instant sentAt = sent->second;
  mOutstandingPolls.erase(mOutstandingPolls.begin(), std::next(sent));
  if (!aReply.mDelta.empty()) {
    const result<view_delta> delta = DecodeDelta(aReply.mDelta);
    if (!delta || !mView.Apply(delta.Get())) {
      return false;
    }
  }
  mLastReplyAt = aNow;
  mFreshUntil = std::max(mFreshUntil, sentAt + kFreshnessPeriod);
  mLeader = aReply.mLeader;
  return true;
}

vm_name control_link::GetLeader() const
{
  return mLeader.IsEmpty() ? mControlVms[mCurrentIndex] : mLeader;
}

} // namespace citronpulley
