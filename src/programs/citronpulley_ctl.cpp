#include "citronpulley/config/catalogue.h"
#include "citronpulley/runtime/daemon_options.h"
#include "citronpulley/runtime/http_client.h"
#include "citronpulley/runtime/node_runner.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <sodium.h>

#include <algorithm>
#include <iostream>
#include <sstream>
#include <vector>

using namespace citronpulley;

namespace {

constexpr const char* kUsage = R"(Commands:
  check FILE                 validate a configuration text; needs no control VM
  submit FILE                submit a configuration text that replaces --expected VERSION or,
                             without it, the version in force when the command starts
  show                       print the configuration text in force
  compare FILE               compare a file with the configuration text in force, line by line;
                             exit code 1 if they differ
  key give WORKSPACE         create a key for a workspace and print it; it cannot be shown again
  key withdraw ID            withdraw a key; takes effect everywhere within 2 s of the reply
  key list                   list the keys in force
  drain NAME                 drain a region or zone: add it to the drained ones of the text in force
  undrain NAME               end the drain of a region or zone: remove it from the drained ones
  fleet                      print the state of the fleet
  quarantine list            list requests that are suspected of crashing backend servers
  quarantine clear ID        clear the suspicion against a request
Exit codes: 0 done, 1 refused or failed, 2 wrong usage.
)";

constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kIdBytes = 8;

/** Options that apply to all commands. */
struct command_options
{
  std::vector<std::string> mControlVms;
  std::string mOperatorKey;
  bool mPrintsJson = false;
  std::int64_t mExpectedVersion = -1;
  std::string mSubmission;
};

