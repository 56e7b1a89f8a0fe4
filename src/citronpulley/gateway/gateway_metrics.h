#ifndef CITRONPULLEY_GATEWAY_GATEWAY_METRICS_H
#define CITRONPULLEY_GATEWAY_GATEWAY_METRICS_H

#include "citronpulley/base/instant.h"
#include "citronpulley/gateway/http_session.h"

#include <memory>
#include <string>
#include <string_view>

namespace citronpulley {

/** Counters, gauges and latency histograms of a process in the Prometheus text format. */
class gateway_metrics
{
public:
  gateway_metrics();
  ~gateway_metrics();
  gateway_metrics(const gateway_metrics&) = delete;
  gateway_metrics& operator=(const gateway_metrics&) = delete;

  /** Records the end of a caller's request: `answered`, `caller_left` or the refusal reason. */
  void RecordRequest(std::string_view aOutcome, microseconds aDuration);

  /** Records the end of an attempt at a backend server. */
  void RecordAttempt(std::string_view aOutcome, microseconds aDuration);

  /** Records a call of an operator, a backend server or a caller that looks up entry VMs. */
  void RecordCall(std::string_view aCall, unsigned aStatus);

  /** @param aName metric name without the prefix `citronpulley_` */
  void SetGauge(const std::string& aName, double aValue);

  /** @return all metrics in the Prometheus text format */
  std::string FormatText() const;

  /**
   * @param aRefresh called before each response to update the gauges
   * @return session context for a listener that serves `GET /metrics`
   */
  std::shared_ptr<http_session_context> MakeSessionContext(std::function<void()> aRefresh);

private:
  struct families;

  std::unique_ptr<families> mFamilies;
};

} // namespace citronpulley

#endif
