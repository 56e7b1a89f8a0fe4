#include "citronpulley/limits/grant_authority.h"
#include "citronpulley/limits/token_pool.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/**
 * @file
 * Simulates rate limits in virtual time and prints one JSON object per line. The argument selects a
 * measurement: `refusals`, `fairness` or `cost`; without an argument all three run.
 */

using namespace citronpulley;

namespace {

constexpr std::int64_t kSecondUs = 1'000'000;
/** Step of the virtual time. */
constexpr std::int64_t kTickUs = 5'000;
/** A request that got no token within this time is refused. */
constexpr std::int64_t kMaxWaitUs = 150'000;
constexpr std::size_t kRegions = 3;

instant MakeInstant(std::int64_t aTime)
{
  return instant(microseconds(aTime));
}

/** Token bucket with a rate in tokens per second and times in microseconds. */
struct token_bucket
{
  double mRate = 0;
  double mBurst = 0;
  double mLevel = 0;
  std::int64_t mRefilledAt = 0;

  void Advance(std::int64_t aNow)
  {
    mLevel = std::min(mBurst, mLevel + mRate * static_cast<double>(aNow - mRefilledAt) / kSecondUs);
    mRefilledAt = aNow;
  }
};

/** Limit of a workspace and the load that its callers offer. */
struct workspace_load
{
  std::string mName;
  double mRate = 0;
  double mBurst = 0;
  /** Requests per second that the callers send. */
  double mRequestRate = 0;
};

struct workspace_result
{
  std::uint64_t mRequests = 0;
  std::uint64_t mRefused = 0;
  /** Refused although a single bucket for the whole fleet would still have had a token. */
  std::uint64_t mWronglyRefused = 0;
  std::vector<std::int64_t> mWaitsUs;
};

/**
 * How the tokens of a workspace reach the entry VMs: by grants of the control VM, as equal static
 * shares, or as one bucket for all requests. With `OnThreeVms`, only one VM per region serves.
 */
enum class strategy
{
  GrantsOnDemand,
  StaticShares,
  GrantsOnThreeVms,
  StaticSharesOnThreeVms,
  CentralBucket,
};

struct scenario
{
  strategy mStrategy = strategy::GrantsOnDemand;
  std::size_t mVms = 24;
  std::int64_t mDurationUs = 0;
  std::vector<workspace_load> mWorkspaces;
};

/**
 * Simulation of entry VMs, each with its token pool, and one granting VM in the first region.
 * Requests arrive as Poisson processes and are distributed unevenly over the VMs. A reference
 * bucket per workspace that counts the spends of all VMs shows which refusals were inside the rate.
 */
class fleet_simulation
{
public:
  explicit fleet_simulation(scenario aScenario)
    : mScenario(std::move(aScenario))
    , mAuthority(vm_name("control"), 1)
    , mVms(mScenario.mVms)
    , mResults(mScenario.mWorkspaces.size())
  {
    catalogue content;
    for (const workspace_load& load : mScenario.mWorkspaces) {
      content.mWorkspaces.push_back({ workspace_name(load.mName), load.mRate, load.mBurst });
      mReferenceBuckets.push_back({ load.mRate, load.mBurst, 0, 0 });
      const double fraction = mScenario.mStrategy == strategy::CentralBucket
                                ? 1.0
                                : 1.0 / static_cast<double>(CountServingVms());
      for (simulated_vm& vm : mVms) {
        vm.mShares.push_back({ load.mRate * fraction, load.mBurst * fraction, 0, 0 });
        vm.mPendingArrivals.emplace_back();
      }
    }
    mAuthority.SetCatalogue(content, MakeInstant(0));
  }

  void Run()
  {
    std::vector<double> weights;
    for (std::size_t index = 0; index < mVms.size(); ++index) {
      // The second zone of a region and every second VM of a zone get a tenth of the usual weight.
      const std::size_t indexInRegion = index / kRegions;
      const bool isColdZone = indexInRegion % 2 == 1;
      const bool isColdVm = (indexInRegion / 2) % 2 == 1;
      weights.push_back((isColdZone ? 0.1 : 1.0) * (isColdVm ? 0.1 : 1.0));
    }
    std::discrete_distribution<std::size_t> pickVm(weights.begin(), weights.end());
    // Arrivals start after 5 s. By then, the granting VM has passed the time during which a new
    // leader grants nothing, and the buckets are full.
    std::vector<double> nextArrivals;
    for (const workspace_load& load : mScenario.mWorkspaces) {
      nextArrivals.push_back(5 * kSecondUs + PickInterarrivalTime(load.mRequestRate));
    }
    for (mNow = 0; mNow < mScenario.mDurationUs; mNow += kTickUs) {
      mAuthority.ConfirmLeadership(1, MakeInstant(mNow), MakeInstant(mNow));
      for (std::size_t index = 0; index < nextArrivals.size(); ++index) {
        for (; nextArrivals[index] < static_cast<double>(mNow);
             nextArrivals[index] +=
             PickInterarrivalTime(mScenario.mWorkspaces[index].mRequestRate)) {
          HandleArrival(
            RouteToVm(pickVm(mRandom)), index, static_cast<std::int64_t>(nextArrivals[index]));
        }
      }
      DeliverDueMessages();
      for (std::size_t index = 0; index < mVms.size(); ++index) {
        Tick(index);
      }
    }
  }