std::string GenerateHex(std::size_t aBytes)
{
  std::string bytes(aBytes, '\0');
  randombytes_buf(bytes.data(), bytes.size());
  std::string text(aBytes * 2 + 1, '\0');
  sodium_bin2hex(
    text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
  text.pop_back();
  return text;
}

/**
 * Sends a request to the control VMs in turn until one answers with a status other than 503,
 * the status of VMs that are not the leader or not ready.
 *
 * @return that answer, or the last answer or error if there is none
 */
result<http_answer> CallControlVms(const command_options& aOptions,
                                   const std::string& aMethod,
                                   const std::string& aTarget,
                                   const std::string& aBody)
{
  result<http_answer> last =
    MakeError(error_code::BadRequest, step::Connect, "", "no control VM was given; see --control");
  for (const std::string& address : aOptions.mControlVms) {
    http_client_request request{
      address, aMethod, aTarget, { { "Authorization", "Bearer " + aOptions.mOperatorKey } }, aBody
    };
    last = SendHttpRequest(request);
    if (last && last.Get().mStatus != 503) {
      return last;
    }
  }
  return last;
}

/** Prints an answer, errors to the standard error. @return the exit code for it */
int PrintAnswer(const result<http_answer>& aAnswer, const command_options& aOptions)
{
  if (!aAnswer) {
    std::cerr << aAnswer.GetError().mPeer << ": " << aAnswer.GetError().mMessage << "\n";
    return ExitFailure;
  }
  const http_answer& answer = aAnswer.Get();
  const bool isSuccess = answer.mStatus < 300;
  std::ostream& stream = isSuccess ? std::cout : std::cerr;
  boost::system::error_code failure;
  const boost::json::value document = boost::json::parse(answer.mBody, failure);
  if (aOptions.mPrintsJson || failure || !document.is_object()) {
    stream << answer.mBody;
    return isSuccess ? ExitSuccess : ExitFailure;
  }
  for (const auto& [name, value] : document.get_object()) {
    if (!value.is_array()) {
      stream << name << ": "
             << (value.is_string() ? std::string(value.get_string())
                                   : boost::json::serialize(value))
             << "\n";
      continue;
    }
    stream << name << ":\n";
    for (const boost::json::value& row : value.get_array()) {
      stream << "  " << boost::json::serialize(row) << "\n";
    }
  }
  return isSuccess ? ExitSuccess : ExitFailure;
}

/** @return the configuration in force, with the members `version` and `text` */
result<boost::json::object> FetchConfiguration(const command_options& aOptions)
{
  const result<http_answer> answer = CallControlVms(aOptions, "GET", "/v1/config", "");
  if (!answer) {
    return answer.GetError();
  }
  boost::system::error_code failure;
  boost::json::value document = boost::json::parse(answer.Get().mBody, failure);
  if (answer.Get().mStatus != 200 || failure || !document.is_object()) {
    return MakeError(error_code::BadRequest, step::Submit, "", answer.Get().mBody);
  }
  return std::move(document.get_object());
}

/** Prints an error to the standard error. @return the exit code for a failure */
int PrintError(const error& aError)
{
  std::cerr << (aError.mPeer.empty() ? "citronpulley_ctl" : aError.mPeer) << ": " << aError.mMessage
            << "\n";
  return ExitFailure;
}

int Submit(const command_options& aOptions, const std::string& aText, std::int64_t aExpected)
{
  const std::string submission =
    aOptions.mSubmission.empty() ? GenerateHex(kIdBytes) : aOptions.mSubmission;
  const boost::json::object body{ { "submission", submission },
                                  { "expected_version", aExpected },
                                  { "text", aText } };
  const result<http_answer> answer =
    CallControlVms(aOptions, "POST", "/v1/config", boost::json::serialize(body));
  if (!answer) {
    std::cerr
      << "the outcome of the submission is unknown; submit the same text again with --submission "
      << submission << " --expected " << aExpected << "\n";
  }
  return PrintAnswer(answer, aOptions);
}

int SubmitFile(const command_options& aOptions, const std::string& aPath)
{
  const result<std::string> text = ReadFile(aPath);
  if (!text) {
    return PrintError(text.GetError());
  }
  std::int64_t expected = aOptions.mExpectedVersion;
  if (expected < 0) {
    const result<boost::json::object> current = FetchConfiguration(aOptions);
    if (!current) {
      return PrintError(current.GetError());
    }
    expected = current.Get().at("version").to_number<std::int64_t>();
  }
  return Submit(aOptions, text.Get(), expected);
}

int CheckFile(const std::string& aPath)
{
  const result<std::string> text = ReadFile(aPath);
  if (!text) {
    return PrintError(text.GetError());
  }
  config_faults faults;
  ParseCatalogue(text.Get(), aPath, faults);
  for (const config_fault& fault : faults) {
    std::cerr << ToString(fault) << "\n";
  }
  if (faults.empty()) {
    std::cout << "the configuration text is valid\n";
  }
  return faults.empty() ? ExitSuccess : ExitFailure;
}

std::vector<std::string> SplitLines(const std::string& aText)
{
  std::vector<std::string> lines;
  std::istringstream stream(aText);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

int Compare(const command_options& aOptions, const std::string& aPath)
{
  const result<std::string> text = ReadFile(aPath);
  if (!text) {
    return PrintError(text.GetError());
  }
  const result<boost::json::object> current = FetchConfiguration(aOptions);
  if (!current) {
    return PrintError(current.GetError());
  }
  const std::vector<std::string> inForce =
    SplitLines(std::string(current.Get().at("text").as_string()));
  const std::vector<std::string> inFile = SplitLines(text.Get());
  bool isEqual = true;
  for (std::size_t line = 0; line < std::max(inForce.size(), inFile.size()); ++line) {
    const std::string left = line < inForce.size() ? inForce[line] : "";
    const std::string right = line < inFile.size() ? inFile[line] : "";
    if (left != right) {
      isEqual = false;
      std::cout << line + 1 << ": in force: " << left << "\n"
                << line + 1 << ": in file:  " << right << "\n";
    }
  }
  return isEqual ? ExitSuccess : ExitFailure;
}

/**
 * Replaces a top-level array of names in a configuration text, or adds it, and keeps all other
 * lines. An existing array must be on one line.
 */
std::string SetNameList(const std::string& aText,
                        const std::string& aKey,
                        std::vector<std::string> aNames)
{
  std::string line = aKey + " = [";
  for (std::size_t index = 0; index < aNames.size(); ++index) {
    line += (index == 0 ? "\"" : ", \"") + aNames[index] + "\"";
  }
  line += "]";
  std::string edited;
  bool isReplaced = false;
  for (const std::string& existing : SplitLines(aText)) {
    if (existing.starts_with(aKey)) {
      edited += line + "\n";
      isReplaced = true;
    } else {
      edited += existing + "\n";
    }
  }
  return isReplaced ? edited : line + "\n" + edited;
}

int SetDrained(const command_options& aOptions, const std::string& aName, bool aIsDrained)
{
  const result<boost::json::object> current = FetchConfiguration(aOptions);
  if (!current) {
    return PrintError(current.GetError());
  }
  const std::string text(current.Get().at("text").as_string());
  config_faults faults;
  const std::optional<catalogue> content = ParseCatalogue(text, "configuration", faults);
  if (!content) {
    std::cerr << "no valid configuration text is in force\n";
    return ExitFailure;
  }
  const bool isRegion = content->FindRegion(region_name(aName)) != nullptr;
  if (!isRegion && content->FindRegionOfZone(zone_name(aName)) == nullptr) {
    std::cerr << aName << ": the configuration text in force has no region or zone of this name\n";
    return ExitFailure;
  }
  std::vector<std::string> names;
  for (const region_name& region : content->mDrainedRegions) {
    if (isRegion) {
      names.push_back(region.mValue);
    }
  }
  for (const zone_name& zone : content->mDrainedZones) {
    if (!isRegion) {
      names.push_back(zone.mValue);
    }
  }
  std::erase(names, aName);
  if (aIsDrained) {
    names.push_back(aName);
  }
  return Submit(aOptions,
                SetNameList(text, isRegion ? "drained_regions" : "drained_zones", names),
                current.Get().at("version").to_number<std::int64_t>());
}

int GiveKey(const command_options& aOptions, const std::string& aWorkspace)
{
  const std::string key = "cpk_" + GenerateHex(kIdBytes) + "_" + GenerateHex(kSecretBytes);
  const boost::json::object body{ { "key", key }, { "workspace", aWorkspace } };
  const result<http_answer> answer =
    CallControlVms(aOptions, "POST", "/v1/keys", boost::json::serialize(body));
  if (!answer || answer.Get().mStatus != 200) {
    return PrintAnswer(answer, aOptions);
  }
  std::cout << (aOptions.mPrintsJson ? "{\"key\":\"" + key + "\"}" : key) << "\n";
  return ExitSuccess;
}

int RunCommand(const command_options& aOptions, const std::vector<std::string>& aWords)
{
  const auto matches = [&](std::initializer_list<const char*> aCommand, std::size_t aArguments) {
    return aWords.size() == aCommand.size() + aArguments &&
           std::equal(aCommand.begin(), aCommand.end(), aWords.begin());
  };
  if (matches({ "check" }, 1)) {
    return CheckFile(aWords[1]);
  }
  if (matches({ "submit" }, 1)) {
    return SubmitFile(aOptions, aWords[1]);
  }
  if (matches({ "show" }, 0)) {
    return PrintAnswer(CallControlVms(aOptions, "GET", "/v1/config", ""), aOptions);
  }
  if (matches({ "compare" }, 1)) {
    return Compare(aOptions, aWords[1]);
  }
  if (matches({ "key", "give" }, 1)) {
    return GiveKey(aOptions, aWords[2]);
  }
  if (matches({ "key", "withdraw" }, 1)) {
    return PrintAnswer(CallControlVms(aOptions, "DELETE", "/v1/keys/" + aWords[2], ""), aOptions);
  }
  if (matches({ "key", "list" }, 0)) {
    return PrintAnswer(CallControlVms(aOptions, "GET", "/v1/keys", ""), aOptions);
  }
  if (matches({ "drain" }, 1) || matches({ "undrain" }, 1)) {
    return SetDrained(aOptions, aWords[1], aWords[0] == "drain");
  }
  if (matches({ "fleet" }, 0)) {
    return PrintAnswer(CallControlVms(aOptions, "GET", "/v1/fleet", ""), aOptions);
  }
  if (matches({ "quarantine", "list" }, 0)) {
    return PrintAnswer(CallControlVms(aOptions, "GET", "/v1/quarantine", ""), aOptions);
  }
  if (matches({ "quarantine", "clear" }, 1)) {
    return PrintAnswer(CallControlVms(aOptions, "DELETE", "/v1/quarantine/" + aWords[2], ""),
                       aOptions);
  }
  std::cerr << "citronpulley_ctl: "
            << (aWords.empty() || aWords[0].empty()
                  ? "no command given"
                  : "unknown command or wrong number of arguments: " + aWords[0].substr(0, 64) +
                      " (" + std::to_string(aWords.size()) + " words)")
            << "; see citronpulley_ctl --help\n";
  return ExitUsage;
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (sodium_init() < 0) {
    return ExitFailure;
  }
  cxxopts::Options options("citronpulley_ctl", "Command line for operators of citronpulley.");
  options.positional_help("COMMAND [ARGUMENT...]");
  options.add_options()("control",
                        "addresses of the control VMs, IP:port, separated by commas",
                        cxxopts::value<std::vector<std::string>>()->default_value(""))(
    "operator-key-file",
    "file with the operator key",
    cxxopts::value<std::string>()->default_value(""))("json", "print JSON")(
    "expected",
    "version that the submitted text replaces",
    cxxopts::value<std::int64_t>()->default_value("-1"))(
    "submission",
    "id of an earlier submission that is repeated",
    cxxopts::value<std::string>()->default_value(""))("h,help", "print this help")(
    "words", "", cxxopts::value<std::vector<std::string>>()->default_value(""));
  options.parse_positional({ "words" });
  try {
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help({ "" }) << kUsage;
      return ExitSuccess;
    }
    command_options commandOptions;
    commandOptions.mControlVms = parsed["control"].as<std::vector<std::string>>();
    std::erase(commandOptions.mControlVms, "");
    commandOptions.mPrintsJson = parsed.count("json") > 0;
    commandOptions.mExpectedVersion = parsed["expected"].as<std::int64_t>();
    commandOptions.mSubmission = parsed["submission"].as<std::string>();
    if (const auto path = parsed["operator-key-file"].as<std::string>(); !path.empty()) {
      const result<std::string> key = ReadSecretFile(path, 1);
      if (!key) {
        return PrintError(key.GetError());
      }
      commandOptions.mOperatorKey = key.Get();
    }
    return RunCommand(commandOptions, parsed["words"].as<std::vector<std::string>>());
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "citronpulley_ctl: " << failure.what() << "; see --help\n";
    return ExitUsage;
  }
}
