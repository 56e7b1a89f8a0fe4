#include "citronpulley/replay/simulated_vms.h"

#include <algorithm>

namespace citronpulley {

void simulated_vms::CloseCutConnections()
{
  const auto connected = mConnectedPairs;
  for (const auto& pair : connected) {
    const endpoint first{ false, pair.first };
    const endpoint second{ false, pair.second };
    if (IsCut(first, second) || IsCut(second, first)) {
      mConnectedPairs.erase(pair);
      DeliverPeerDisconnected(pair.first, pair.second);
      DeliverPeerDisconnected(pair.second, pair.first);
    }
  }
}

void simulated_vms::DeliverPeerDisconnected(std::size_t aFrom, std::size_t aTo)
{
  Deliver(aFrom, peer_disconnected{ mVms[aTo].mRecord.mVm });
}

bool simulated_vms::IsSelectedByAny(endpoint aEndpoint,
                                    const std::vector<std::string>& aSelectors) const
{
  return std::any_of(aSelectors.begin(), aSelectors.end(), [&](const std::string& aSelector) {
    return aEndpoint.mIsServer
             ? trace::IsSelectedBy(mTrace.mServers[aEndpoint.mPosition], aSelector)
             : trace::IsSelectedBy(mTrace.mVms[aEndpoint.mPosition], aSelector);
  });
}

bool simulated_vms::IsCut(endpoint aFrom, endpoint aTo) const
{
  return std::any_of(mCuts.begin(), mCuts.end(), [&](const auto& aCut) {
    const cut& active = aCut.second;
    return (IsSelectedByAny(aFrom, active.mFrom) && IsSelectedByAny(aTo, active.mTo)) ||
           (!active.mIsOneWay && IsSelectedByAny(aFrom, active.mTo) &&
            IsSelectedByAny(aTo, active.mFrom));
  });
}

microseconds simulated_vms::GetDelay(std::size_t aFrom, std::size_t aTo) const
{
  const trace_vm& to = mTrace.mVms[aTo];
  return mTrace.mDelays.GetDelay(
    mTrace.mVms[aFrom], to.mZone, to.mRegion, mTrace.mDelays.mSameZone);
}

microseconds simulated_vms::GetServerDelay(std::size_t aVm, std::size_t aServer) const
{
  const trace_server& to = mTrace.mServers[aServer];
  return mTrace.mDelays.GetDelay(mTrace.mVms[aVm], to.mZone, to.mRegion, mTrace.mDelays.mServer);
}

} // namespace citronpulley