  const std::vector<workspace_result>& GetResults() const { return mResults; }
  std::uint64_t GetMessages() const { return mMessages; }
  std::uint64_t GetGrants() const { return mGrants; }
  std::chrono::nanoseconds GetAuthorityTime() const { return mAuthorityTime; }
  std::chrono::nanoseconds GetTokenPoolTime() const { return mTokenPoolTime; }

private:
  struct simulated_vm
  {
    token_pool mTokenPool;
    std::vector<token_bucket> mShares;
    std::vector<std::deque<std::int64_t>> mPendingArrivals;
  };

  /** Message on its way between the granting VM and an entry VM. */
  struct message
  {
    std::int64_t mArrivesAt = 0;
    std::size_t mVm = 0;
    std::variant<grant_request, grant_reply> mContent;

    bool operator>(const message& aOther) const { return mArrivesAt > aOther.mArrivesAt; }
  };

  bool HasGrants() const
  {
    return mScenario.mStrategy == strategy::GrantsOnDemand ||
           mScenario.mStrategy == strategy::GrantsOnThreeVms;
  }

  std::size_t CountServingVms() const
  {
    const bool isConcentrated = mScenario.mStrategy == strategy::GrantsOnThreeVms ||
                                mScenario.mStrategy == strategy::StaticSharesOnThreeVms;
    return isConcentrated ? kRegions : mVms.size();
  }

  std::size_t RouteToVm(std::size_t aVm) const
  {
    if (mScenario.mStrategy == strategy::CentralBucket) {
      return 0;
    }
    return CountServingVms() == kRegions ? aVm % kRegions : aVm;
  }

  double PickInterarrivalTime(double aPerSecond)
  {
    return std::exponential_distribution<double>(aPerSecond / kSecondUs)(mRandom);
  }

  /** @return one-way delay in microseconds between an entry VM and the granting VM */
  std::int64_t GetNetworkDelay(std::size_t aVm) const
  {
    return aVm % kRegions == 0 ? 1'500 : 20'000;
  }

  bool TrySpend(std::size_t aVm, std::size_t aWorkspace, bool aIsRetry)
  {
    simulated_vm& vm = mVms[aVm];
    token_bucket& share = vm.mShares[aWorkspace];
    share.Advance(mNow);
    const auto start = std::chrono::steady_clock::now();
    const bool isSpent =
      HasGrants()
        ? vm.mTokenPool.TrySpend({ { "workspace:" + mScenario.mWorkspaces[aWorkspace].mName, 1 } },
                                 aIsRetry,
                                 MakeInstant(mNow))
        : share.mLevel >= 1;
    mTokenPoolTime += std::chrono::steady_clock::now() - start;
    if (isSpent) {
      share.mLevel -= 1;
      mReferenceBuckets[aWorkspace].Advance(mNow);
      mReferenceBuckets[aWorkspace].mLevel -= 1;
    }
    return isSpent;
  }

  void HandleArrival(std::size_t aVm, std::size_t aWorkspace, std::int64_t aArrivedAt)
  {
    ++mResults[aWorkspace].mRequests;
    std::deque<std::int64_t>& pending = mVms[aVm].mPendingArrivals[aWorkspace];
    if (TrySpend(aVm, aWorkspace, false)) {
      mResults[aWorkspace].mWaitsUs.push_back(mNow - kTickUs > aArrivedAt ? mNow - aArrivedAt : 0);
    } else {
      pending.push_back(aArrivedAt);
    }
  }

