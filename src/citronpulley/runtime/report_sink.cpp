#include "citronpulley/runtime/report_sink.h"

#include "citronpulley/runtime/event_loop_thread.h"
#include "citronpulley/runtime/thread_inbox.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/json.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <atomic>
#include <iostream>
#include <map>
#include <sstream>
#include <utility>
#include <variant>

namespace citronpulley {

namespace {

namespace acc = boost::accumulators;

using latency_statistics = acc::accumulator_set<
  double,
  acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::p_square_quantile>>;

constexpr std::size_t kInboxCapacity = 16'384;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::uint64_t kRefusalsPerLogLine = 1'000;

/** Latency statistics of one set of labels, in seconds. */
struct latency_series
{
  latency_statistics mMedian{ acc::quantile_probability = 0.5 };
  latency_statistics mP99{ acc::quantile_probability = 0.99 };

  void Add(double aSeconds)
  {
    mMedian(aSeconds);
    mP99(aSeconds);
  }
};

boost::log::trivial::severity_level ToSeverity(log_level aLevel) noexcept
{
  switch (aLevel) {
    case log_level::Warning:
      return boost::log::trivial::warning;
    case log_level::Error:
      return boost::log::trivial::error;
    default:
      return boost::log::trivial::info;
  }
}

void InitialiseLog()
{
  static const bool sIsInitialised = [] {
    namespace expr = boost::log::expressions;
    boost::log::add_common_attributes();
    boost::log::add_console_log(
      std::clog,
      boost::log::keywords::format =
        (expr::stream << expr::format_date_time<boost::posix_time::ptime>("TimeStamp",
                                                                          "%Y-%m-%dT%H:%M:%S.%f")
                      << " " << boost::log::trivial::severity << " " << expr::smessage),
      boost::log::keywords::auto_flush = true);
    return true;
  }();
  static_cast<void>(sIsInitialised);
}

} // namespace

struct report_sink::impl
{
  using report = std::variant<write_log, record_request, set_gauge>;

  explicit impl(std::string aVm)
    : mVm(std::move(aVm))
    , mThread("report")
    , mInbox(mThread, kInboxCapacity, [this](const report& aReport) {
      std::visit([this](const auto& aAlternative) { Handle(aAlternative); }, aReport);
    })
  {
  }

  void Push(report aReport)
  {
    if (!mInbox.TryPush(aReport)) {
      mDroppedReports.fetch_add(1);
    }
  }

  void Handle(const write_log& aLine)
  {
    boost::json::object line{ { "vm", mVm }, { "message", aLine.mMessage } };
    if (!aLine.mPeer.empty()) {
      line["peer"] = aLine.mPeer;
    }
    BOOST_LOG_SEV(mLogger, ToSeverity(aLine.mLevel)) << boost::json::serialize(line);
  }

  void Handle(const record_request& aRecord)
  {
    const double seconds =
      static_cast<double>((aRecord.mEndedAt - aRecord.mStartedAt).count()) / kMicrosecondsPerSecond;
    const std::string service = aRecord.mService.mValue;
    if (aRecord.mHop == "entry") {
      ++mRequests["service=\"" + service + "\",code=\"" + aRecord.mCode + "\""];
      if (aRecord.mCode == "ok") {
        mLatency["service=\"" + service + "\""].Add(seconds);
        if (!aRecord.mWorkspace.IsEmpty()) {
          mWorkspaceLatency[aRecord.mWorkspace.mValue].Add(seconds);
        }
      }
      mRefusedInsideRate += aRecord.mIsRefusedInsideRate ? 1 : 0;
    }
    // The field names follow the JSON encoding of OpenTelemetry spans.
    const boost::json::object span{ { "traceId", aRecord.mTraceId },
                                    { "spanId", aRecord.mSpanId },
                                    { "parentSpanId", aRecord.mParentSpanId },
                                    { "name", aRecord.mHop + " " + service },
                                    { "durationMicros",
                                      (aRecord.mEndedAt - aRecord.mStartedAt).count() },
                                    { "attributes",
                                      { { "vm", mVm },
                                        { "workspace", aRecord.mWorkspace.mValue },
                                        { "server", aRecord.mServer.mValue },
                                        { "status", aRecord.mStatus },
                                        { "code", aRecord.mCode },
                                        { "attempts", aRecord.mAttempts } } } };
    BOOST_LOG_SEV(mLogger, boost::log::trivial::debug) << boost::json::serialize(span);
  }

