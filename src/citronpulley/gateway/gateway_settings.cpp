#include "citronpulley/gateway/gateway_settings.h"

#include <charconv>
#include <cmath>
#include <stdexcept>
#include <toml++/toml.h>

namespace citronpulley {

namespace {

/**
 * A lease is shorter by this than the bound within which a withdrawn key must stop working, to
 * allow for the transit time of a request.
 */
constexpr microseconds kLeaseMargin{ 200'000 };

/** Range of `memory_mb`: the process alone takes some MB. */
constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kMaxMemoryMb = 1'048'576;

/** Missing or invalid setting. */
class settings_error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

template<typename Value>
Value Read(const toml::table& aTable, std::string_view aKey)
{
  const toml::node_view<const toml::node> node = aTable.at_path(aKey);
  const std::optional<Value> value = node.value<Value>();
  if (!value) {
    const std::string fault = node ? " (line " + std::to_string(node.node()->source().begin.line) +
                                       ") has the wrong type; expected " +
                                       (std::is_same_v<Value, std::string> ? "a string"
                                        : std::is_same_v<Value, bool>      ? "a boolean"
                                                                           : "an integer")
                                   : " is missing";
    throw settings_error("setting " + std::string(aKey) + fault + " in the settings file");
  }
  return *value;
}

microseconds ReadDuration(const toml::table& aTable, std::string_view aKey, microseconds aDefault)
{
  if (!aTable.at_path(aKey)) {
    return aDefault;
  }
  const auto text = Read<std::string>(aTable, aKey);
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [last, code] = std::from_chars(text.data(), end, number);
  const std::string_view unit(last, static_cast<std::size_t>(end - last));
  if (code != std::errc{} || number < 0 || (unit != "ms" && unit != "s")) {
    throw settings_error("setting " + std::string(aKey) + " is \"" + text.substr(0, 64) +
                         "\"; expected a duration such as 1500ms or 2.5s");
  }
  return microseconds(std::llround(number * (unit == "s" ? 1e6 : 1e3)));
}

std::string ReadIp(const toml::table& aTable)
{
  return Read<std::string>(aTable, "ip");
}

/**
 * @return internal addresses of the control VMs: the IP addresses of `control_vms`, which lists the
 * addresses for operators, with the port `internal_port`
 */
std::vector<vm_name> ReadSeeds(const toml::table& aTable)
{
  const std::string port = std::to_string(Read<std::int64_t>(aTable, "internal_port"));
  std::vector<vm_name> seeds;
  const toml::array* addresses = aTable["control_vms"].as_array();
  if (addresses == nullptr) {
    throw settings_error("setting control_vms must be an array of strings IP:port");
  }
  for (const toml::node& element : *addresses) {
    const std::optional<std::string> address = element.value<std::string>();
    if (!address) {
      throw settings_error("setting control_vms must contain only strings IP:port (line " +
                           std::to_string(element.source().begin.line) + ")");
    }
    seeds.emplace_back(address->substr(0, address->rfind(':')) + ":" + port);
  }
  return seeds;
}

vm_name ReadInternalAddress(const toml::table& aTable)
{
  return vm_name(ReadIp(aTable) + ":" +
                 std::to_string(Read<std::int64_t>(aTable, "internal_port")));
}

/**
 * @return time from the proof of an update for which an entry VM may use its keys and rates; at
 * least 500 ms
 */
microseconds ReadLease(const toml::table& aTable)
{
  const microseconds withdrawalBound =
    ReadDuration(aTable, "bounds.key_withdrawal", microseconds{ 5'000'000 });
  return std::max(withdrawalBound - kLeaseMargin, microseconds{ 500'000 });
}

/** @return `memory_mb` in bytes */
std::size_t ReadMemoryBytes(const toml::table& aTable)
{
  if (!aTable["memory_mb"]) {
    return kDefaultMemoryBytes;
  }
  const auto megabytes = Read<std::int64_t>(aTable, "memory_mb");
  if (megabytes < kMinMemoryMb || megabytes > kMaxMemoryMb) {
    throw settings_error("setting memory_mb is " + std::to_string(megabytes) + "; expected " +
                         std::to_string(kMinMemoryMb) + " to " + std::to_string(kMaxMemoryMb));
  }
  return static_cast<std::size_t>(megabytes) * 1'024 * 1'024;
}

template<typename Settings, typename FillSettings>
result<Settings> ReadFile(const std::string& aPath, const FillSettings& aFillSettings)
{
  try {
    const toml::table table = toml::parse_file(aPath);
    Settings settings;
    aFillSettings(table, settings);
    return settings;
  } catch (const toml::parse_error& failure) {
    return MakeError(error_code::InvalidText,
                     step::ReadSettings,
                     aPath + ":" + std::to_string(failure.source().begin.line),
                     std::string(failure.description()));
  } catch (const settings_error& failure) {
    return MakeError(error_code::InvalidText, step::ReadSettings, aPath, failure.what());
  }
}

} // namespace

result<entry_gateway_settings> ReadEntryGatewaySettings(const std::string& aPath)
{
  return ReadFile<entry_gateway_settings>(
    aPath, [](const toml::table& aTable, entry_gateway_settings& aSettings) {
      aSettings.mName = Read<std::string>(aTable, "vm");
      entry_location& location = aSettings.mSteering.mLocation;
      location.mVm = ReadInternalAddress(aTable);
      location.mZone = zone_name(Read<std::string>(aTable, "zone"));
      location.mRegion = region_name(Read<std::string>(aTable, "region"));
      location.mCallerAddress = Read<std::string>(aTable, "caller_address");
      aSettings.mReadyAddress = Read<std::string>(aTable, "ready_address");
      aSettings.mMetricsAddress = aTable["metrics_address"].value_or(std::string());
      aSettings.mMemoryBytes = ReadMemoryBytes(aTable);
      aSettings.mControlVms = ReadSeeds(aTable);
      aSettings.mGracePeriod = ReadDuration(aTable, "bounds.grace", aSettings.mGracePeriod);
      aSettings.mSteering.mLease = ReadLease(aTable);
      const toml::table* zones = aTable["zones"].as_table();
      if (zones == nullptr) {
        throw settings_error("the table [zones] is missing; it maps each zone to its region");
      }
      for (const auto& [zone, region] : *zones) {
        aSettings.mSteering.mRegions.emplace(zone_name(std::string(zone.str())),
                                             region_name(region.value_or(std::string())));
      }
    });
}

result<control_gateway_settings> ReadControlGatewaySettings(const std::string& aPath)
{
  return ReadFile<control_gateway_settings>(
    aPath, [](const toml::table& aTable, control_gateway_settings& aSettings) {
      aSettings.mName = Read<std::string>(aTable, "vm");
      aSettings.mControl.mSelf = ReadInternalAddress(aTable);
      aSettings.mControl.mSeeds = ReadSeeds(aTable);
      aSettings.mControl.mLease = ReadLease(aTable);
      quota_bounds& quota = aSettings.mControl.mQuota;
      quota.mWindow = ReadDuration(aTable, "bounds.rate_window", quota.mWindow);
      quota.mOverage = aTable.at_path("bounds.rate_overage").value_or(quota.mOverage);
      quota.mSlack = aTable.at_path("bounds.rate_slack").value_or(quota.mSlack);
      aSettings.mMetricsAddress = aTable["metrics_address"].value_or(std::string());
      aSettings.mControlAddress = Read<std::string>(aTable, "control_address");
      aSettings.mDirectoryAddress = Read<std::string>(aTable, "directory_address");
      aSettings.mDataFolder = Read<std::string>(aTable, "data_folder");
      aSettings.mIsFirstStart = Read<bool>(aTable, "first_start");
    });
}

} // namespace citronpulley
