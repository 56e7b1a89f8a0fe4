#include "citronpulley/storage/record_codec.h"

#include <xxhash.h>

namespace citronpulley {

namespace {

constexpr std::string_view kMagic = "CPR1";
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kKindOffset = 16;
constexpr std::size_t kIndexOffset = 24;
constexpr std::size_t kTermOffset = 32;
constexpr unsigned kByteBits = 8;
/**
 * The lowest byte of the kind's field holds the kind. Two numbers of 28 bits follow: the distances
 * from the record back to the begin and to the end of the unsynced writes.
 */
constexpr std::uint64_t kKindMask = 0xff;
constexpr unsigned kDistanceBits = 28;
constexpr std::uint64_t kMaxDistance = (1ULL << kDistanceBits) - 1;

std::uint64_t EncodeKind(const file_record& aRecord, std::uint64_t aOffset)
{
  const auto kind = static_cast<std::uint64_t>(aRecord.mKind);
  const byte_range& unsynced = aRecord.mUnsynced;
  if (unsynced.mBegin >= unsynced.mEnd || aOffset - unsynced.mBegin > kMaxDistance) {
    return kind;
  }
  return kind | ((aOffset - unsynced.mBegin) << kByteBits) |
         ((aOffset - unsynced.mEnd) << (kByteBits + kDistanceBits));
}

} // namespace

void AppendNumber(std::uint64_t aNumber, std::size_t aSize, std::string& aBytes)
{
  for (std::size_t index = 0; index < aSize; ++index) {
    aBytes.push_back(static_cast<char>(aNumber >> (kByteBits * index)));
  }
}

std::uint64_t ReadNumber(std::string_view aBytes, std::size_t aSize) noexcept
{
  std::uint64_t number = 0;
  for (std::size_t index = 0; index < aSize; ++index) {
    number |= static_cast<std::uint64_t>(static_cast<unsigned char>(aBytes[index]))
              << (kByteBits * index);
  }
  return number;
}

void AppendRecord(const file_record& aRecord, std::uint64_t aOffset, std::string& aBytes)
{
  std::string body;
  body.reserve(kRecordHeaderSize + aRecord.mPayload.size());
  AppendNumber(EncodeKind(aRecord, aOffset), sizeof(std::uint64_t), body);
  AppendNumber(aRecord.mIndex, sizeof(std::uint64_t), body);
  AppendNumber(aRecord.mTerm, sizeof(std::uint64_t), body);
  body += aRecord.mPayload;
  aBytes += kMagic;
  AppendNumber(aRecord.mPayload.size(), sizeof(std::uint32_t), aBytes);
  AppendNumber(
    XXH3_64bits_withSeed(body.data(), body.size(), aOffset), sizeof(std::uint64_t), aBytes);
  aBytes += body;
}

std::optional<file_record> ReadRecord(std::string_view aContent, std::size_t aOffset) noexcept
{
  if (aOffset > aContent.size() || aContent.size() - aOffset < kRecordHeaderSize) {
    return std::nullopt;
  }
  const std::string_view rest = aContent.substr(aOffset);
  if (!rest.starts_with(kMagic)) {
    return std::nullopt;
  }
  const std::uint64_t length = ReadNumber(rest.substr(kLengthOffset), sizeof(std::uint32_t));
  if (rest.size() - kRecordHeaderSize < length) {
    return std::nullopt;
  }
  const std::string_view body = rest.substr(kKindOffset, kRecordHeaderSize - kKindOffset + length);
  const std::uint64_t checksum = ReadNumber(rest.substr(kChecksumOffset), sizeof(std::uint64_t));
  if (XXH3_64bits_withSeed(body.data(), body.size(), aOffset) != checksum) {
    return std::nullopt;
  }
  const std::uint64_t kind = ReadNumber(rest.substr(kKindOffset), sizeof(std::uint64_t));
  file_record record{ static_cast<record_kind>(kind & kKindMask),
                      ReadNumber(rest.substr(kIndexOffset), sizeof(std::uint64_t)),
                      ReadNumber(rest.substr(kTermOffset), sizeof(std::uint64_t)),
                      rest.substr(kRecordHeaderSize, length) };
  const std::uint64_t toBegin = (kind >> kByteBits) & kMaxDistance;
  const std::uint64_t toEnd = (kind >> (kByteBits + kDistanceBits)) & kMaxDistance;
  if (toBegin <= aOffset && toEnd <= toBegin) {
    record.mUnsynced = { aOffset - toBegin, aOffset - toEnd };
  }
  return record;
}

bool IsDamage(std::string_view aContent, std::size_t aOffset) noexcept
{
  for (std::size_t offset = aContent.find(kMagic, aOffset + 1); offset != std::string_view::npos;
       offset = aContent.find(kMagic, offset + 1)) {
    const std::optional<file_record> record = ReadRecord(aContent, offset);
    if (record && !record->mUnsynced.Contains(aOffset)) {
      return true;
    }
  }
  return false;
}

} // namespace citronpulley
