#ifndef CITRONPULLEY_STORAGE_RECORD_CODEC_H
#define CITRONPULLEY_STORAGE_RECORD_CODEC_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/**
 * @file
 * Checksummed records, of which all files of the data folder consist. A record is `magic (4),
 * length of the payload (4), XXH3-64 (8), kind (8), index (8), term (8), payload`, little-endian.
 */

namespace citronpulley {

/** What a record holds. */
enum class record_kind : std::uint8_t
{
  LogStart = 1,
  Command = 2,
  Membership = 3,
  Vote = 4,
  Member = 5,
  Snapshot = 6,
};

/** Record in a file; `mPayload` points into the bytes that were read. */
struct file_record
{
  record_kind mKind = record_kind::LogStart;
  std::uint64_t mIndex = 0;
  std::uint64_t mTerm = 0;
  std::string_view mPayload;
};

constexpr std::size_t kRecordHeaderSize = 40;

/**
 * Appends a record to some bytes.
 *
 * @param aRecord record
 * @param aOffset offset in the file at which the record will begin. The checksum depends on it, so
 * that bytes of a payload are never taken for a record.
 * @param aBytes gets the record
 */
void AppendRecord(const file_record& aRecord, std::uint64_t aOffset, std::string& aBytes);

/** @return the valid record that begins at an offset of a file's content, or nothing */
std::optional<file_record> ReadRecord(std::string_view aContent, std::size_t aOffset) noexcept;

/** @return true when a valid record begins anywhere after an offset */
bool HasRecordAfter(std::string_view aContent, std::size_t aOffset) noexcept;

/** Appends a number in little-endian form. */
void AppendNumber(std::uint64_t aNumber, std::size_t aSize, std::string& aBytes);

/** @return the little-endian number at the start of some bytes */
std::uint64_t ReadNumber(std::string_view aBytes, std::size_t aSize) noexcept;

} // namespace citronpulley

#endif
