#include "citronpulley/routing/client_block_table.h"
#include "citronpulley/routing/entry_vm_order.h"
#include "citronpulley/routing/shift_controller.h"
#include "citronpulley/routing/zone_router.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <new>
#include <random>
#include <string>
#include <vector>

/**
 * @file
 * Benchmarks of the client block table and of a routing decision, each with a baseline, and of the
 * ordering of entry VMs and a step of the shift controller. Counters: `median_ns` and `p99_ns` are
 * quantiles of the time per operation, averaged over batches of 16; `allocations` is the number of
 * heap allocations per operation; `bytes` is the memory held by the table. For benchmarks with
 * `median_ns`, the times that the framework reports are those of a whole batch.
 */

namespace {

std::atomic<std::uint64_t> sAllocations{ 0 };

} // namespace

// Not inlined, because the compiler would warn about operator new paired with an inlined free().
[[gnu::noinline]] void* operator new(std::size_t aSize)
{
  sAllocations.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

[[gnu::noinline]] void operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  std::free(aMemory);
}

namespace {

using namespace citronpulley;

constexpr std::size_t kSites = 360;
constexpr std::size_t kQueries = 1U << 16U;
/** Operations per clock reading; reading the clock costs about as much as one operation. */
constexpr std::size_t kBatch = 16;

/**
 * Makes random blocks with a distribution of lengths like that of address registries: 70 % are /24,
 * 20 % are wider and 10 % narrower. Blocks may be nested.
 */
std::vector<block_mapping> MakeMappings(std::size_t aCount)
{
  std::mt19937_64 random(42);
  std::vector<block_mapping> mappings;
  mappings.reserve(aCount);
  for (std::size_t number = 0; number < aCount; ++number) {
    const std::uint64_t kind = random() % 10;
    const auto length = static_cast<std::uint8_t>(kind < 7   ? 24
                                                  : kind < 9 ? 20 + random() % 4
                                                             : 25 + random() % 8);
    const auto mask = static_cast<ipv4_address>(~std::uint64_t{ 0 } << (32U - length));
    mappings.push_back({ { static_cast<ipv4_address>(random()) & mask, length },
                         static_cast<site_number>(random() % kSites) });
  }
  return mappings;
}

/** Makes random addresses, 90 % of which lie in a block of `aMappings`. */
std::vector<ipv4_address> MakeQueries(const std::vector<block_mapping>& aMappings)
{
  std::mt19937_64 random(43);
  std::vector<ipv4_address> queries(kQueries);
  for (ipv4_address& query : queries) {
    const ipv4_block& block = aMappings[random() % aMappings.size()].mBlock;
    const auto randomAddress = static_cast<ipv4_address>(random());
    query = random() % 10 == 0 ? randomAddress
                               : block.mFirst | (randomAddress & (block.GetLast() - block.mFirst));
  }
  return queries;
}

/**
 * Runs an operation in timed batches and sets the counters `median_ns`, `p99_ns` and `allocations`.
 *
 * @param aOperation called with the number of the operation
 */
template<typename Operation>
void Measure(benchmark::State& aState, const Operation& aOperation)
{
  std::vector<double> samples;
  samples.reserve(1U << 22U);
  std::uint64_t operations = 0;
  for (std::size_t number = 0; number < kBatch; ++number) {
    aOperation(number);
  }
  const std::uint64_t allocationsBefore = sAllocations.load();
  for (auto ignored : aState) {
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t number = 0; number < kBatch; ++number) {
      aOperation(operations++);
    }
    const auto end = std::chrono::steady_clock::now();
    if (samples.size() < samples.capacity()) {
      samples.push_back(std::chrono::duration<double, std::nano>(end - start).count() / kBatch);
    }
  }
  const std::uint64_t allocations = sAllocations.load() - allocationsBefore;
  std::sort(samples.begin(), samples.end());
  aState.SetItemsProcessed(static_cast<std::int64_t>(operations));
  aState.counters["median_ns"] = samples[samples.size() / 2];
  aState.counters["p99_ns"] = samples[samples.size() * 99 / 100];
  aState.counters["allocations"] =
    static_cast<double>(allocations) / static_cast<double>(operations);
}

