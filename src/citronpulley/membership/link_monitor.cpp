#include "citronpulley/membership/link_monitor.h"

namespace citronpulley {

void link_monitor::RecordSent(const vm_name& aPeer, instant aNow)
{
  const auto [position, isNew] = mLinks.try_emplace(aPeer);
  link_state& link = position->second;
  link.mUsedAt = aNow;
  if (isNew) {
    link.mLastContactAt = aNow;
    link.mNextProbeAt = aNow;
  }
}

void link_monitor::RecordReply(const vm_name& aPeer, std::uint64_t aNumber, instant aNow)
{
  const auto found = mLinks.find(aPeer);
  if (found == mLinks.end() || aNumber < found->second.mFirstProbe ||
      aNumber > found->second.mLastProbe) {
    return;
  }
  found->second.mLastContactAt = aNow;
  found->second.mIsLost = false;
}

link_actions link_monitor::Tick(instant aNow)
{
  link_actions actions;
  for (auto entry = mLinks.begin(); entry != mLinks.end();) {
    const vm_name& peer = entry->first;
    link_state& link = entry->second;
    if (link.mUsedAt + kIdleTimeout <= aNow) {
      actions.mToClose.push_back(peer);
      entry = mLinks.erase(entry);
      continue;
    }
    if (link.mLastContactAt + kContactTimeout <= aNow) {
      actions.mToReopen.push_back(peer);
      if (!link.mIsLost) {
        actions.mLost.push_back(peer);
      }
      link.mIsLost = true;
      link.mLastContactAt = aNow;
      link.mFirstProbe = link.mLastProbe + 1;
      link.mNextProbeAt = aNow;
    }
    if (link.mNextProbeAt <= aNow) {
      link.mNextProbeAt = aNow + kProbeInterval;
      actions.mProbes.push_back({ peer, ++link.mLastProbe });
    }
    ++entry;
  }
  return actions;
}

} // namespace citronpulley
