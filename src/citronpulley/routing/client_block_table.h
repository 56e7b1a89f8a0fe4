#ifndef CITRONPULLEY_ROUTING_CLIENT_BLOCK_TABLE_H
#define CITRONPULLEY_ROUTING_CLIENT_BLOCK_TABLE_H

#include "citronpulley/base/ipv4_block.h"
#include "citronpulley/config/catalogue.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace citronpulley {

/** Number of a site or region that client blocks map to; at most `client_block_table::kMaxSite`. */
using site_number = std::uint16_t;

/** Client block with the site that is nearest to it. */
struct block_mapping
{
  ipv4_block mBlock;
  site_number mSite = 0;

  friend auto operator<=>(const block_mapping&, const block_mapping&) = default;
};

/**
 * Immutable look-up table from IPv4 client addresses to sites. Blocks may be nested; the longest
 * prefix wins. Of two mappings of the same block the later one wins.
 *
 * The blocks are flattened into disjoint ranges. The upper half of an address indexes the ranges
 * that begin in its /16, and the lower half is found among them by binary search, so that a range
 * takes four bytes. A change means a new table.
 */
class client_block_table
{
public:
  static constexpr site_number kMaxSite = 0xFFFE;

  /** Makes a table that maps no address. */
  client_block_table();

  /** @param aMappings mappings in any order; sites at most `kMaxSite` */
  explicit client_block_table(std::vector<block_mapping> aMappings);

  /** @return the site of the longest block that holds an address, or nothing */
  std::optional<site_number> Find(ipv4_address aAddress) const noexcept;

  /** @return disjoint ranges in the table, those without a site included */
  std::size_t GetRangeCount() const noexcept { return mLowHalves.size(); }

  /** @return memory that the table holds, in bytes */
  std::size_t GetByteCount() const noexcept;

private:
  static constexpr std::size_t kSlash16Count = 0x10000;

  /** Position of the first range of each /16, and the end. */
  std::vector<std::uint32_t> mFirstRanges;
  /** Lower half of the first address of each range; the first range of a /16 begins at 0. */
  std::vector<std::uint16_t> mLowHalves;
  std::vector<site_number> mSites;
};

/**
 * Builds the table of an operators' text.
 *
 * @param aCatalogue checked catalogue
 * @return table whose sites are positions in the catalogue's regions
 */
client_block_table MakeClientBlockTable(const catalogue& aCatalogue);

} // namespace citronpulley

#endif
