#ifndef CITRONPULLEY_DISPATCH_BACKEND_SERVER_H
#define CITRONPULLEY_DISPATCH_BACKEND_SERVER_H

#include "citronpulley/base/instant.h"
#include "citronpulley/wire/request_messages.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace citronpulley {

/**
 * Backend server whose home is this VM: its lease, its slots and how well it does. It decides how
 * many requests the server may get; `backend_dispatcher` decides which ones.
 */
class backend_server
{
public:
  /** Time for which an announcement holds. */
  static constexpr microseconds kHoldPeriod{ 3'000'000 };
  /** Time over which a cold server's slots grow from one to all. */
  static constexpr microseconds kSlowStart{ 10'000'000 };
  /** Age from which a load report no longer counts against the server. */
  static constexpr microseconds kReportValidity{ 2'000'000 };
  /** Age of the load report from which half the slots are used. */
  static constexpr microseconds kReportTimeout{ 10'000'000 };
  /** Time for which an ejected server gets no work. */
  static constexpr microseconds kEjectionTime{ 10'000'000 };

  /**
   * Takes an announcement; it renews the lease.
   *
   * @param aAnnouncement what the server says of itself
   * @param aIsOtherHomePossible true when another VM may send work to this run of the server
   * @param aNow present time
   * @return true when the server is in a new run, which has lost its former requests
   */
  bool HandleAnnouncement(const server_announcement& aAnnouncement,
                          bool aIsOtherHomePossible,
                          instant aNow);

  const server_announcement& GetAnnouncement() const noexcept { return mAnnouncement; }

  /** @return true while the lease of this VM on the server holds */
  bool IsLeaseValid(instant aNow) const noexcept { return mLeaseEndsAt > aNow; }

  /** @return true when the server may get new requests if a slot is free */
  bool AcceptsRequests(instant aNow) const noexcept;

  /** @return true when the server takes work now or as soon as it announces itself again */
  bool IsExpectedToAcceptRequests(instant aNow) const noexcept;

  /** @return slots that may be used at present, at least one */
  std::uint32_t GetSlotLimit(instant aNow) const noexcept;

  /** @return requests that run on the server as far as known, those of other homes included */
  std::uint32_t GetOccupiedSlots(instant aNow) const noexcept;

  /** @return requests that this VM sent and that have not ended */
  std::uint32_t GetRunning() const noexcept { return mRunning; }

  /** @return true when a slot is free and the server takes work */
  bool HasFreeSlot(instant aNow) const noexcept;

  /** Counts a request that is sent. */
  void RecordStart(instant aNow) noexcept;

  /**
   * Counts the end of a request.
   *
   * @param aIsSuccess false for a failure or an answer with a status of 500 or more
   * @param aLatency its time; for a failure the whole time that the request had, so that a server
   * which fails fast does not look quick
   * @param aNow present time
   */
  void RecordEnd(bool aIsSuccess, microseconds aLatency, instant aNow) noexcept;

  /** Counts a request whose connection is closed; the slot stays in use until a later report. */
  void RecordAbandoned(instant aNow);

  /** Counts a request that did not run; it says nothing about the server's latency. */
  void ReleaseSlot(bool aIsSuccess, instant aNow) noexcept;

  /** Keeps new work away until the next announcement, because the server may have crashed. */
  void MarkSuspected() noexcept { mIsSuspected = true; }
  /** Ends the doubt; the announcement of the present run has arrived. */
  void ClearSuspicion() noexcept { mIsSuspected = false; }

  /** @return true when most of the recent requests failed */
  bool IsOutlier() const noexcept;
  /** Gives the server no work for kEjectionTime. */
  void Eject(instant aNow) noexcept;
  bool IsEjected(instant aNow) const noexcept { return mEjectedUntil > aNow; }

  /**
   * @param aTypicalLatency mean latency of the service
   * @return cost of one more request; the server with the lowest cost gets it
   */
  double GetCost(microseconds aTypicalLatency, instant aNow) const noexcept;

private:
  void RecordOutcome(bool aIsSuccess) noexcept;
  void RecordPeak(instant aNow) noexcept;
  std::uint32_t GetPeak(instant aNow) const noexcept;

  server_announcement mAnnouncement;
  instant mLeaseEndsAt;
  instant mAcceptsFrom;
  /** Start of the slow start; far in the past for a warm server. */
  instant mSlowStartAt = instant::min();
  instant mReportedAt;
  /** Running requests of the last report beyond those of this VM. */
  std::uint32_t mForeignRequests = 0;
  std::uint32_t mRunning = 0;
  /** Times at which connections of unfinished requests were closed. */
  std::vector<instant> mAbandoned;
  /** Most requests that ran in the present and the previous interval, because a report shows the
   * server a moment ago. */
  std::array<std::uint32_t, 2> mPeaks{};
  instant mPeakFrom;
  double mLatencyMicroseconds = 0;
  instant mLatencyAt;
  double mFailureShare = 0;
  std::uint32_t mOutcomeCount = 0;
  instant mEjectedUntil;
  bool mIsSuspected = false;
  bool mHasAnnouncement = false;
};

} // namespace citronpulley

#endif
