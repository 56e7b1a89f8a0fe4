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
  void CountRequest(std::string_view aOutcome, microseconds aTook);

  /** Counts the end of an attempt at a backend server. */
  void CountAttempt(std::string_view aOutcome, microseconds aTook);

  /** Counts a call of an operator or a backend server. */
  void CountCall(std::string_view aCall, unsigned aStatus);

  void SetGauge(const std::string& aName, double aValue);

  /** @return all values as text */
  std::string Write() const;

  /** @return what serves the text as `GET /metrics`; `aRefresh` sets the gauges before */
  std::shared_ptr<http_session_context> MakeContext(std::function<void()> aRefresh);

private:
  struct families;

  std::unique_ptr<families> mFamilies;
};

} // namespace citronpulley

#endif
