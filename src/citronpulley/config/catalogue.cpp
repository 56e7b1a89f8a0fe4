#include "citronpulley/config/catalogue.h"

#include "citronpulley/base/ipv4_block.h"
#include "citronpulley/config/toml_reader.h"

#include <algorithm>
#include <map>
#include <set>

namespace citronpulley {

namespace {

constexpr std::int64_t kMaxDeadlineMilliseconds = 600'000;
constexpr std::int64_t kDefaultDeadlineMilliseconds = 5'000;
constexpr std::int64_t kDefaultIdempotencyWindowSeconds = 3'600;
constexpr std::int64_t kMaxIdempotencyWindowSeconds = 86'400;
constexpr std::int64_t kMaxConnections = 1'000'000;

template<typename Entry, typename Name>
const Entry* FindByName(const std::vector<Entry>& aEntries, const Name& aName) noexcept
{
  const auto found = std::find_if(
    aEntries.begin(), aEntries.end(), [&](const Entry& aEntry) { return aEntry.mName == aName; });
  return found == aEntries.end() ? nullptr : &*found;
}

/** Reads the key `name` and reports a fault when the name is already in aSeen. */
template<typename Name>
Name ReadUniqueName(toml_reader& aReader, std::set<std::string>& aSeen)
{
  std::string value = aReader.RequireString("name");
  if (!value.empty() && !aSeen.insert(value).second) {
    aReader.Report("name", "\"" + value + "\" a second time", "a name that is used once");
  }
  return Name(std::move(value));
}

double ReadPositiveNumber(toml_reader& aReader, std::string_view aKey)
{
  const double value = aReader.ReadNumber(aKey, 0);
  if (value <= 0) {
    aReader.Report(aKey, "zero or nothing", "a number above zero");
  }
  return value;
}

std::vector<region_entry> ReadRegions(toml_reader& aReader)
{
  std::vector<region_entry> regions;
  std::set<std::string> names;
  std::set<std::string> zones;
  aReader.ReadTables("regions", [&](toml_reader& aTable) {
    region_entry region;
    region.mName = ReadUniqueName<region_name>(aTable, names);
    region.mCapacityPerSecond = ReadPositiveNumber(aTable, "capacity_per_second");
    for (std::string& zone : aTable.ReadStrings("zones")) {
      if (!zones.insert(zone).second) {
        aTable.Report("zones", "\"" + zone + "\" a second time", "zones that are used once");
      }
      region.mZones.emplace_back(std::move(zone));
    }
    if (region.mZones.empty()) {
      aTable.Report("zones", "no zone", "at least one zone");
    }
    regions.push_back(std::move(region));
  });
  return regions;
}

std::vector<link_entry> ReadLinks(toml_reader& aReader)
{
  std::vector<link_entry> links;
  aReader.ReadTables("links", [&](toml_reader& aTable) {
    link_entry link;
    link.mFrom = region_name(aTable.RequireString("from"));
    link.mTo = region_name(aTable.RequireString("to"));
    link.mGigabitsPerSecond = ReadPositiveNumber(aTable, "gigabits_per_second");
    link.mOneWayMilliseconds = aTable.ReadNumber("one_way_ms", 0);
    links.push_back(std::move(link));
  });
  return links;
}

service_route ReadRoute(toml_reader& aReader)
{
  service_route route;
  route.mPathPrefix = aReader.RequireString("path");
  if (!route.mPathPrefix.empty() && route.mPathPrefix.front() != '/') {
    aReader.Report("path", "\"" + route.mPathPrefix + "\"", "a path that begins with /");
  }
  route.mMethods = aReader.ReadStrings("methods");
  route.mIsIdempotent = aReader.ReadBoolean("idempotent", false);
  route.mIsOpen = aReader.ReadBoolean("open", false);
  route.mAllowsUrgent = aReader.ReadBoolean("urgent", false);
  route.mDeadlineMilliseconds = aReader.ReadInteger(
    "deadline_ms", { 1, kMaxDeadlineMilliseconds }, kDefaultDeadlineMilliseconds);
  if (route.mIsOpen && !route.mIsIdempotent) {
    // Idempotency keys are scoped by workspace, and a request on an open route has no workspace.
    aReader.Report("open", "true on a route that is not idempotent", "an idempotent route");
  }
  return route;
}

std::vector<service_entry> ReadServices(toml_reader& aReader)
{
  std::vector<service_entry> services;
  std::set<std::string> names;
  aReader.ReadTables("services", [&](toml_reader& aTable) {
    service_entry service;
    service.mName = ReadUniqueName<service_name>(aTable, names);
    service.mMaxConnections = aTable.ReadInteger("max_connections", { 1, kMaxConnections }, 650);
    service.mShiftCapPercentPerMinute = ReadPositiveNumber(aTable, "shift_cap_percent_per_minute");
    service.mEmergencyCapPercentPerMinute =
      aTable.ReadNumber("emergency_cap_percent_per_minute", service.mShiftCapPercentPerMinute);
    aTable.ReadTables("depends_on", [&](toml_reader& aDependency) {
      service.mDependencies.push_back({ service_name(aDependency.RequireString("service")),
                                        aDependency.ReadNumber("calls_per_request", 1.0) });
    });
    aTable.ReadTables("routes",
                      [&](toml_reader& aRoute) { service.mRoutes.push_back(ReadRoute(aRoute)); });
    if (service.mRoutes.empty()) {
      aTable.Report("routes", "no route", "at least one route");
    }
    services.push_back(std::move(service));
  });
  return services;
}

std::vector<workspace_entry> ReadWorkspaces(toml_reader& aReader)
{
  std::vector<workspace_entry> workspaces;
  std::set<std::string> names;
  aReader.ReadTables("workspaces", [&](toml_reader& aTable) {
    workspace_entry workspace;
    workspace.mName = ReadUniqueName<workspace_name>(aTable, names);
    workspace.mRatePerSecond = ReadPositiveNumber(aTable, "rate_per_second");
    workspace.mBurst = ReadPositiveNumber(aTable, "burst");
    workspaces.push_back(std::move(workspace));
  });
  return workspaces;
}

steering_weights ReadWeights(toml_reader& aReader)
{
  steering_weights weights;
  aReader.ReadTables("weights", [&](toml_reader& aTable) {
    weights.mLatency = aTable.ReadNumber("latency", 1);
    weights.mWorstWorkspace = aTable.ReadNumber("worst_workspace", 1);
    weights.mRefusals = aTable.ReadNumber("refusals", 1);
    weights.mHeadroom = aTable.ReadNumber("headroom", 1);
  });
  return weights;
}

void CheckRegionReference(toml_reader& aReader,
                          const catalogue& aCatalogue,
                          std::string_view aKey,
                          const region_name& aName)
{
  if (!aName.IsEmpty() && aCatalogue.FindRegion(aName) == nullptr) {
    aReader.Report(aKey, "\"" + aName.mValue + "\"", "a region of this text");
  }
}

/** Reports dependencies on unknown services and dependency cycles. Stops at the first cycle, so
 * that the services after it are not checked. */
void CheckDependencies(toml_reader& aReader, const catalogue& aCatalogue)
{
  enum class visit_state
  {
    Unvisited,
    InProgress,
    Done
  };
  std::map<service_name, visit_state> states;
  const std::function<bool(const service_entry&)> hasCycle = [&](const service_entry& aService) {
    visit_state& state = states[aService.mName];
    if (state != visit_state::Unvisited) {
      return state == visit_state::InProgress;
    }
    state = visit_state::InProgress;
    for (const service_dependency& dependency : aService.mDependencies) {
      const service_entry* next = aCatalogue.FindService(dependency.mService);
      if (next != nullptr && hasCycle(*next)) {
        return true;
      }
    }
    states[aService.mName] = visit_state::Done;
    return false;
  };
  for (const service_entry& service : aCatalogue.mServices) {
    for (const service_dependency& dependency : service.mDependencies) {
      if (aCatalogue.FindService(dependency.mService) == nullptr) {
        aReader.Report("services",
                       "\"" + service.mName.mValue + "\" depends on \"" +
                         dependency.mService.mValue + "\"",
                       "a dependency on a service of this text");
      }
    }
    if (hasCycle(service)) {
      aReader.Report(
        "services", "a cycle through \"" + service.mName.mValue + "\"", "no cyclic dependencies");
      return;
    }
  }
}

void CheckReferences(toml_reader& aReader, const catalogue& aCatalogue)
{
  for (const link_entry& link : aCatalogue.mLinks) {
    CheckRegionReference(aReader, aCatalogue, "links", link.mFrom);
    CheckRegionReference(aReader, aCatalogue, "links", link.mTo);
  }
  for (const client_block& block : aCatalogue.mClientBlocks) {
    CheckRegionReference(aReader, aCatalogue, "client_blocks", block.mRegion);
  }
  for (const region_name& region : aCatalogue.mDrainedRegions) {
    CheckRegionReference(aReader, aCatalogue, "drained_regions", region);
  }
  for (const zone_name& zone : aCatalogue.mDrainedZones) {
    if (aCatalogue.FindRegionOfZone(zone) == nullptr) {
      aReader.Report("drained_zones", "\"" + zone.mValue + "\"", "a zone of this text");
    }
  }
  CheckDependencies(aReader, aCatalogue);
}

template<typename Name>
std::vector<Name> ToNames(std::vector<std::string> aValues)
{
  std::vector<Name> names;
  names.reserve(aValues.size());
  for (std::string& value : aValues) {
    names.emplace_back(std::move(value));
  }
  return names;
}

} // namespace

const service_entry* catalogue::FindService(const service_name& aName) const noexcept
{
  return FindByName(mServices, aName);
}

const workspace_entry* catalogue::FindWorkspace(const workspace_name& aName) const noexcept
{
  return FindByName(mWorkspaces, aName);
}

const region_entry* catalogue::FindRegion(const region_name& aName) const noexcept
{
  return FindByName(mRegions, aName);
}

const region_entry* catalogue::FindRegionOfZone(const zone_name& aZone) const noexcept
{
  for (const region_entry& region : mRegions) {
    if (std::find(region.mZones.begin(), region.mZones.end(), aZone) != region.mZones.end()) {
      return &region;
    }
  }
  return nullptr;
}

double catalogue::GetOneWayMilliseconds(const region_name& aFrom,
                                        const region_name& aTo) const noexcept
{
  for (const link_entry& link : mLinks) {
    const bool isForward = link.mFrom == aFrom && link.mTo == aTo;
    const bool isReverse = link.mFrom == aTo && link.mTo == aFrom;
    if (isForward || isReverse) {
      return link.mOneWayMilliseconds;
    }
  }
  return 0;
}

const service_route* FindRoute(const service_entry& aService,
                               std::string_view aMethod,
                               std::string_view aPath) noexcept
{
  const service_route* best = nullptr;
  for (const service_route& route : aService.mRoutes) {
    const bool isMethod =
      route.mMethods.empty() ||
      std::find(route.mMethods.begin(), route.mMethods.end(), aMethod) != route.mMethods.end();
    if (!isMethod || !aPath.starts_with(route.mPathPrefix)) {
      continue;
    }
    if (best == nullptr || route.mPathPrefix.size() > best->mPathPrefix.size()) {
      best = &route;
    }
  }
  return best;
}

std::optional<catalogue> ParseCatalogue(std::string_view aText,
                                        const std::string& aFile,
                                        config_faults& aFaults,
                                        const std::vector<std::string>& aPolicies)
{
  const std::size_t faultsBefore = aFaults.size();
  toml_reader reader(aText, aFile, aFaults);
  if (!reader.IsParsed()) {
    return std::nullopt;
  }
  catalogue content;
  content.mDeployment = reader.RequireString("deployment");
  content.mRoutingPolicy = reader.ReadString("routing_policy", "weighted");
  if (!aPolicies.empty() &&
      std::find(aPolicies.begin(), aPolicies.end(), content.mRoutingPolicy) == aPolicies.end()) {
    std::string expected = "one of";
    for (const std::string& policy : aPolicies) {
      expected += " " + policy;
    }
    reader.Report("routing_policy", "\"" + content.mRoutingPolicy + "\"", std::move(expected));
  }
  content.mIdempotencyWindowSeconds = reader.ReadInteger("idempotency_window_seconds",
                                                         { 60, kMaxIdempotencyWindowSeconds },
                                                         kDefaultIdempotencyWindowSeconds);
  content.mWeights = ReadWeights(reader);
  content.mRegions = ReadRegions(reader);
  content.mLinks = ReadLinks(reader);
  content.mServices = ReadServices(reader);
  content.mWorkspaces = ReadWorkspaces(reader);
  reader.ReadTables("client_blocks", [&](toml_reader& aTable) {
    content.mClientBlocks.push_back(
      { aTable.RequireString("network"), region_name(aTable.RequireString("region")) });
    const std::string& network = content.mClientBlocks.back().mNetwork;
    const result<ipv4_block> block = ParseIpv4Block(network);
    if (!network.empty() && !block) {
      aTable.Report("network", block.GetError().mMessage, "an IPv4 block such as \"10.2.0.0/16\"");
    }
  });
  content.mDrainedRegions = ToNames<region_name>(reader.ReadStrings("drained_regions"));
  content.mDrainedZones = ToNames<zone_name>(reader.ReadStrings("drained_zones"));
  if (content.mRegions.empty()) {
    reader.Report("regions", "no region", "at least one region");
  }
  if (content.mServices.empty()) {
    reader.Report("services", "no service", "at least one service");
  }
  CheckReferences(reader, content);
  reader.CheckUnknownKeys();
  if (aFaults.size() != faultsBefore) {
    return std::nullopt;
  }
  return content;
}

} // namespace citronpulley
