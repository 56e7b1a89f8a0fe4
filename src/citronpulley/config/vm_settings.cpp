#include "citronpulley/config/vm_settings.h"

#include "citronpulley/config/toml_reader.h"

#include <arpa/inet.h>

#include <set>

namespace citronpulley {

namespace {

constexpr toml_reader::bounds kPortBounds{ 1, 65'535 };
constexpr toml_reader::bounds kByteBounds{ 1'024, 1'073'741'824 };
constexpr toml_reader::bounds kMillisecondBounds{ 10, 3'600'000 };

std::string ReadAddress(toml_reader& aReader)
{
  std::string address = aReader.RequireString("address");
  in_addr parsed{};
  if (!address.empty() && inet_pton(AF_INET, address.c_str(), &parsed) != 1) {
    aReader.Report("address", "\"" + address + "\"", "an IPv4 address such as 10.0.0.1");
  }
  return address;
}

std::uint16_t ReadPort(toml_reader& aReader, std::string_view aKey)
{
  return static_cast<std::uint16_t>(aReader.RequireInteger(aKey, kPortBounds));
}

caller_limits ReadLimits(toml_reader& aReader)
{
  caller_limits limits;
  aReader.ReadTables("limits", [&](toml_reader& aTable) {
    limits.mMaxHeaderBytes =
      aTable.ReadInteger("max_header_bytes", kByteBounds, limits.mMaxHeaderBytes);
    limits.mMaxBodyBytes = aTable.ReadInteger("max_body_bytes", kByteBounds, limits.mMaxBodyBytes);
    limits.mMaxAnswerBytes =
      aTable.ReadInteger("max_answer_bytes", kByteBounds, limits.mMaxAnswerBytes);
    limits.mReadTimeoutMilliseconds =
      aTable.ReadInteger("read_timeout_ms", kMillisecondBounds, limits.mReadTimeoutMilliseconds);
    limits.mIdleTimeoutMilliseconds =
      aTable.ReadInteger("idle_timeout_ms", kMillisecondBounds, limits.mIdleTimeoutMilliseconds);
    limits.mMaxConnections =
      aTable.ReadInteger("max_connections", { 1, 1'000'000 }, limits.mMaxConnections);
  });
  return limits;
}

std::vector<control_vm> ReadControlVms(toml_reader& aReader)
{
  std::vector<control_vm> vms;
  std::set<std::string> names;
  aReader.ReadTables("control_vms", [&](toml_reader& aTable) {
    control_vm vm;
    vm.mVm = vm_name(aTable.RequireString("vm"));
    if (!names.insert(vm.mVm.mValue).second) {
      aTable.Report("vm", "\"" + vm.mVm.mValue + "\" a second time", "a VM that is listed once");
    }
    vm.mAddress = ReadAddress(aTable);
    vm.mPeerPort = ReadPort(aTable, "peer_port");
    vms.push_back(std::move(vm));
  });
  if (vms.empty()) {
    aReader.Report("control_vms", "no control VM", "at least one control VM");
  }
  return vms;
}

} // namespace

std::optional<vm_settings> ParseVmSettings(std::string_view aText,
                                           const std::string& aFile,
                                           vm_role aRole,
                                           config_faults& aFaults)
{
  const std::size_t faultsBefore = aFaults.size();
  toml_reader reader(aText, aFile, aFaults);
  if (!reader.IsParsed()) {
    return std::nullopt;
  }
  vm_settings settings;
  settings.mDeployment = reader.RequireString("deployment");
  settings.mVm = vm_name(reader.RequireString("vm"));
  settings.mZone = zone_name(reader.RequireString("zone"));
  settings.mRegion = region_name(reader.RequireString("region"));
  settings.mAddress = ReadAddress(reader);
  settings.mHttpPort = ReadPort(reader, "http_port");
  settings.mPeerPort = ReadPort(reader, "peer_port");
  if (settings.mHttpPort == settings.mPeerPort) {
    reader.Report("peer_port", std::to_string(settings.mPeerPort), "a port other than http_port");
  }
  settings.mSecretFile = reader.RequireString("secret_file");
  if (aRole == vm_role::Control) {
    settings.mDataFolder = reader.RequireString("data_folder");
    settings.mOperatorKeyFile = reader.RequireString("operator_key_file");
  }
  settings.mControlVms = ReadControlVms(reader);
  settings.mLimits = ReadLimits(reader);
  reader.CheckUnknownKeys();
  if (aFaults.size() != faultsBefore) {
    return std::nullopt;
  }
  return settings;
}

} // namespace citronpulley
