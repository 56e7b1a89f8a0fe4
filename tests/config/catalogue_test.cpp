#include "citronpulley/config/catalogue.h"

#include "citronpulley/runtime/node_runner.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

std::string ReadExample(const std::string& aName)
{
  const result<std::string> text =
    ReadFile(std::string(CITRONPULLEY_SOURCE_DIR) + "/examples/" + aName);
  return text ? text.Get() : std::string();
}

config_faults FindFaults(const std::string& aText)
{
  config_faults faults;
  const std::optional<catalogue> content = ParseCatalogue(aText, "text.toml", faults);
  CHECK_EQUAL(faults.empty(), content.has_value());
  return faults;
}

bool HasFault(const config_faults& aFaults, const std::string& aKey, std::uint32_t aLine)
{
  return std::any_of(aFaults.begin(), aFaults.end(), [&](const config_fault& aFault) {
    return aFault.mKey == aKey && aFault.mLine == aLine;
  });
}

} // namespace

TEST_GROUP(catalogue){};

/** Guards against example catalogues that the parser no longer accepts or that changed in size. */
TEST(catalogue, accepts_the_examples_of_both_deployments)
{
  for (const std::string name : { "malecon.toml", "trapline.toml" }) {
    config_faults faults;
    const std::optional<catalogue> content = ParseCatalogue(ReadExample(name), name, faults);
    CHECK(content.has_value());
    LONGS_EQUAL(3, content->mRegions.size());
    LONGS_EQUAL(3, content->mServices.size());
    LONGS_EQUAL(8, content->mWorkspaces.size());
    for (const region_entry& region : content->mRegions) {
      LONGS_EQUAL(2, region.mZones.size());
    }
  }
}

/** Guards against a parser that stops at the first fault, so that operators need several attempts.
 */
TEST(catalogue, reports_all_faults_with_line_and_key)
{
  const config_faults faults = FindFaults("deployment = 5\n"
                                          "colour = \"red\"\n"
                                          "[[regions]]\n"
                                          "name = \"north\"\n"
                                          "zones = [\"a\", \"a\"]\n"
                                          "capacity_per_second = -1\n"
                                          "[[services]]\n"
                                          "name = \"stock\"\n"
                                          "shift_cap_percent_per_minute = 10\n"
                                          "[[services.depends_on]]\n"
                                          "service = \"nowhere\"\n"
                                          "[[services.routes]]\n"
                                          "path = \"no-slash\"\n"
                                          "open = true\n"
                                          "deadline_ms = 0\n");
  CHECK(HasFault(faults, "deployment", 1));
  CHECK(HasFault(faults, "colour", 2));
  CHECK(HasFault(faults, "regions[0].zones", 5));
  CHECK(HasFault(faults, "regions[0].capacity_per_second", 6));
  CHECK(HasFault(faults, "services[0].routes[0].path", 13));
  CHECK(HasFault(faults, "services[0].routes[0].open", 14));
  CHECK(HasFault(faults, "services[0].routes[0].deadline_ms", 15));
  CHECK(std::any_of(faults.begin(), faults.end(), [](const config_fault& aFault) {
    return aFault.mFound.find("nowhere") != std::string::npos;
  }));
}

/** Guards against cyclic dependencies, for which the load calculation would not terminate. */
TEST(catalogue, refuses_cyclic_dependencies)
{
  std::string text = ReadExample("malecon.toml");
  text += "\n[[services]]\nname = \"x\"\nshift_cap_percent_per_minute = 1\n"
          "[[services.depends_on]]\nservice = \"x\"\n[[services.routes]]\npath = \"/\"\n";
  CHECK_FALSE(FindFaults(text).empty());
}

/** Guards against a syntax error that is treated like an empty file. */
TEST(catalogue, refuses_a_text_that_is_not_toml)
{
  CHECK(HasFault(FindFaults("deployment = \"x\"\n= 3\n"), "", 2));
}

/** Guards against matching a shorter prefix, whose route may have less strict rules. */
TEST(catalogue, finds_the_route_with_the_longest_prefix_for_the_method)
{
  config_faults faults;
  const catalogue content = *ParseCatalogue(ReadExample("malecon.toml"), "malecon.toml", faults);
  const service_entry& deposits = *content.FindService(service_name("caja"));
  CHECK_FALSE(FindRoute(deposits, "POST", "/depositos/7")->mIsIdempotent);
  CHECK(FindRoute(deposits, "GET", "/depositos/7")->mIsIdempotent);
  POINTERS_EQUAL(nullptr, FindRoute(deposits, "DELETE", "/depositos/7"));
}