void BuildTable(benchmark::State& aState)
{
  const std::vector<block_mapping> mappings =
    MakeMappings(static_cast<std::size_t>(aState.range(0)));
  std::size_t bytes = 0;
  std::size_t ranges = 0;
  for (auto ignored : aState) {
    const client_block_table table(mappings);
    bytes = table.GetByteCount();
    ranges = table.GetRangeCount();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["ranges"] = static_cast<double>(ranges);
}

void FindInTable(benchmark::State& aState)
{
  const std::vector<block_mapping> mappings =
    MakeMappings(static_cast<std::size_t>(aState.range(0)));
  const std::vector<ipv4_address> queries = MakeQueries(mappings);
  const client_block_table table(mappings);
  // Each query depends on the previous result, so that the processor cannot overlap look-ups.
  std::size_t offset = 0;
  Measure(aState, [&](std::size_t aNumber) {
    offset = table.Find(queries[(aNumber + offset) % kQueries]).value_or(0);
    benchmark::DoNotOptimize(offset);
  });
  aState.counters["bytes"] = static_cast<double>(table.GetByteCount());
}

/** Baseline: look-up of the same ranges in a `std::map` that is keyed by first address. */
void FindInMap(benchmark::State& aState)
{
  const std::vector<block_mapping> mappings =
    MakeMappings(static_cast<std::size_t>(aState.range(0)));
  const std::vector<ipv4_address> queries = MakeQueries(mappings);
  const client_block_table table(mappings);
  std::map<ipv4_address, site_number> ranges{ { 0, table.Find(0).value_or(0) } };
  for (const block_mapping& mapping : mappings) {
    for (const ipv4_address first : { mapping.mBlock.mFirst, mapping.mBlock.GetLast() + 1 }) {
      ranges[first] = table.Find(first).value_or(0);
    }
  }
  for (const ipv4_address query : queries) {
    if (std::prev(ranges.upper_bound(query))->second != table.Find(query).value_or(0)) {
      aState.SkipWithError("look-ups in the table and in the map give different results");
      return;
    }
  }
  std::size_t offset = 0;
  Measure(aState, [&](std::size_t aNumber) {
    offset = std::prev(ranges.upper_bound(queries[(aNumber + offset) % kQueries]))->second;
    benchmark::DoNotOptimize(offset);
  });
}

constexpr const char* kCatalogueText = R"(
deployment = "bench"
[[regions]]
name = "costa-norte"
zones = ["cn-a", "cn-b"]
capacity_per_second = 4000
[[regions]]
name = "golfo"
zones = ["go-a", "go-b"]
capacity_per_second = 4000
[[regions]]
name = "sierra"
zones = ["si-a", "si-b"]
capacity_per_second = 4000
[[links]]
from = "costa-norte"
to = "golfo"
gigabits_per_second = 4
one_way_ms = 20
[[links]]
from = "costa-norte"
to = "sierra"
gigabits_per_second = 4
one_way_ms = 20
[[services]]
name = "catalogo"
shift_cap_percent_per_minute = 10
[[services.routes]]
path = "/"
[[services]]
name = "pedidos"
shift_cap_percent_per_minute = 10
[[services.depends_on]]
service = "catalogo"
[[services.routes]]
path = "/"
[[services]]
name = "caja"
shift_cap_percent_per_minute = 10
[[services.depends_on]]
service = "pedidos"
[[services.routes]]
path = "/"
)";

/** One routing decision: chooses one of 6 zones by plan and policy, and one of 20 servers. */
void Decide(benchmark::State& aState, const std::string& aPolicy)
{
  config_faults faults;
  const auto content =
    ParseCatalogue("routing_policy = \"" + aPolicy + "\"\n" + kCatalogueText, "bench", faults);
  if (!content) {
    aState.SkipWithError("kCatalogueText is not a valid configuration");
    return;
  }
  const instant now{ microseconds(1'000'000) };
  zone_router router(zone_name("cn-a"), region_name("costa-norte"));
  router.SetCatalogue(*content);
  std::vector<zone_summary> summaries;
  std::vector<region_share> plan;
  for (const service_entry& service : content->mServices) {
    for (const region_entry& region : content->mRegions) {
      for (const zone_name& zone : region.mZones) {
        summaries.push_back({ zone, service.mName, 12, 54, 20 });
      }
      plan.push_back({ service.mName, region_name("costa-norte"), region.mName, 1.0 / 3 });
    }
  }
  router.SetPlan(plan);
  router.UpdateSummaries(summaries, now);
  std::vector<server_candidate> servers;
  for (std::uint32_t number = 0; number < 20; ++number) {
    servers.push_back({ number, 9, number % 9, 0.3, 1 });
  }
  const service_name service("caja");
  const std::set<zone_name> tried;
  std::mt19937_64 random(44);
  Measure(aState, [&](std::size_t /*aNumber*/) {
    const zone_choice choice = router.Choose({ service, 54, 30, tried, true }, now, random());
    benchmark::DoNotOptimize(choice.mZone);
    benchmark::DoNotOptimize(router.ChooseServer(servers, random()));
  });
}

