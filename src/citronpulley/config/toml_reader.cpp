#include "citronpulley/config/toml_reader.h"

#include <toml++/toml.h>

#include <cmath>
#include <set>
#include <sstream>
#include <utility>

namespace citronpulley {

struct toml_reader::context
{
  std::shared_ptr<toml::table> mRoot;
  const toml::table* mTable = nullptr;
  std::string mFile;
  std::string mPath;
  config_faults* mFaults = nullptr;
  std::set<std::string, std::less<>> mKeysRead;
  bool mIsParsed = false;

  const toml::node* Find(std::string_view aKey)
  {
    mKeysRead.emplace(aKey);
    return mTable == nullptr ? nullptr : mTable->get(aKey);
  }

  std::string GetPath(std::string_view aKey) const
  {
    return mPath.empty() ? std::string(aKey) : mPath + "." + std::string(aKey);
  }

  void Report(std::string_view aKey,
              const toml::node* aNode,
              std::string aFound,
              std::string aExpected) const
  {
    const toml::node* location = aNode != nullptr ? aNode : mTable;
    const std::uint32_t line =
      location == nullptr ? 0 : static_cast<std::uint32_t>(location->source().begin.line);
    mFaults->push_back({ mFile, line, GetPath(aKey), std::move(aFound), std::move(aExpected) });
  }
};

namespace {

std::string FormatNode(const toml::node& aNode)
{
  std::ostringstream text;
  aNode.visit([&text](const auto& aValue) {
    if constexpr (toml::is_value<decltype(aValue)>) {
      text << aValue;
    } else {
      text << (toml::is_table<decltype(aValue)> ? "a table" : "an array");
    }
  });
  return text.str();
}

} // namespace

toml_reader::toml_reader(std::string_view aText, std::string aFile, config_faults& aFaults)
  : mContext(std::make_unique<context>())
{
  mContext->mFile = std::move(aFile);
  mContext->mFaults = &aFaults;
  try {
    mContext->mRoot = std::make_shared<toml::table>(toml::parse(aText, mContext->mFile));
    mContext->mTable = mContext->mRoot.get();
    mContext->mIsParsed = true;
  } catch (const toml::parse_error& parseError) {
    aFaults.push_back({ mContext->mFile,
                        static_cast<std::uint32_t>(parseError.source().begin.line),
                        "",
                        std::string(parseError.description()),
                        "valid TOML" });
  }
}

toml_reader::toml_reader(std::unique_ptr<context> aContext) noexcept
  : mContext(std::move(aContext))
{
}

toml_reader::~toml_reader() = default;
toml_reader::toml_reader(toml_reader&&) noexcept = default;

bool toml_reader::IsParsed() const noexcept
{
  return mContext->mIsParsed;
}

std::string toml_reader::RequireString(std::string_view aKey)
{
  const toml::node* node = mContext->Find(aKey);
  if (node == nullptr) {
    mContext->Report(aKey, nullptr, "nothing", "a string");
    return {};
  }
  const auto value = node->value_exact<std::string>();
  if (!value || value->empty()) {
    mContext->Report(aKey, node, value ? "an empty string" : FormatNode(*node), "a string");
    return {};
  }
  return *value;
}

std::string toml_reader::ReadString(std::string_view aKey, std::string aDefault)
{
  return mContext->Find(aKey) == nullptr ? std::move(aDefault) : RequireString(aKey);
}

std::int64_t toml_reader::RequireInteger(std::string_view aKey, bounds aBounds)
{
  const std::string expected = "an integer from " + std::to_string(aBounds.mLowest) + " to " +
                               std::to_string(aBounds.mHighest);
  const toml::node* node = mContext->Find(aKey);
  if (node == nullptr) {
    mContext->Report(aKey, nullptr, "nothing", expected);
    return aBounds.mLowest;
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value || *value < aBounds.mLowest || *value > aBounds.mHighest) {
    mContext->Report(aKey, node, FormatNode(*node), expected);
    return aBounds.mLowest;
  }
  return *value;
}

std::int64_t toml_reader::ReadInteger(std::string_view aKey, bounds aBounds, std::int64_t aDefault)
{
  return mContext->Find(aKey) == nullptr ? aDefault : RequireInteger(aKey, aBounds);
}

double toml_reader::ReadNumber(std::string_view aKey, double aDefault)
{
  const toml::node* node = mContext->Find(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto value = node->value<double>();
  if (!node->is_number() || !value || !std::isfinite(*value) || *value < 0) {
    mContext->Report(aKey, node, FormatNode(*node), "a number of zero or more");
    return aDefault;
  }
  return *value;
}

bool toml_reader::ReadBoolean(std::string_view aKey, bool aDefault)
{
  const toml::node* node = mContext->Find(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    mContext->Report(aKey, node, FormatNode(*node), "true or false");
  }
  return value.value_or(aDefault);
}

std::vector<std::string> toml_reader::ReadStrings(std::string_view aKey)
{
  const toml::node* node = mContext->Find(aKey);
  if (node == nullptr) {
    return {};
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    mContext->Report(aKey, node, FormatNode(*node), "an array of strings");
    return {};
  }
  std::vector<std::string> values;
  for (const toml::node& element : *array) {
    const auto value = element.value_exact<std::string>();
    if (!value || value->empty()) {
      mContext->Report(aKey, &element, FormatNode(element), "a string");
      continue;
    }
    values.push_back(*value);
  }
  return values;
}

void toml_reader::ReadTables(std::string_view aKey, const std::function<void(toml_reader&)>& aRead)
{
  const toml::node* node = mContext->Find(aKey);
  if (node == nullptr) {
    return;
  }
  const auto readTable = [&](const toml::table& aTable, const std::string& aPath) {
    auto inner = std::make_unique<context>(*mContext);
    inner->mTable = &aTable;
    inner->mPath = aPath;
    inner->mKeysRead.clear();
    toml_reader reader(std::move(inner));
    aRead(reader);
    reader.CheckUnknownKeys();
  };
  if (const toml::table* table = node->as_table()) {
    readTable(*table, mContext->GetPath(aKey));
    return;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    mContext->Report(aKey, node, FormatNode(*node), "an array of tables");
    return;
  }
  std::size_t index = 0;
  for (const toml::node& element : *array) {
    const std::string path = mContext->GetPath(aKey) + "[" + std::to_string(index++) + "]";
    const toml::table* table = element.as_table();
    if (table == nullptr) {
      mContext->Report(aKey, &element, FormatNode(element), "a table");
      continue;
    }
    readTable(*table, path);
  }
}

void toml_reader::Report(std::string_view aKey, std::string aFound, std::string aExpected)
{
  mContext->Report(aKey, mContext->Find(aKey), std::move(aFound), std::move(aExpected));
}

void toml_reader::CheckUnknownKeys()
{
  if (mContext->mTable == nullptr) {
    return;
  }
  for (const auto& [key, node] : *mContext->mTable) {
    if (!mContext->mKeysRead.contains(key.str())) {
      mContext->Report(key.str(), &node, "an unknown key", "one of the documented keys");
    }
  }
}

} // namespace citronpulley
