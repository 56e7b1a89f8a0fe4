#include "citronpulley/node/operator_api.h"

#include "citronpulley/base/overloaded.h"
#include "citronpulley/node/caller_request.h"

#include <boost/json.hpp>

#include <optional>
#include <utility>

namespace citronpulley {

namespace {

constexpr std::string_view kKeysPrefix = "/v1/keys/";
constexpr std::string_view kQuarantinePrefix = "/v1/quarantine/";
constexpr std::string_view kKeyPrefix = "cpk_";
constexpr std::size_t kMinSecretLength = 32;

error MakeOperationError(error_code aCode, std::string aMessage)
{
  return MakeError(aCode, step::Submit, "", std::move(aMessage));
}

http_answer MakeJsonAnswer(std::uint16_t aStatus, const boost::json::value& aBody)
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           boost::json::serialize(aBody) + "\n" };
}

result<boost::json::object> ParseObject(const std::string& aBody)
{
  boost::system::error_code failure;
  boost::json::value document = boost::json::parse(aBody, failure);
  if (failure || !document.is_object()) {
    return MakeOperationError(error_code::BadRequest, "the body is not a JSON object");
  }
  return std::move(document.get_object());
}

std::string GetText(const boost::json::object& aObject, std::string_view aName)
{
  const boost::json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

result<operator_operation> ParseSubmission(const std::string& aBody)
{
  const result<boost::json::object> object = ParseObject(aBody);
  if (!object) {
    return object.GetError();
  }
  submit_configuration submission;
  submission.mSubmission = submission_id(GetText(object.Get(), "submission"));
  submission.mText = GetText(object.Get(), "text");
  const boost::json::value* version = object.Get().if_contains("expected_version");
  if (submission.mSubmission.IsEmpty() || version == nullptr || !version->is_int64() ||
      version->get_int64() < 0) {
    return MakeOperationError(error_code::BadRequest,
                              "submission (text) and expected_version (integer) are needed");
  }
  submission.mExpectedVersion = static_cast<std::uint64_t>(version->get_int64());
  return operator_operation(propose_change{ std::move(submission) });
}

result<operator_operation> ParseNewKey(const std::string& aBody, std::string_view aDeploymentSecret)
{
  const result<boost::json::object> object = ParseObject(aBody);
  if (!object) {
    return object.GetError();
  }
  const std::string key = GetText(object.Get(), "key");
  const std::string workspace = GetText(object.Get(), "workspace");
  const std::size_t separator = key.find('_', kKeyPrefix.size());
  if (workspace.empty() || !key.starts_with(kKeyPrefix) || separator == std::string::npos ||
      separator == kKeyPrefix.size() || key.size() < separator + 1 + kMinSecretLength) {
    return MakeOperationError(
      error_code::BadRequest,
      "workspace and key (cpk_<id>_<secret>, with a secret of 32 characters or more) are needed");
  }
  give_key change;
  change.mKey = key_id(key.substr(kKeyPrefix.size(), separator - kKeyPrefix.size()));
  change.mWorkspace = workspace_name(workspace);
  change.mDigest = ComputeKeyDigest(key.substr(separator + 1), aDeploymentSecret);
  return operator_operation(propose_change{ std::move(change) });
}

std::optional<digest> ParseFingerprint(std::string_view aText)
{
  digest value;
  if (aText.size() != value.mBytes.size() * 2) {
    return std::nullopt;
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  for (std::size_t index = 0; index < aText.size(); ++index) {
    const std::size_t digit = kDigits.find(aText[index]);
    if (digit == std::string_view::npos) {
      return std::nullopt;
    }
    std::uint8_t& byte = value.mBytes[index / 2];
    byte = static_cast<std::uint8_t>(byte << 4U | digit);
  }
  return value;
}

result<operator_operation> ParseDeletion(std::string_view aTarget)
{
  if (aTarget.starts_with(kKeysPrefix) && aTarget.size() > kKeysPrefix.size()) {
    return operator_operation(
      propose_change{ withdraw_key{ key_id(std::string(aTarget.substr(kKeysPrefix.size()))) } });
  }
  if (aTarget.starts_with(kQuarantinePrefix)) {
    const auto fingerprint = ParseFingerprint(aTarget.substr(kQuarantinePrefix.size()));
    if (!fingerprint) {
      return MakeOperationError(error_code::BadRequest, "a fingerprint has 32 hexadecimal digits");
    }
    return operator_operation(propose_change{ clear_quarantine{ *fingerprint } });
  }
  return MakeOperationError(error_code::NotFound, "no such method and path");
}

} // namespace

result<operator_operation> ParseOperation(const http_request_received& aRequest,
                                          std::string_view aDeploymentSecret)
{
  const std::string& target = aRequest.mTarget;
  if (aRequest.mMethod == "DELETE") {
    return ParseDeletion(target);
  }
  if (aRequest.mMethod == "POST" && target == "/v1/config") {
    return ParseSubmission(aRequest.mBody);
  }
  if (aRequest.mMethod == "POST" && target == "/v1/keys") {
    return ParseNewKey(aRequest.mBody, aDeploymentSecret);
  }
  if (aRequest.mMethod == "GET" && target == "/v1/config") {
    return operator_operation(read_configuration{});
  }
  if (aRequest.mMethod == "GET" && target == "/v1/keys") {
    return operator_operation(list_keys{});
  }
  if (aRequest.mMethod == "GET" && target == "/v1/quarantine") {
    return operator_operation(list_quarantine{});
  }
  if (aRequest.mMethod == "GET" && target == "/v1/fleet") {
    return operator_operation(read_fleet{});
  }
  return MakeOperationError(error_code::NotFound, "no such method and path");
}

http_answer MakeFaultsAnswer(const config_faults& aFaults)
{
  boost::json::array list;
  for (const config_fault& fault : aFaults) {
    list.push_back({ { "file", fault.mFile },
                     { "line", fault.mLine },
                     { "key", fault.mKey },
                     { "found", fault.mFound },
                     { "expected", fault.mExpected },
                     { "text", ToString(fault) } });
  }
  http_answer answer = MakeErrorAnswer(
    MakeOperationError(error_code::InvalidText, "the text has faults and changes nothing"),
    request_outcome::NotRun);
  boost::json::object body = boost::json::parse(answer.mBody).as_object();
  body["faults"] = std::move(list);
  return MakeJsonAnswer(answer.mStatus, body);
}

http_answer MakeChangeAnswer(const apply_result& aResult)
{
  return std::visit(
    overloaded{ [](const submit_result& aSubmission) {
                 const boost::json::object body{ { "accepted", aSubmission.mIsAccepted },
                                                 { "version", aSubmission.mVersion },
                                                 { "digest", ToHex(aSubmission.mDigest) } };
                 return MakeJsonAnswer(aSubmission.mIsAccepted ? 200 : 409, body);
               },
                [](const change_result& aChange) {
                  return MakeJsonAnswer(aChange.mIsApplied ? 200 : 404,
                                        { { "applied", aChange.mIsApplied } });
                },
                [](const auto&) { return MakeJsonAnswer(200, boost::json::object()); } },
    aResult);
}

http_answer MakeConfigurationAnswer(const configuration_record& aConfiguration)
{
  return MakeJsonAnswer(200,
                        { { "version", aConfiguration.mVersion },
                          { "digest", ToHex(ComputeDigest(aConfiguration.mText)) },
                          { "text", aConfiguration.mText } });
}

http_answer MakeKeysAnswer(const control_state& aState)
{
  boost::json::array list;
  for (const auto& [id, key] : aState.GetKeys()) {
    list.push_back({ { "key", id.mValue }, { "workspace", key.mWorkspace.mValue } });
  }
  return MakeJsonAnswer(200, { { "keys", std::move(list) } });
}

http_answer MakeQuarantineAnswer(const control_state& aState)
{
  boost::json::array list;
  for (const auto& [fingerprint, suspect] : aState.GetSuspects().GetAll()) {
    list.push_back({ { "fingerprint", ToHex(fingerprint) },
                     { "crashes_with_others", suspect.mSharedCrashes },
                     { "crashes_alone", suspect.mLoneCrashes },
                     { "quarantined", suspect.mIsQuarantined } });
  }
  return MakeJsonAnswer(200, { { "requests", std::move(list) } });
}

http_answer MakeFleetAnswer(const fleet_status& aStatus)
{
  boost::json::array vms;
  for (const vm_record& vm : aStatus.mVms) {
    vms.push_back({ { "vm", vm.mVm.mValue },
                    { "zone", vm.mZone.mValue },
                    { "region", vm.mRegion.mValue },
                    { "address", vm.mAddress + ":" + std::to_string(vm.mHttpPort) },
                    { "stopping", vm.mIsStopping } });
  }
  boost::json::array zones;
  for (const zone_summary& zone : aStatus.mZones) {
    zones.push_back({ { "zone", zone.mZone.mValue },
                      { "service", zone.mService.mValue },
                      { "servers", zone.mServers },
                      { "slots", zone.mSlots },
                      { "running", zone.mRunning } });
  }
  return MakeJsonAnswer(200,
                        { { "control_vm", aStatus.mSelf.mValue },
                          { "leader", aStatus.mLeader.mValue },
                          { "index", aStatus.mIndex },
                          { "configuration_version", aStatus.mConfigurationVersion },
                          { "entry_vms", std::move(vms) },
                          { "zones", std::move(zones) } });
}

} // namespace citronpulley
