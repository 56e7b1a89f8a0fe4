#include "citronpulley/routing/client_block_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citronpulley {

namespace {

constexpr site_number kNoSite = 0xFFFF;

/** Range of addresses up to the next range. */
struct address_range
{
  ipv4_address mFirst = 0;
  site_number mSite = kNoSite;
};

/** Appends a range; one that begins where the last one does replaces it. */
void Append(std::vector<address_range>& aRanges, ipv4_address aFirst, site_number aSite)
{
  if (aRanges.back().mFirst == aFirst) {
    aRanges.pop_back();
  }
  if (aRanges.empty() || aRanges.back().mSite != aSite) {
    aRanges.push_back({ aFirst, aSite });
  }
}

/** Flattens nested blocks into disjoint ranges that cover all addresses. */
std::vector<address_range> Flatten(std::vector<block_mapping> aMappings)
{
  std::stable_sort(aMappings.begin(), aMappings.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mBlock < aRight.mBlock;
  });
  std::vector<address_range> ranges{ { 0, kNoSite } };
  ranges.reserve(aMappings.size() * 2 + 1);
  std::vector<const block_mapping*> open;
  const auto close = [&] {
    const ipv4_address last = open.back()->mBlock.GetLast();
    open.pop_back();
    if (last != ~ipv4_address{ 0 }) {
      Append(ranges, last + 1, open.empty() ? kNoSite : open.back()->mSite);
    }
  };
  for (const block_mapping& mapping : aMappings) {
    assert(mapping.mSite <= client_block_table::kMaxSite);
    while (!open.empty() && open.back()->mBlock.GetLast() < mapping.mBlock.mFirst) {
      close();
    }
    if (!open.empty() && open.back()->mBlock == mapping.mBlock) {
      open.pop_back();
    }
    open.push_back(&mapping);
    Append(ranges, mapping.mBlock.mFirst, mapping.mSite);
  }
  while (!open.empty()) {
    close();
  }
  return ranges;
}

} // namespace

client_block_table::client_block_table()
  : client_block_table(std::vector<block_mapping>{})
{
}

client_block_table::client_block_table(std::vector<block_mapping> aMappings)
  : mFirstRanges(kSlash16Count + 1)
{
  const std::vector<address_range> ranges = Flatten(std::move(aMappings));
  // Each /16 has a range of its own at its start, also where a wider range continues.
  std::size_t count = kSlash16Count;
  for (const address_range& range : ranges) {
    count += (range.mFirst & 0xFFFFU) != 0 ? 1 : 0;
  }
  mLowHalves.reserve(count);
  mSites.reserve(count);
  const auto add = [&](ipv4_address aFirst, site_number aSite) {
    mLowHalves.push_back(static_cast<std::uint16_t>(aFirst & 0xFFFFU));
    mSites.push_back(aSite);
  };
  auto next = ranges.begin();
  site_number current = kNoSite;
  for (std::uint32_t upper = 0; upper < kSlash16Count; ++upper) {
    mFirstRanges[upper] = static_cast<std::uint32_t>(mLowHalves.size());
    if (next == ranges.end() || next->mFirst != upper << 16U) {
      add(0, current);
    }
    for (; next != ranges.end() && next->mFirst >> 16U == upper; ++next) {
      current = next->mSite;
      add(next->mFirst, current);
    }
  }
  mFirstRanges[kSlash16Count] = static_cast<std::uint32_t>(mLowHalves.size());
}

std::optional<site_number> client_block_table::Find(ipv4_address aAddress) const noexcept
{
  const std::uint32_t upper = aAddress >> 16U;
  const auto begin = mLowHalves.begin() + mFirstRanges[upper];
  const auto end = mLowHalves.begin() + mFirstRanges[upper + 1];
  const auto after = std::upper_bound(begin, end, static_cast<std::uint16_t>(aAddress & 0xFFFFU));
  const site_number site = mSites[static_cast<std::size_t>(after - mLowHalves.begin()) - 1];
  return site == kNoSite ? std::nullopt : std::optional<site_number>(site);
}

std::size_t client_block_table::GetByteCount() const noexcept
{
  return sizeof(*this) + mFirstRanges.capacity() * sizeof(std::uint32_t) +
         mLowHalves.capacity() * sizeof(std::uint16_t) + mSites.capacity() * sizeof(site_number);
}

client_block_table MakeClientBlockTable(const catalogue& aCatalogue)
{
  std::vector<block_mapping> mappings;
  mappings.reserve(aCatalogue.mClientBlocks.size());
  for (const client_block& block : aCatalogue.mClientBlocks) {
    const result<ipv4_block> parsed = ParseIpv4Block(block.mNetwork);
    const region_entry* region = aCatalogue.FindRegion(block.mRegion);
    assert(parsed && region != nullptr);
    mappings.push_back(
      { parsed.Get(), static_cast<site_number>(region - aCatalogue.mRegions.data()) });
  }
  return client_block_table(std::move(mappings));
}

} // namespace citronpulley
