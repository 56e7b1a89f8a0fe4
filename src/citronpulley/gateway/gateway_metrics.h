#ifndef CITRONPULLEY_GATEWAY_GATEWAY_METRICS_H
#define CITRONPULLEY_GATEWAY_GATEWAY_METRICS_H

#include "citronpulley/base/instant.h"
#include "citronpulley/gateway/http_session.h"

#include <memory>
#include <string>
#include <string_view>

namespace citronpulley {

/** Counters, gauges and latency histograms of a process, in the text format of Prometheus. */
class gateway_metrics
{
public:
  gateway_metrics();
  ~gateway_metrics();
  gateway_metrics(const gateway_metrics&) = delete;
  gateway_metrics& operator=(const gateway_metrics&) = delete;

  /** Counts the end of a request of a caller; the outcome is `answered` or a refusal's reason. */
  void RecordRequest(std::string_view aOutcome, microseconds aDuration);

  /** Counts the end of an attempt at a backend server. */
  void RecordAttempt(std::string_view aOutcome, microseconds aDuration);

  /** Counts a call of an operator or a backend server. */
  void RecordCall(std::string_view aCall, unsigned aStatus);

  void SetGauge(const std::string& aName, double aValue);

  /** @return all values as text */
  std::string FormatText() const;

  /** @return what serves the text as `GET /metrics`; `aRefresh` sets the gauges before */
  std::shared_ptr<http_session_context> MakeSessionContext(std::function<void()> aRefresh);

private:
  struct families;

  std::unique_ptr<families> mFamilies;
};

} // namespace citronpulley

#endif
