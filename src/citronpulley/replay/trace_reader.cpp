#include "citronpulley/replay/trace.h"

#include "citronpulley/replay/trace_rules.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace citronpulley {

namespace {

/** Reads and validates one trace; see ReadTrace(). */
class trace_reader
{
public:
  trace_reader(const std::string& aFile,
               const std::string& aFolder,
               std::vector<std::string>& aFaults)
    : mFolder(aFolder)
    , mFaults(aFaults)
  {
    mTrace.mFile = aFile;
  }

  std::optional<trace> Read(const std::string& aText)
  {
    const std::size_t faultsBefore = mFaults.size();
    std::istringstream lines(aText);
    std::string line;
    for (mLine = 1; std::getline(lines, line); ++mLine) {
      if (!line.empty()) {
        ReadLine(line);
      }
    }
    if (mTrace.mName.empty()) {
      mLine = 1;
      ReportFault("no line declares the trace");
    }
    AssignServerRegions();
    CheckReferences();
    if (mFaults.size() != faultsBefore) {
      return std::nullopt;
    }
    return std::move(mTrace);
  }

private:
  void ReportFault(const std::string& aFault)
  {
    mFaults.push_back(mTrace.mFile + ":" + std::to_string(mLine) + ": " + aFault);
  }

  void ReadLine(const std::string& aLine)
  {
    boost::system::error_code failure;
    const boost::json::value document = boost::json::parse(aLine, failure);
    if (failure || !document.is_object()) {
      ReportFault("the line is not a JSON object: " +
                  (failure ? failure.message() : aLine.substr(0, 64)));
      return;
    }
    const boost::json::object& fields = document.get_object();
    for (const auto& [family, kinds] : GetTraceRules()) {
      const boost::json::value* name = fields.if_contains(family);
      if (name == nullptr) {
        continue;
      }
      const auto rules =
        name->is_string() ? kinds.find(std::string_view(name->get_string())) : kinds.end();
      if (rules == kinds.end()) {
        ReportFault("unknown " + family + " " + boost::json::serialize(*name).substr(0, 64));
        return;
      }
      if (CheckFields(fields, family, rules->second)) {
        AddEntry(family, trace_entry(mLine, rules->first, fields));
      }
      return;
    }
    ReportFault("the line has none of the keys declare, event and expect");
  }

  bool CheckFields(const boost::json::object& aFields,
                   const std::string& aFamily,
                   const std::string& aRules)
  {
    field_rules rules = ParseFieldRules(aRules);
    rules[aFamily] = { 't', true };
    if (aFamily == "event") {
      rules["at_ms"] = { 'n', true };
    }
    bool isValid = true;
    for (const auto& field : aFields) {
      const auto rule = rules.find(std::string_view(field.key()));
      if (rule == rules.end()) {
        ReportFault("unknown key \"" + std::string(field.key()) + "\"");
        isValid = false;
      } else if (!IsOfType(field.value(), rule->second.mType)) {
        ReportFault("\"" + std::string(field.key()) + "\" must be " +
                    DescribeType(rule->second.mType));
        isValid = false;
      }
    }
    for (const auto& [key, rule] : rules) {
      if (rule.mIsRequired && !aFields.contains(key)) {
        ReportFault("the key \"" + key + "\" is missing");
        isValid = false;
      }
    }
    return isValid;
  }

  void AddEntry(const std::string& aFamily, trace_entry aEntry)
  {
    if (aFamily == "event") {
      mTrace.mEvents.push_back(std::move(aEntry));
    } else if (aFamily == "expect") {
      mTrace.mOutcomes.push_back(std::move(aEntry));
    } else if (aEntry.GetKind() == "trace") {
      if (!mTrace.mName.empty()) {
        ReportFault("the trace is declared twice, first as \"" + mTrace.mName.substr(0, 64) + "\"");
      }
      mTrace.mName = aEntry.GetText("name");
      mTrace.mSeed = static_cast<std::uint64_t>(aEntry.GetInteger("seed", 1));
      mTrace.mEndsAt = aEntry.GetTime("ends_ms");
      mTrace.mStartsAt.mMilliseconds = aEntry.GetInteger("start_unix_ms", 1'750'000'000'000);
    } else if (aEntry.GetKind() == "text") {
      AddConfigText(aEntry);
    } else if (aEntry.GetKind() == "vm") {
      AddVm(aEntry);
    } else if (aEntry.GetKind() == "server") {
      AddServer(aEntry);
    } else {
      SetDelays(aEntry);
    }
  }

