#include "citronpulley/base/stream_compression.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace citronpulley;

namespace {

constexpr std::size_t kMaxSize = 1UL << 20U;

std::string MakeReport(int aNumber)
{
  std::string report;
  for (int i = 0; i < 80; ++i) {
    report += "workspace-" + std::to_string(i * 7) + "=" + std::to_string(aNumber % 3) + ";";
  }
  return report;
}

} // namespace

TEST_GROUP(stream_compression){};

/** Guards against altered or truncated messages when consecutive messages share one dictionary. */
TEST(stream_compression, restores_messages_in_order)
{
  stream_compressor compressor;
  stream_decompressor decompressor;
  for (int i = 0; i < 50; ++i) {
    const std::string message = i % 7 == 0 ? std::string(20'000, 'x') : MakeReport(i);
    const result<std::string> decompressed =
      decompressor.Decompress(compressor.Compress(message), kMaxSize);
    CHECK(static_cast<bool>(decompressed));
    CHECK(decompressed.Get() == message);
  }
  const result<std::string> empty = decompressor.Decompress(compressor.Compress(""), kMaxSize);
  CHECK(static_cast<bool>(empty) && empty.Get().empty());
}

/** Guards against losing the dictionary between messages: repeated reports must compress well. */
TEST(stream_compression, compresses_a_repeated_message_to_a_small_fraction)
{
  stream_compressor compressor;
  compressor.Compress(MakeReport(1));
  CHECK(compressor.Compress(MakeReport(1)).size() * 20 < MakeReport(1).size());
}

/** Guards against damaged input that is accepted, and against input that expands without limit. */
TEST(stream_compression, refuses_damaged_and_oversized_input)
{
  stream_decompressor damaged;
  CHECK(!damaged.Decompress("\xff\xff\xff\xff not a stream", kMaxSize));
  stream_compressor compressor;
  stream_decompressor small;
  CHECK(!small.Decompress(compressor.Compress(std::string(100'000, 'x')), 50'000));
}
