#include "citronpulley/routing/client_block_table.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

ipv4_block Block(const char* aText)
{
  return ParseIpv4Block(aText).Get();
}

int FindSite(const client_block_table& aTable, const char* aAddress)
{
  const auto site = aTable.Find(*ParseIpv4Address(aAddress));
  return site ? *site : -1;
}

} // namespace

TEST_GROUP(client_block_table){};

/** Guards against a wide block that hides a nested one, and a nested block that maps addresses past
 * its end. */
TEST(client_block_table, prefers_the_longest_prefix)
{
  const client_block_table table({ { Block("10.1.2.0/24"), 3 },
                                   { Block("10.0.0.0/8"), 1 },
                                   { Block("10.1.0.0/16"), 2 },
                                   { Block("10.1.2.255/32"), 4 } });
  LONGS_EQUAL(-1, FindSite(table, "9.255.255.255"));
  LONGS_EQUAL(1, FindSite(table, "10.0.0.0"));
  LONGS_EQUAL(2, FindSite(table, "10.1.1.255"));
  LONGS_EQUAL(3, FindSite(table, "10.1.2.0"));
  LONGS_EQUAL(4, FindSite(table, "10.1.2.255"));
  LONGS_EQUAL(2, FindSite(table, "10.1.3.0"));
  LONGS_EQUAL(1, FindSite(table, "10.255.255.255"));
  LONGS_EQUAL(-1, FindSite(table, "11.0.0.0"));
}

/** Guards against integer overflow at both ends of the address space and in /32 blocks. */
TEST(client_block_table, covers_the_whole_space_and_single_addresses)
{
  const client_block_table table(
    { { Block("0.0.0.0/0"), 7 }, { Block("0.0.0.0/32"), 8 }, { Block("255.255.255.255/32"), 9 } });
  LONGS_EQUAL(8, FindSite(table, "0.0.0.0"));
  LONGS_EQUAL(7, FindSite(table, "0.0.0.1"));
  LONGS_EQUAL(7, FindSite(table, "255.255.255.254"));
  LONGS_EQUAL(9, FindSite(table, "255.255.255.255"));
  LONGS_EQUAL(-1, FindSite(client_block_table(), "10.0.0.1"));
}

/** Guards against a result that depends on the order in which a sort leaves equal blocks. */
TEST(client_block_table, last_mapping_of_a_repeated_block_wins)
{
  const client_block_table table(
    { { Block("10.0.0.0/8"), 1 }, { Block("10.0.0.0/16"), 5 }, { Block("10.0.0.0/8"), 2 } });
  LONGS_EQUAL(5, FindSite(table, "10.0.1.1"));
  LONGS_EQUAL(2, FindSite(table, "10.1.0.0"));
}

/** Guards against errors of the flattening that occur only with many overlapping blocks: compares
 * with a linear search of the longest prefix. */
TEST(client_block_table, matches_a_linear_search)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<block_mapping> mappings;
    for (int count = 0; count < 300; ++count) {
      const auto length = static_cast<std::uint8_t>(random() % 33);
      const ipv4_block whole{ 0, length };
      const auto address = static_cast<ipv4_address>(0x0A000000U | (random() & 0x0003FF0FU));
      mappings.push_back(
        { { address & ~whole.GetLast(), length }, static_cast<site_number>(random() % 360) });
      if (length == 0) {
        mappings.back().mBlock.mFirst = 0;
      }
    }
    const client_block_table table(mappings);
    for (int count = 0; count < 2'000; ++count) {
      const auto address = static_cast<ipv4_address>(0x0A000000U | (random() & 0x0003FFFFU));
      const block_mapping* best = nullptr;
      for (const block_mapping& mapping : mappings) {
        const bool contains =
          mapping.mBlock.mFirst <= address && address <= mapping.mBlock.GetLast();
        if (contains &&
            (best == nullptr || mapping.mBlock.mPrefixLength >= best->mBlock.mPrefixLength)) {
          best = &mapping;
        }
      }
      const auto found = table.Find(address);
      CHECK_TEXT(best == nullptr ? !found : found == best->mSite,
                 StringFromFormat("seed %d", static_cast<int>(seed)).asCharString());
    }
  }
}

/** Guards against a malformed block that the configuration accepts and that reaches the table. */
TEST(client_block_table, malformed_block_is_a_configuration_fault)
{
  const std::string text = "deployment = \"t\"\n"
                           "[[regions]]\nname = \"north\"\nzones = [\"n-a\"]\n"
                           "capacity_per_second = 10\n"
                           "[[services]]\nname = \"s\"\nshift_cap_percent_per_minute = 10\n"
                           "[[services.routes]]\npath = \"/\"\n"
                           "[[client_blocks]]\nnetwork = \"10.0.0.0/8\"\nregion = \"north\"\n";
  config_faults faults;
  const auto valid = ParseCatalogue(text, "t", faults);
  CHECK(valid.has_value());
  LONGS_EQUAL(0, FindSite(MakeClientBlockTable(*valid), "10.9.9.9"));
  const std::string bad = "[[client_blocks]]\nnetwork = \"10.0.0.0/40\"\nregion = \"north\"\n";
  CHECK_FALSE(ParseCatalogue(text + bad, "t", faults).has_value());
  LONGS_EQUAL(1, faults.size());
  STRCMP_EQUAL("client_blocks[1].network", faults[0].mKey.c_str());
  LONGS_EQUAL(15, faults[0].mLine);
}
