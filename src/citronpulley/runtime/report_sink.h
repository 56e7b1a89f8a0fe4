#ifndef CITRONPULLEY_RUNTIME_REPORT_SINK_H
#define CITRONPULLEY_RUNTIME_REPORT_SINK_H

#include "citronpulley/base/error.h"
#include "citronpulley/node/node_actions.h"

#include <functional>
#include <memory>
#include <string>

namespace citronpulley {

/**
 * Writes the logs, spans and metrics of a process on a thread of its own. Log lines, requests and
 * gauges that do not fit into its bounded inbox are dropped and counted, so that reporting never
 * delays requests. Thread-safe.
 */
class report_sink
{
public:
  /** @param aVm name of the VM, which each log line and span contains */
  explicit report_sink(const std::string& aVm);
  ~report_sink();
  report_sink(const report_sink&) = delete;
  report_sink& operator=(const report_sink&) = delete;

  /** Writes a log line. */
  void Log(write_log aLine);

  /** Writes a span and, for the hop `entry`, updates the request metrics. */
  void RecordRequest(record_request aRecord);

  /** Sets the value of a gauge on the metrics page. */
  void SetGauge(set_gauge aGauge);

  /**
   * Counts a refused frame, or a connection that could not be opened, by its error code. To bound
   * the log, only one in a thousand of each code is logged, starting with the first.
   */
  void CountRefusedFrame(const error& aError);

  /** Formats the metrics page and passes it to a callback on the thread of the sink. */
  void FormatMetrics(std::function<void(std::string)> aOnReady);

private:
  struct impl;

  std::unique_ptr<impl> mImpl;
};

} // namespace citronpulley

#endif
