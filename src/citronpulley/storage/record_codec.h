#ifndef CITRONPULLEY_STORAGE_RECORD_CODEC_H
#define CITRONPULLEY_STORAGE_RECORD_CODEC_H

#include "citronpulley/storage/byte_range.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/**
 * @file
 * Encodes and decodes the checksummed records that all files of the data folder consist of. A
 * record is `magic (4 bytes), length of the payload (4), XXH3-64 (8), kind (1) and distances to the
 * unsynced writes before it (7), index (8), term (8), payload`, little-endian. The checksum covers
 * all fields after it.
 */

namespace citronpulley {

/** Kind of a record; the values are stored. */
enum class record_kind : std::uint8_t
{
  LogStart = 1,
  Command = 2,
  Membership = 3,
  Vote = 4,
  Member = 5,
  Snapshot = 6,
};

/** Record of a file. `mPayload` points into the bytes that were read and must not outlive them. */
struct file_record
{
  record_kind mKind = record_kind::LogStart;
  std::uint64_t mIndex = 0;
  std::uint64_t mTerm = 0;
  std::string_view mPayload;
  /**
   * Earlier writes to the file that were not synced when the record was written; empty in records
   * of earlier versions. A loss of power may lose any of these writes and keep the record.
   */
  byte_range mUnsynced{};
};

constexpr std::size_t kRecordHeaderSize = 40;

/**
 * Appends an encoded record to a buffer.
 *
 * @param aRecord record to encode
 * @param aOffset file offset at which the record will begin. It seeds the checksum, so that bytes
 * in a payload are not mistaken for a record.
 * @param aBytes buffer that the record is appended to
 */
void AppendRecord(const file_record& aRecord, std::uint64_t aOffset, std::string& aBytes);

/** @return the record that begins at an offset of a file's content, or nothing if it is incomplete
 * or its magic number or checksum is wrong */
std::optional<file_record> ReadRecord(std::string_view aContent, std::size_t aOffset) noexcept;

/**
 * @return true if a valid record after an offset shows that the bytes at the offset are damaged.
 * Otherwise, they belong to a write that was never synced and that a loss of power left incomplete.
 */
bool IsDamage(std::string_view aContent, std::size_t aOffset) noexcept;

/** Appends the lowest `aSize` bytes of a number in little-endian order. */
void AppendNumber(std::uint64_t aNumber, std::size_t aSize, std::string& aBytes);

/** @return the little-endian number in the first `aSize` bytes */
std::uint64_t ReadNumber(std::string_view aBytes, std::size_t aSize) noexcept;

} // namespace citronpulley

#endif
