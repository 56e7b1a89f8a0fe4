#include "citronpulley/node/control_link.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citronpulley {

namespace {

/** Polls whose replies are still accepted. */
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
  if (!mSentPolls.empty() && mAnsweredAt + kReplyTimeout <= aNow) {
    mPresent = (mPresent + 1) % mControlVms.size();
    mAnsweredAt = aNow;
    mLeader = {};
  }
  if (mSentPolls.empty()) {
    mAnsweredAt = aNow;
  }
  mNextPollAt = aNow + kPollInterval;
  mSentPolls.emplace(++mLastPoll, aNow);
  if (mSentPolls.size() > kMaxOutstandingPolls) {
    mSentPolls.erase(mSentPolls.begin());
  }
  aActions.emplace_back(send_peer_message{
    mControlVms[mPresent], poll{ mLastPoll, mView.GetIndex(), aSelf, aHomedServers, aKnownVms } });
}

bool control_link::Accept(const poll_reply& aReply, instant aNow)
{
  const auto sent = mSentPolls.find(aReply.mPollNumber);
  if (sent == mSentPolls.end()) {
    return false;
  }
  const instant sentAt = sent->second;
  mSentPolls.erase(mSentPolls.begin(), std::next(sent));
  if (!aReply.mDelta.empty()) {
    const result<view_delta> delta = DecodeDelta(aReply.mDelta);
    if (!delta || !mView.Apply(delta.Get())) {
      return false;
    }
  }
  mAnsweredAt = aNow;
  mFreshUntil = std::max(mFreshUntil, sentAt + kFreshness);
  mLeader = aReply.mLeader;
  return true;
}

vm_name control_link::GetLeader() const
{
  return mLeader.IsEmpty() ? mControlVms[mPresent] : mLeader;
}

} // namespace citronpulley
