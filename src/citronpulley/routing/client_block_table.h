#ifndef CITRONPULLEY_ROUTING_CLIENT_BLOCK_TABLE_H
#define CITRONPULLEY_ROUTING_CLIENT_BLOCK_TABLE_H

#include "citronpulley/base/ipv4_block.h"
#include "citronpulley/config/catalogue.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace citronpulley {

/** Site or region to which client blocks map; at most `client_block_table::kMaxSite`. */
using site_number = std::uint16_t;

/** Block of client addresses with the site that is nearest to it. */
struct block_mapping
{
  ipv4_block mBlock;
  site_number mSite = 0;

  friend auto operator<=>(const block_mapping&, const block_mapping&) = default;
};

/**
 * Immutable look-up table from IPv4 client addresses to sites. Blocks may be nested; the longest
 * prefix wins. Of two mappings of the same block the later one wins. To change a mapping, build a
 * new table.
 *
 * The blocks are flattened into disjoint ranges. The upper 16 bits of an address select the ranges
 * that begin in its /16, and a binary search over the lower 16 bits finds the range, so that a
 * range takes four bytes.
 */
class client_block_table
{
public:
  static constexpr site_number kMaxSite = 0xFFFE;

  /** Creates an empty table, which maps no address. */
  client_block_table();

  /** @param aMappings mappings in any order; sites at most `kMaxSite` */
  explicit client_block_table(std::vector<block_mapping> aMappings);

  /** @return the site of the longest block that contains an address; nothing if none contains it */
  std::optional<site_number> Find(ipv4_address aAddress) const noexcept;

  /** @return number of disjoint ranges in the table, ranges without a site included */
  std::size_t GetRangeCount() const noexcept { return mLowHalves.size(); }

  /** @return memory that the table holds, in bytes */
  std::size_t GetByteCount() const noexcept;

private:
  static constexpr std::size_t kSlash16Count = 0x10000;

  /** Index of the first range of each /16, followed by the number of ranges. */
  std::vector<std::uint32_t> mFirstRanges;
  /** Lower 16 bits of the first address of each range; the first range of a /16 begins at 0. */
  std::vector<std::uint16_t> mLowHalves;
  std::vector<site_number> mSites;
};

/**
 * Builds the table for the client blocks of a catalogue.
 *
 * @param aCatalogue validated catalogue, whose client blocks parse and name known regions
 * @return table whose site numbers are indexes into the catalogue's regions
 */
client_block_table MakeClientBlockTable(const catalogue& aCatalogue);

} // namespace citronpulley

#endif