/** Orders the entry VMs for one client query, without formatting the response. */
void OrderVms(benchmark::State& aState)
{
  std::vector<vm_record> fleet(static_cast<std::size_t>(aState.range(0)));
  std::vector<const vm_record*> vms;
  for (std::size_t number = 0; number < fleet.size(); ++number) {
    vm_record& vm = fleet[number];
    vm.mVm = vm_name("entry-vm-" + std::to_string(number));
    vm.mZone = zone_name("zone-" + std::to_string(number % 22));
    vm.mRegion = region_name("region-" + std::to_string(number % 22 % 9));
    vms.push_back(&vm);
  }
  std::size_t client = 0;
  for (auto ignored : aState) {
    const std::string address = "10.0.0." + std::to_string(client++ % 256);
    const entry_vm_query query{ address, region_name("region-3"), zone_name("zone-3") };
    benchmark::DoNotOptimize(OrderEntryVms(vms, query, nullptr, 3));
  }
}

/** One step of the shift controller while a region drains. Arguments: regions, services. */
void AdvanceShift(benchmark::State& aState)
{
  const auto regions = static_cast<std::size_t>(aState.range(0));
  const auto services = static_cast<std::size_t>(aState.range(1));
  catalogue content;
  std::vector<zone_summary> zones;
  std::vector<region_demand> demands;
  for (std::size_t region = 0; region < regions; ++region) {
    const std::string name = "region-" + std::to_string(region);
    content.mRegions.push_back({ region_name(name), { zone_name(name + "-a") }, 1e5 });
  }
  for (std::size_t number = 0; number < services; ++number) {
    const service_name service("service-" + std::to_string(number));
    content.mServices.push_back({ service, {}, {}, 100, 10, 10 });
    for (const region_entry& region : content.mRegions) {
      zones.push_back({ region.mZones[0], service, 12, 100, 40 });
      demands.push_back({ service, region.mName, 100 });
    }
  }
  shift_controller controller;
  instant now{ microseconds(1'000'000) };
  std::vector<region_share> plan;
  const auto step = [&] {
    plan = controller.Advance({ content, zones, demands, plan }, now).mPlan;
    now += microseconds(1'000'000);
  };
  for (int warmUp = 0; warmUp < 5; ++warmUp) {
    step();
  }
  content.mDrainedRegions = { content.mRegions[0].mName };
  for (auto ignored : aState) {
    step();
  }
  aState.counters["shares"] = static_cast<double>(plan.size());
}

void AddSizes(benchmark::internal::Benchmark* aBenchmark)
{
  for (const std::int64_t count : { 10'000, 100'000, 600'000, 1'200'000 }) {
    aBenchmark->Arg(count);
  }
}

BENCHMARK(BuildTable)->Apply(AddSizes)->Unit(benchmark::kMillisecond);
BENCHMARK(FindInTable)->Apply(AddSizes);
BENCHMARK(FindInMap)->Apply(AddSizes);
BENCHMARK(OrderVms)->Arg(24)->Arg(240)->Arg(1'300)->Arg(2'600)->Unit(benchmark::kMicrosecond);
BENCHMARK(AdvanceShift)
  ->Args({ 3, 3 })
  ->Args({ 6, 10 })
  ->Args({ 9, 10 })
  ->Args({ 9, 20 })
  ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(Decide, weighted, "weighted");
BENCHMARK_CAPTURE(Decide, round_robin_baseline, "round_robin");
BENCHMARK_CAPTURE(Decide, nearest_zone, "nearest_zone");
BENCHMARK_CAPTURE(Decide, least_reported_load, "least_reported_load");

} // namespace

BENCHMARK_MAIN();
