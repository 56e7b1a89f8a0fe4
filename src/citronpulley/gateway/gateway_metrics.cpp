#include "citronpulley/gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <utility>

namespace citronpulley {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

/** Bucket bounds in seconds, dense in the range of the latency objectives of requests. */
const Histogram::BucketBoundaries kLatencyBounds{ 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3,
                                                  0.4,  0.6,   0.8,  1.2, 2,    4,   8 };

double ToSeconds(microseconds aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e6;
}

Family<Histogram>& AddHistogram(prometheus::Registry& aRegistry,
                                const std::string& aName,
                                const std::string& aHelp)
{
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(aRegistry);
}

Family<Counter>& AddCounter(prometheus::Registry& aRegistry,
                            const std::string& aName,
                            const std::string& aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

} // namespace

struct gateway_metrics::families
{
  prometheus::Registry mRegistry;
  Family<Histogram>& mRequests{
    AddHistogram(mRegistry, "citronpulley_request_seconds", "Requests of callers, by outcome")
  };
  Family<Histogram>& mAttempts{ AddHistogram(mRegistry,
                                             "citronpulley_attempt_seconds",
                                             "Attempts at backend servers, by outcome") };
  Family<Counter>& mCalls{ AddCounter(mRegistry,
                                      "citronpulley_calls_total",
                                      "Calls of operators and backend servers, by status") };
};

gateway_metrics::gateway_metrics()
  : mFamilies(std::make_unique<families>())
{
}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::RecordRequest(std::string_view aOutcome, microseconds aDuration)
{
  mFamilies->mRequests.Add({ { "outcome", std::string(aOutcome) } }, kLatencyBounds)
    .Observe(ToSeconds(aDuration));
}

void gateway_metrics::RecordAttempt(std::string_view aOutcome, microseconds aDuration)
{
  mFamilies->mAttempts.Add({ { "outcome", std::string(aOutcome) } }, kLatencyBounds)
    .Observe(ToSeconds(aDuration));
}

void gateway_metrics::RecordCall(std::string_view aCall, unsigned aStatus)
{
  mFamilies->mCalls.Add({ { "call", std::string(aCall) }, { "status", std::to_string(aStatus) } })
    .Increment();
}

void gateway_metrics::SetGauge(const std::string& aName, double aValue)
{
  prometheus::BuildGauge()
    .Name("citronpulley_" + aName)
    .Help(aName)
    .Register(mFamilies->mRegistry)
    .Add({})
    .Set(aValue);
}

std::string gateway_metrics::FormatText() const
{
  return prometheus::TextSerializer().Serialize(mFamilies->mRegistry.Collect());
}

std::shared_ptr<http_session_context> gateway_metrics::MakeSessionContext(
  std::function<void()> aRefresh)
{
  auto context = std::make_shared<http_session_context>();
  context->mLimits = [] { return caller_limits{}; };
  context->mOnRequest =
    [this, refresh = std::move(aRefresh)](const std::shared_ptr<inbound_request>& aRequest) {
      if (aRequest->mMessage.mMethod != "GET" || aRequest->mMessage.GetPath() != "/metrics") {
        aRequest->Respond(MakeResponse(404));
        return;
      }
      refresh();
      http_response response = MakeResponse(200);
      response.mFields = { { "Content-Type", "text/plain; version=0.0.4" } };
      response.mBody = FormatText();
      aRequest->Respond(response);
    };
  return context;
}

} // namespace citronpulley
