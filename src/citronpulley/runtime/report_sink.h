#ifndef CITRONPULLEY_RUNTIME_REPORT_SINK_H
#define CITRONPULLEY_RUNTIME_REPORT_SINK_H

#include "citronpulley/base/error.h"
#include "citronpulley/node/node_actions.h"

#include <functional>
#include <memory>
#include <string>

namespace citronpulley {

/**
 * Logs, spans and metrics of a process, written by a thread of their own. Reports beyond its
 * bounded ring are dropped and counted, so that reporting never slows requests. Thread-safe.
 */
class report_sink
{
public:
  /** @param aVm name of the VM, part of each line */
  explicit report_sink(const std::string& aVm);
  ~report_sink();
  report_sink(const report_sink&) = delete;
  report_sink& operator=(const report_sink&) = delete;

  /** Writes a log line. */
  void Log(write_log aLine);

  /** Counts a request and writes its span. */
  void RecordRequest(record_request aRecord);

  /** Sets a gauge of the metrics page. */
  void SetGauge(set_gauge aGauge);

  /** Counts a refused frame by its code and logs the first of each kind and then one in a thousand.
   */
  void CountRefusedFrame(const error& aError);

  /** Makes the metrics page and passes it to a function, which runs on the sink's thread. */
  void FormatMetrics(std::function<void(std::string)> aOnReady);

private:
  struct impl;

  std::unique_ptr<impl> mImpl;
};

} // namespace citronpulley

#endif