  void Tick(std::size_t aVm)
  {
    simulated_vm& vm = mVms[aVm];
    for (std::size_t index = 0; index < vm.mPendingArrivals.size(); ++index) {
      std::deque<std::int64_t>& pending = vm.mPendingArrivals[index];
      workspace_result& result = mResults[index];
      while (!pending.empty() && TrySpend(aVm, index, true)) {
        result.mWaitsUs.push_back(mNow - pending.front());
        pending.pop_front();
      }
      if (pending.size() > 1) {
        vm.mTokenPool.AddNeededTokens("workspace:" + mScenario.mWorkspaces[index].mName,
                                      static_cast<double>(pending.size() - 1));
      }
      for (; !pending.empty() && pending.front() + kMaxWaitUs <= mNow; pending.pop_front()) {
        ++result.mRefused;
        mReferenceBuckets[index].Advance(mNow);
        result.mWronglyRefused += mReferenceBuckets[index].mLevel >= 1 ? 1 : 0;
      }
    }
    if (!HasGrants()) {
      return;
    }
    const auto start = std::chrono::steady_clock::now();
    std::vector<grant_request> requests = vm.mTokenPool.MakeRequests(1, MakeInstant(mNow));
    mTokenPoolTime += std::chrono::steady_clock::now() - start;
    for (grant_request& request : requests) {
      Send(aVm, mNow, std::move(request));
    }
  }

  void Send(std::size_t aVm, std::int64_t aNow, std::variant<grant_request, grant_reply> aContent)
  {
    ++mMessages;
    mQueue.push({ aNow + GetNetworkDelay(aVm), aVm, std::move(aContent) });
  }

  void DeliverDueMessages()
  {
    while (!mQueue.empty() && mQueue.top().mArrivesAt <= mNow) {
      const message delivered = mQueue.top();
      mQueue.pop();
      const auto start = std::chrono::steady_clock::now();
      if (const auto* request = std::get_if<grant_request>(&delivered.mContent)) {
        grant_reply reply =
          mAuthority.HandleRequest(vm_name("entry-" + std::to_string(delivered.mVm)),
                                   *request,
                                   MakeInstant(delivered.mArrivesAt));
        mAuthorityTime += std::chrono::steady_clock::now() - start;
        mGrants += static_cast<std::uint64_t>(
          std::count_if(reply.mGrants.begin(), reply.mGrants.end(), [](const auto& aGrant) {
            return aGrant.mTokens > 0;
          }));
        Send(delivered.mVm, delivered.mArrivesAt, std::move(reply));
      } else {
        mVms[delivered.mVm].mTokenPool.Receive(std::get<grant_reply>(delivered.mContent),
                                               MakeInstant(delivered.mArrivesAt));
        mTokenPoolTime += std::chrono::steady_clock::now() - start;
      }
    }
  }