  void AddConfigText(const trace_entry& aEntry)
  {
    std::string text;
    for (const std::string& line : aEntry.GetList("prepend")) {
      text += line + "\n";
    }
    if (aEntry.Has("of")) {
      const auto found = mTrace.mConfigTexts.find(aEntry.GetText("of"));
      if (found == mTrace.mConfigTexts.end()) {
        ReportFault("no text \"" + aEntry.GetText("of") + "\" is declared above");
        return;
      }
      text += found->second;
    }
    if (aEntry.Has("file")) {
      std::ifstream file(mFolder + "/" + aEntry.GetText("file"), std::ios::binary);
      std::ostringstream content;
      content << file.rdbuf();
      if (!file) {
        ReportFault("the file " + aEntry.GetText("file") + " cannot be read");
      }
      text += content.str();
    }
    for (const std::string& line : aEntry.GetList("lines")) {
      text += line + "\n";
    }
    const std::vector<std::string> replaced = aEntry.GetList("replace");
    if (replaced.size() % 2 != 0) {
      ReportFault("\"replace\" must hold pairs of an old and a new text, but has " +
                  std::to_string(replaced.size()) + " texts");
      return;
    }
    for (std::size_t index = 0; index + 1 < replaced.size(); index += 2) {
      ReplaceAll(text, replaced[index], replaced[index + 1]);
    }
    mTrace.mConfigTexts[aEntry.GetText("name")] = std::move(text);
  }

  void ReplaceAll(std::string& aText, const std::string& aOld, const std::string& aNew)
  {
    std::size_t position = aOld.empty() ? std::string::npos : aText.find(aOld);
    if (position == std::string::npos) {
      ReportFault("the text does not contain \"" + aOld + "\"");
    }
    while (position != std::string::npos) {
      aText.replace(position, aOld.size(), aNew);
      position = aText.find(aOld, position + aNew.size());
    }
  }

  /** Calls a function with the name of each declared process: NAME, or NAME-1 to NAME-`count`. */
  template<typename Add>
  void AddNumbered(const trace_entry& aEntry, const Add& aAdd)
  {
    const std::string name = aEntry.GetText("name");
    if (!aEntry.Has("count")) {
      aAdd(name);
    }
    for (std::int64_t number = 1; number <= aEntry.GetInteger("count", 0); ++number) {
      aAdd(name + "-" + std::to_string(number));
    }
  }

  void CheckUniqueName(const std::string& aName)
  {
    if (!mNames.insert(aName).second) {
      ReportFault("\"" + aName + "\" is declared twice");
    }
  }

  void AddVm(const trace_entry& aEntry)
  {
    const std::string role = aEntry.GetText("role");
    if (role != "entry" && role != "control") {
      ReportFault("\"role\" must be entry or control, but is \"" + role.substr(0, 64) + "\"");
    }
    AddNumbered(aEntry, [&](const std::string& aName) {
      CheckUniqueName(aName);
      mTrace.mVms.push_back({ aName,
                              aEntry.GetText("name"),
                              aEntry.GetText("zone"),
                              aEntry.GetText("region"),
                              role == "control" });
    });
  }

  void AddServer(const trace_entry& aEntry)
  {
    AddNumbered(aEntry, [&](const std::string& aName) {
      CheckUniqueName(aName);
      mTrace.mServers.push_back({ aName,
                                  aEntry.GetText("name"),
                                  aEntry.GetText("service"),
                                  aEntry.GetText("zone"),
                                  "",
                                  aEntry.GetInteger("slots", 1),
                                  aEntry.GetTime("service_time_ms"),
                                  aEntry.GetTime("cold_ms"),
                                  aEntry.GetNumber("cold_factor", 1) });
    });
  }

  void SetDelays(const trace_entry& aEntry)
  {
    trace_delays& delays = mTrace.mDelays;
    if (aEntry.GetKind() == "link") {
      const std::vector<std::string> pair = aEntry.GetList("between");
      if (pair.size() != 2) {
        ReportFault("\"between\" must name two regions, but has " + std::to_string(pair.size()) +
                    " names");
        return;
      }
      delays.mRegionPairs[{ pair[0], pair[1] }] = aEntry.GetTime("one_way_ms");
      delays.mRegionPairs[{ pair[1], pair[0] }] = aEntry.GetTime("one_way_ms");
      return;
    }
    delays.mSameZone = aEntry.GetTime("same_zone_ms", 0.25);
    delays.mBetweenZones = aEntry.GetTime("zone_ms", 1.5);
    delays.mBetweenRegions = aEntry.GetTime("region_ms", 20);
    delays.mClient = aEntry.GetTime("client_ms", 1);
    delays.mServer = aEntry.GetTime("server_ms", 0.25);
  }

