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
 * State of a backend server whose home is this VM: lease, slots, latency and failure rate. It
 * decides how many requests the server may get; `backend_dispatcher` decides which ones.
 */
class backend_server
{
public:
  /** Time for which an announcement is valid. */
  static constexpr microseconds kHoldPeriod{ 3'000'000 };
  /** Duration of slow start: the usable slots of a cold server grow from one to all. */
  static constexpr microseconds kSlowStart{ 10'000'000 };
  /** Age from which the requests of other homes in a load report are ignored. */
  static constexpr microseconds kReportValidity{ 2'000'000 };
  /** Age of the last load report from which only half of the slots are used. */
  static constexpr microseconds kReportTimeout{ 10'000'000 };
  /** Time for which an ejected server gets no requests. */
  static constexpr microseconds kEjectionTime{ 10'000'000 };

  /**
   * Handles an announcement, which renews the lease.
   *
   * @param aAnnouncement announcement of the server
   * @param aIsOtherHomePossible true when another VM may be sending requests to this run of the
   * server
   * @param aNow current time
   * @return true when the server was restarted, so that the requests of its earlier run are lost
   */
  bool HandleAnnouncement(const server_announcement& aAnnouncement,
                          bool aIsOtherHomePossible,
                          instant aNow);

  const server_announcement& GetAnnouncement() const noexcept { return mAnnouncement; }

  /** @return true while this VM holds the lease of the server */
  bool IsLeaseValid(instant aNow) const noexcept { return mLeaseEndsAt > aNow; }

  /** @return true when the server may get new requests if a slot is free */
  bool AcceptsRequests(instant aNow) const noexcept;

  /** @return true when the server accepts requests now, or will once its suspicion is cleared */
  bool IsExpectedToAcceptRequests(instant aNow) const noexcept;

  /** @return number of slots that may currently be used, at least 1 */
  std::uint32_t GetSlotLimit(instant aNow) const noexcept;

  /** @return known number of requests on the server, including those of other homes */
  std::uint32_t GetOccupiedSlots(instant aNow) const noexcept;

  /** @return number of requests that this VM sent and that have not ended */
  std::uint32_t GetRunning() const noexcept { return mRunning; }

  /** @return true when a slot is free and the server accepts requests */
  bool HasFreeSlot(instant aNow) const noexcept;

  /** Records that a request is sent. */
  void RecordStart(instant aNow) noexcept;

  /**
   * Records the end of a request.
   *
   * @param aIsSuccess false for a failure or an answer with a status of 500 or more
   * @param aLatency latency of the request; for a failure the whole time up to its deadline, so
   * that a server that fails fast does not appear to be fast
   * @param aNow current time
   */
  void RecordEnd(bool aIsSuccess, microseconds aLatency, instant aNow) noexcept;

  /** Records that this VM closed the connection of a request, which may run on. Its slot counts as
   * used until a later load report. */
  void RecordAbandoned(instant aNow);

  /** Releases the slot of a request that ended without a latency sample, e.g. because it was
   * refused. */
  void ReleaseSlot(bool aIsSuccess, instant aNow) noexcept;

  /** Marks the server as possibly crashed; it gets no requests until ClearSuspicion(). */
  void MarkSuspected() noexcept { mIsSuspected = true; }
  /** Ends the suspicion, after an announcement has shown in which run the server is. */
  void ClearSuspicion() noexcept { mIsSuspected = false; }

  /** @return true when most of the recent requests failed */
  bool IsOutlier() const noexcept;
  /** Ejects the server: it gets no requests for kEjectionTime. */
  void Eject(instant aNow) noexcept;
  bool IsEjected(instant aNow) const noexcept { return mEjectedUntil > aNow; }

  /**
   * Computes the cost of sending one more request; the server with the lowest cost gets it.
   *
   * @param aTypicalLatency mean latency of the service
   * @return expected load times latency; only comparable between servers of one service
   */
  double GetCost(microseconds aTypicalLatency, instant aNow) const noexcept;

private:
  void RecordOutcome(bool aIsSuccess) noexcept;
  void RecordPeak(instant aNow) noexcept;
  std::uint32_t GetPeak(instant aNow) const noexcept;

  server_announcement mAnnouncement;
  instant mLeaseEndsAt;
  instant mAcceptsFrom;
  /** Start of slow start; instant::min() for a server that was already warm. */
  instant mSlowStartAt = instant::min();
  instant mReportedAt;
  /** Running requests in the last load report that this VM did not send. */
  std::uint32_t mForeignRequests = 0;
  std::uint32_t mRunning = 0;
  /** Times at which connections of unfinished requests were closed. */
  std::vector<instant> mAbandoned;
  /** Maximum numbers of running requests in the current and the previous interval. A load report
   * arrives with a delay, so it is compared with the recent maximum. */
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