  scenario mScenario;
  std::mt19937_64 mRandom{ 7 };
  grant_authority mAuthority;
  std::vector<simulated_vm> mVms;
  std::vector<token_bucket> mReferenceBuckets;
  std::vector<workspace_result> mResults;
  std::priority_queue<message, std::vector<message>, std::greater<>> mQueue;
  std::int64_t mNow = 0;
  std::uint64_t mMessages = 0;
  std::uint64_t mGrants = 0;
  std::chrono::nanoseconds mAuthorityTime{ 0 };
  std::chrono::nanoseconds mTokenPoolTime{ 0 };
};

double ComputePercent(std::uint64_t aCount, std::uint64_t aTotal)
{
  return aTotal == 0 ? 0 : 100.0 * static_cast<double>(aCount) / static_cast<double>(aTotal);
}

/** @param aWaits waiting times in microseconds */
double ComputeWaitQuantileMs(std::vector<std::int64_t> aWaits, double aQuantile)
{
  if (aWaits.empty()) {
    return 0;
  }
  const auto position = aWaits.begin() + static_cast<std::ptrdiff_t>(
                                           aQuantile * static_cast<double>(aWaits.size() - 1));
  std::nth_element(aWaits.begin(), position, aWaits.end());
  return static_cast<double>(*position) / 1000;
}

void MeasureRefusals()
{
  for (const double rate : { 20.0, 100.0, 500.0, 2000.0 }) {
    for (const double burstSeconds : { 1.0, 0.2 }) {
      for (const auto& [name, kind] : std::vector<std::pair<std::string_view, strategy>>{
             { "central_bucket", strategy::CentralBucket },
             { "grants_on_demand", strategy::GrantsOnDemand },
             { "static_shares", strategy::StaticShares },
             { "grants_on_three_vms", strategy::GrantsOnThreeVms },
             { "static_shares_on_three_vms", strategy::StaticSharesOnThreeVms } }) {
        const auto seconds = static_cast<std::int64_t>(60'000 / (0.8 * rate));
        fleet_simulation simulation({ kind,
                                      24,
                                      (5 + seconds) * kSecondUs,
                                      { { "a", rate, burstSeconds * rate, 0.8 * rate } } });
        simulation.Run();
        const workspace_result& result = simulation.GetResults()[0];
        std::printf("{\"measure\":\"refusals\",\"strategy\":\"%s\",\"rate\":%g,\"burst_s\":%g,"
                    "\"requests\":%llu,\"refused_percent\":%.3f,\"wrongly_refused_percent\":%.3f,"
                    "\"wait_p50_ms\":%.1f,\"wait_p99_ms\":%.1f,\"messages_per_request\":%.2f}\n",
                    std::string(name).c_str(),
                    rate,
                    burstSeconds,
                    static_cast<unsigned long long>(result.mRequests),
                    ComputePercent(result.mRefused, result.mRequests),
                    ComputePercent(result.mWronglyRefused, result.mRequests),
                    ComputeWaitQuantileMs(result.mWaitsUs, 0.5),
                    ComputeWaitQuantileMs(result.mWaitsUs, 0.99),
                    static_cast<double>(simulation.GetMessages()) /
                      static_cast<double>(result.mRequests));
        std::fflush(stdout);
      }
    }
  }
}

void MeasureFairness()
{
  for (const double factor : { 0.8, 10.0 }) {
    scenario content{ strategy::GrantsOnDemand, 24, 65 * kSecondUs, {} };
    content.mWorkspaces.push_back({ "hot", 500, 500, 500 * factor });
    for (const char* name : { "b", "c", "d" }) {
      content.mWorkspaces.push_back({ name, 200, 200, 160 });
    }
    fleet_simulation simulation(content);
    simulation.Run();
    for (std::size_t index = 0; index < content.mWorkspaces.size(); ++index) {
      const workspace_result& result = simulation.GetResults()[index];
      std::printf("{\"measure\":\"fairness\",\"hot_load_factor\":%g,\"workspace\":\"%s\","
                  "\"requests\":%llu,\"refused_percent\":%.3f,\"served_per_s\":%.1f,"
                  "\"wait_p50_ms\":%.1f,\"wait_p99_ms\":%.1f}\n",
                  factor,
                  content.mWorkspaces[index].mName.c_str(),
                  static_cast<unsigned long long>(result.mRequests),
                  ComputePercent(result.mRefused, result.mRequests),
                  static_cast<double>(result.mWaitsUs.size()) / 60,
                  ComputeWaitQuantileMs(result.mWaitsUs, 0.5),
                  ComputeWaitQuantileMs(result.mWaitsUs, 0.99));
    }
  }
}

void MeasureCost()
{
  for (const std::size_t vms : { 24U, 100U, 400U, 1000U }) {
    for (const double factor : { 0.8, 3.0 }) {
      const double rate = 20.0 * static_cast<double>(vms);
      constexpr std::int64_t kSeconds = 10;
      fleet_simulation simulation({ strategy::GrantsOnDemand,
                                    vms,
                                    (5 + kSeconds) * kSecondUs,
                                    { { "a", rate, rate, factor * rate } } });
      simulation.Run();
      const auto messages = static_cast<double>(simulation.GetMessages());
      std::printf(
        "{\"measure\":\"cost\",\"holders\":%zu,\"load_factor\":%g,\"rate\":%g,"
        "\"refused_percent\":%.3f,\"messages_per_s\":%.0f,"
        "\"messages_per_holder_and_s\":%.1f,\"grants_per_s\":%.0f,"
        "\"granting_us_per_request\":%.2f,\"granting_core_percent\":%.2f,"
        "\"holding_core_percent_per_vm\":%.3f}\n",
        vms,
        factor,
        rate,
        ComputePercent(simulation.GetResults()[0].mRefused, simulation.GetResults()[0].mRequests),
        messages / kSeconds,
        messages / kSeconds / static_cast<double>(vms),
        static_cast<double>(simulation.GetGrants()) / kSeconds,
        static_cast<double>(simulation.GetAuthorityTime().count()) / 1e3 / (messages / 2),
        static_cast<double>(simulation.GetAuthorityTime().count()) / 1e7 / kSeconds,
        static_cast<double>(simulation.GetTokenPoolTime().count()) / 1e7 / kSeconds /
          static_cast<double>(vms));
      std::fflush(stdout);
    }
  }
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  const std::string_view measurement = aArgumentCount > 1 ? aArguments[1] : "";
  if (measurement.empty() || measurement == "refusals") {
    MeasureRefusals();
  }
  if (measurement.empty() || measurement == "fairness") {
    MeasureFairness();
  }
  if (measurement.empty() || measurement == "cost") {
    MeasureCost();
  }
  return 0;
}