  /** Sets the region of each server to that of the entry VMs in its zone. */
  void AssignServerRegions()
  {
    for (trace_server& server : mTrace.mServers) {
      const auto vm = std::find_if(mTrace.mVms.begin(), mTrace.mVms.end(), [&](const auto& aVm) {
        return aVm.mZone == server.mZone && !aVm.mIsControl;
      });
      if (vm == mTrace.mVms.end()) {
        ReportFault("the zone \"" + server.mZone.substr(0, 64) + "\" of the server \"" +
                    server.mName + "\" has no entry VM");
        continue;
      }
      server.mRegion = vm->mRegion;
    }
  }

  /** @return true when the selector includes any VM or server; see trace::ListEntryVms() */
  bool IsKnownSelector(const std::string& aName) const
  {
    return std::any_of(mTrace.mVms.begin(),
                       mTrace.mVms.end(),
                       [&](const auto& aVm) { return trace::IsSelectedBy(aVm, aName); }) ||
           !mTrace.ListServers(aName).empty();
  }

  bool IsVmName(const std::string& aName) const
  {
    return std::any_of(
      mTrace.mVms.begin(), mTrace.mVms.end(), [&](const auto& aVm) { return aVm.mName == aName; });
  }

  /** Reports the value of a key as an unknown name unless it is known. */
  void CheckKnown(const trace_entry& aEntry, const char* aKey, bool aIsKnown)
  {
    if (!aIsKnown) {
      ReportFault("\"" + std::string(aKey) + "\" has an unknown value: " +
                  boost::json::serialize(aEntry.GetFields().at(aKey)).substr(0, 64));
    }
  }

  void CheckReferences()
  {
    std::set<std::string> requests;
    std::set<std::string> groups;
    std::set<std::string> cuts;
    std::set<std::string> keys;
    std::map<std::string, microseconds> sentAt;
    for (const trace_entry& event : mTrace.mEvents) {
      mLine = event.GetLine();
      if (event.Has("id") && !requests.insert(event.GetText("id")).second) {
        ReportFault("\"id\" must be unique, but an earlier event has the same value \"" +
                    event.GetText("id").substr(0, 64) + "\"");
      }
      sentAt.emplace(event.GetText("id"), event.GetTime("at_ms"));
      groups.insert(event.GetText("group"));
      if (event.GetKind() == "cut") {
        cuts.insert(event.GetText("name"));
      }
      if (event.GetKind() == "give_key") {
        keys.insert(event.GetText("key"));
      }
    }
    for (const trace_entry& event : mTrace.mEvents) {
      CheckEntryReferences(event, requests, groups);
      if (event.Has("cut")) {
        CheckKnown(event, "cut", cuts.contains(event.GetText("cut")));
      }
      if (event.Has("key")) {
        CheckKnown(event,
                   "key",
                   keys.contains(event.GetText("key")) &&
                     event.GetText("key").find('_') == std::string::npos);
      }
      CheckMode(event);
      CheckTime(event, sentAt);
    }
    for (const trace_entry& outcome : mTrace.mOutcomes) {
      CheckEntryReferences(outcome, requests, groups);
      CheckSelection(outcome);
    }
  }

  /**
   * Checks the names by which an expected outcome selects requests or runs. A misspelt name would
   * select nothing, and an upper bound on nothing always holds.
   */
  void CheckSelection(const trace_entry& aOutcome)
  {
    const auto isUsed = [&](const char* aKey, const char* aKind) {
      return std::any_of(mTrace.mEvents.begin(), mTrace.mEvents.end(), [&](const auto& aEvent) {
        return aEvent.GetKind() == aKind && aEvent.GetText(aKey) == aOutcome.GetText(aKey);
      });
    };
    if (aOutcome.Has("workspace")) {
      CheckKnown(aOutcome, "workspace", isUsed("workspace", "give_key"));
    }
    if (aOutcome.Has("idempotency_key")) {
      CheckKnown(aOutcome, "idempotency_key", isUsed("idempotency_key", "request"));
    }
    if (aOutcome.Has("service")) {
      const std::string service = aOutcome.GetText("service");
      CheckKnown(aOutcome,
                 "service",
                 std::any_of(mTrace.mServers.begin(),
                             mTrace.mServers.end(),
                             [&](const auto& aServer) { return aServer.mService == service; }));
    }
    if (aOutcome.Has("code")) {
      CheckKnown(aOutcome, "code", IsKnownCode(aOutcome.GetText("code")));
    }
    if (aOutcome.Has("outcome")) {
      const std::string outcome = aOutcome.GetText("outcome");
      CheckKnown(
        aOutcome, "outcome", outcome.empty() || outcome == "not_run" || outcome == "unknown");
    }
  }