  void Handle(const set_gauge& aGauge)
  {
    mGauges[aGauge.mName + (aGauge.mLabels.empty() ? "" : "{" + aGauge.mLabels + "}")] =
      aGauge.mValue;
  }

  static void WriteLatency(std::ostream& aText,
                           const std::string& aName,
                           const std::string& aLabels,
                           const latency_series& aSeries)
  {
    aText << aName << "{" << aLabels << ",quantile=\"0.5\"} "
          << acc::p_square_quantile(aSeries.mMedian) << "\n"
          << aName << "{" << aLabels << ",quantile=\"0.99\"} "
          << acc::p_square_quantile(aSeries.mP99) << "\n"
          << aName << "_sum{" << aLabels << "} " << acc::sum(aSeries.mMedian) << "\n"
          << aName << "_count{" << aLabels << "} " << acc::count(aSeries.mMedian) << "\n"
          << aName << "_max{" << aLabels << "} " << acc::max(aSeries.mMedian) << "\n";
  }

  std::string FormatMetrics() const
  {
    std::ostringstream text;
    for (const auto& [labels, count] : mRequests) {
      text << "citronpulley_requests_total{" << labels << "} " << count << "\n";
    }
    for (const auto& [labels, series] : mLatency) {
      WriteLatency(text, "citronpulley_latency_seconds", labels, series);
    }
    double worst = 0;
    std::string worstName;
    for (const auto& [workspace, series] : mWorkspaceLatency) {
      WriteLatency(
        text, "citronpulley_workspace_latency_seconds", "workspace=\"" + workspace + "\"", series);
      const double p99 = acc::p_square_quantile(series.mP99);
      if (p99 >= worst) {
        worst = p99;
        worstName = workspace;
      }
    }
    text << "citronpulley_worst_served_workspace_seconds{workspace=\"" << worstName << "\"} "
         << worst << "\n"
         << "citronpulley_requests_refused_inside_rate_total " << mRefusedInsideRate << "\n";
    for (const auto& [name, value] : mGauges) {
      text << "citronpulley_" << name << " " << value << "\n";
    }
    for (const auto& [code, count] : mRefusedFrames) {
      text << "citronpulley_refused_frames_total{code=\"" << code << "\"} " << count << "\n";
    }
    text << "citronpulley_dropped_reports_total " << mDroppedReports.load() << "\n";
    return text.str();
  }

  std::string mVm;
  boost::log::sources::severity_logger<boost::log::trivial::severity_level> mLogger;
  std::map<std::string, std::uint64_t> mRequests;
  std::map<std::string, latency_series> mLatency;
  std::map<std::string, latency_series> mWorkspaceLatency;
  std::map<std::string, double> mGauges;
  std::map<std::string, std::uint64_t> mRefusedFrames;
  std::uint64_t mRefusedInsideRate = 0;
  std::atomic<std::uint64_t> mDroppedReports{ 0 };
  event_loop_thread mThread;
  thread_inbox<report> mInbox;
};

report_sink::report_sink(const std::string& aVm)
{
  InitialiseLog();
  mImpl = std::make_unique<impl>(aVm);
}

report_sink::~report_sink()
{
  mImpl->mThread.Stop();
}

void report_sink::Log(write_log aLine)
{
  mImpl->Push(std::move(aLine));
}

void report_sink::RecordRequest(record_request aRecord)
{
  mImpl->Push(std::move(aRecord));
}

void report_sink::SetGauge(set_gauge aGauge)
{
  mImpl->Push(std::move(aGauge));
}

void report_sink::CountRefusedFrame(const error& aError)
{
  mImpl->mThread.Post([this, aError] {
    const std::uint64_t count = ++mImpl->mRefusedFrames[aError.mCode.message()];
    if (count % kRefusalsPerLogLine == 1) {
      mImpl->Handle(write_log{ log_level::Warning,
                               "a frame was refused or a connection could not be opened: " +
                                 aError.mCode.message() + ": " + aError.mMessage,
                               aError.mPeer });
    }
  });
}

void report_sink::FormatMetrics(std::function<void(std::string)> aOnReady)
{
  mImpl->mThread.Post([this, onReady = std::move(aOnReady)] { onReady(mImpl->FormatMetrics()); });
}

} // namespace citronpulley
