#include "citronpulley/membership/link_monitor.h"

namespace citronpulley {

void link_monitor::NoteSent(const vm_name& aPeer, instant aNow)
{
  const auto [place, isNew] = mLinks.try_emplace(aPeer);
  link_state& link = place->second;
  link.mUsedAt = aNow;
  if (isNew) {
    link.mAliveAt = aNow;
    link.mNextProbeAt = aNow;
  }
}

void link_monitor::NoteReply(const vm_name& aPeer, std::uint64_t aNumber, instant aNow)
{
  const auto found = mLinks.find(aPeer);
  if (found == mLinks.end() || aNumber < found->second.mFirstProbe ||
      aNumber > found->second.mLastProbe) {
    return;
  }
  found->second.mAliveAt = aNow;
  found->second.mIsLost = false;
}

link_orders link_monitor::Tick(instant aNow)
{
  link_orders orders;
  for (auto entry = mLinks.begin(); entry != mLinks.end();) {
    const vm_name& peer = entry->first;
    link_state& link = entry->second;
    if (link.mUsedAt + kUnusedLimit <= aNow) {
      orders.mUnused.push_back(peer);
      entry = mLinks.erase(entry);
      continue;
    }
    if (link.mAliveAt + kSilenceLimit <= aNow) {
      orders.mReopened.push_back(peer);
      if (!link.mIsLost) {
        orders.mLost.push_back(peer);
      }
      link.mIsLost = true;
      link.mAliveAt = aNow;
      link.mFirstProbe = link.mLastProbe + 1;
      link.mNextProbeAt = aNow;
    }
    if (link.mNextProbeAt <= aNow) {
      link.mNextProbeAt = aNow + kProbeInterval;
      orders.mProbes.push_back({ peer, ++link.mLastProbe });
    }
    ++entry;
  }
  return orders;
}

} // namespace citronpulley