  /** Checks the names and bounds of an event or expected outcome. */
  void CheckEntryReferences(const trace_entry& aEntry,
                            const std::set<std::string>& aRequests,
                            const std::set<std::string>& aGroups)
  {
    mLine = aEntry.GetLine();
    for (const char* key : { "request", "of", "same_body_as" }) {
      if (aEntry.Has(key)) {
        CheckKnown(aEntry, key, aRequests.contains(aEntry.GetText(key)));
      }
    }
    if (aEntry.GetKind() == "request" && !aEntry.Has("vm")) {
      ReportFault("the key \"vm\" is missing");
    }
    if (aEntry.Has("group") && aEntry.GetFields().contains("expect")) {
      CheckKnown(aEntry, "group", aGroups.contains(aEntry.GetText("group")));
    }
    if (aEntry.Has("vm")) {
      CheckKnown(aEntry, "vm", IsVmName(aEntry.GetText("vm")));
    }
    if (aEntry.Has("text")) {
      CheckKnown(aEntry, "text", mTrace.mConfigTexts.contains(aEntry.GetText("text")));
    }
    for (const char* key : { "server", "zone", "region" }) {
      if (aEntry.Has(key)) {
        CheckKnown(aEntry, key, IsKnownSelector(aEntry.GetText(key)));
      }
    }
    for (const char* key : { "vms", "servers", "from", "to", "between", "failover" }) {
      if (!aEntry.Has(key) || !aEntry.GetFields().at(key).is_array()) {
        continue;
      }
      const std::string_view name = key;
      const bool needsVm = name == "failover" || name == "between";
      for (const std::string& selector : aEntry.GetList(key)) {
        const bool isKnown = name == "vms"       ? !mTrace.ListEntryVms(selector).empty()
                             : name == "servers" ? !mTrace.ListServers(selector).empty()
                             : needsVm           ? IsVmName(selector)
                                                 : IsKnownSelector(selector);
        CheckKnown(aEntry, key, isKnown);
      }
    }
    if (aEntry.GetKind() == "silence" && aEntry.GetList("between").size() != 2) {
      ReportFault("\"between\" must name two VMs, but has " +
                  std::to_string(aEntry.GetList("between").size()) + " names");
    }
    if (aEntry.GetNumber("quantile", 0) > 1) {
      ReportFault("\"quantile\" must be a number from 0 to 1, but is " +
                  std::to_string(aEntry.GetNumber("quantile", 0)));
    }
    const bool isBounded = aEntry.Has("at_most") || aEntry.Has("at_least") ||
                           aEntry.Has("at_most_ratio") || aEntry.Has("at_least_ratio");
    if ((aEntry.GetKind() == "runs" || aEntry.GetKind() == "group") && !isBounded) {
      ReportFault("the outcome states no bound");
    }
  }

  /**
   * Checks that an event is not after the end of the trace and a resend is after its original
   * request. An event that never happens would check nothing.
   */
  void CheckTime(const trace_entry& aEvent, const std::map<std::string, microseconds>& aSentAt)
  {
    if (aEvent.GetTime("at_ms") > mTrace.mEndsAt) {
      ReportFault("the event is later than the end of the trace");
    }
    const auto first = aSentAt.find(aEvent.GetText("of"));
    if (aEvent.Has("of") && first != aSentAt.end() && first->second >= aEvent.GetTime("at_ms")) {
      ReportFault("the request that is sent again is not sent before");
    }
  }

  /** Checks the value of `do`. */
  void CheckMode(const trace_entry& aEvent)
  {
    static const std::map<std::string, std::set<std::string>> sChoices{
      { "server_behaviour", { "normal", "slow", "fail", "crash", "silent" } },
      { "server_report", { "normal", "frozen", "fixed", "absent", "stopped" } }
    };
    const auto choices = sChoices.find(aEvent.GetKind());
    if (choices != sChoices.end() && !choices->second.contains(aEvent.GetText("do"))) {
      ReportFault("unknown value of \"do\": \"" + aEvent.GetText("do") + "\"");
    }
  }

  std::string mFolder;
  std::vector<std::string>& mFaults;
  trace mTrace;
  /** Names of all VMs and servers. */
  std::set<std::string> mNames;
  /** Line to which faults refer. */
  std::size_t mLine = 1;
};

} // namespace

std::optional<trace> ReadTrace(const std::string& aText,
                               const std::string& aFile,
                               const std::string& aFolder,
                               std::vector<std::string>& aFaults)
{
  return trace_reader(aFile, aFolder, aFaults).Read(aText);
}

} // namespace citronpulley
