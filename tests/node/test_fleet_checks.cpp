#include "node/test_fleet.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace citronpulley {

std::string test_fleet::FindViolation() const
{
  std::map<std::string, int> runsByKey;
  std::map<std::string, int> runsByCall;
  for (const received_request& run : mRuns) {
    if (run.mIsRefused) {
      continue;
    }
    ++runsByCall[run.mCall];
    if (!run.mIdempotencyKey.empty() &&
        ++runsByKey[run.mWorkspace + " " + run.mIdempotencyKey] > 1) {
      return "key " + run.mIdempotencyKey + " ran more than once";
    }
  }
  for (const auto& [number, call] : mCalls) {
    const std::string name = std::to_string(number);
    const std::string description = DescribeAnswer(number);
    const std::string owner = call.mApiKey == "cpk_k1_secret1" ? "boats" : "nets";
    const std::string item = call.mIdempotencyKey.empty() ? "call " + name : call.mIdempotencyKey;
    if (description == "several answers") {
      return "call " + name + " got several answers";
    }
    if (description == "not_run" && runsByCall.contains(name)) {
      return "call " + name + " ran but its outcome was reported as not_run";
    }
    std::string expected("done ");
    expected.append(owner).append(" ").append(item);
    if (description.starts_with("done ") && description != expected) {
      return std::string("call ")
        .append(name)
        .append(" got an answer of another call: ")
        .append(description);
    }
  }
  return {};
}

int test_fleet::CountRuns(const std::string& aKey) const
{
  return static_cast<int>(
    std::count_if(mRuns.begin(), mRuns.end(), [&](const received_request& aRun) {
      return aRun.mIdempotencyKey == aKey && !aRun.mIsRefused;
    }));
}

std::string test_fleet::DescribeAnswer(std::uint64_t aCall) const
{
  const auto found = mAnswers.find(aCall);
  if (found == mAnswers.end()) {
    return "no answer";
  }
  if (found->second.size() > 1) {
    return "several answers";
  }
  const http_answer& answer = found->second.front();
  boost::system::error_code failure;
  const boost::json::value document = boost::json::parse(answer.mBody, failure);
  if (failure || !document.is_object()) {
    return answer.mBody;
  }
  return std::string(document.at("error").at("outcome").as_string());
}

} // namespace citronpulley
