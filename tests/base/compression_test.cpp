#include "citronpulley/base/compression.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(compression){};

/** Guards against altered texts, also when the decompressed size exceeds the initial estimate and
 * the buffer must be enlarged. */
TEST(compression, restores_compressed_texts)
{
  for (const std::string& text : { std::string(), std::string("a"), std::string(1'000'000, 'x') }) {
    const result<std::string> decompressed = Decompress(Compress(text), 2'000'000);
    CHECK(static_cast<bool>(decompressed));
    CHECK(decompressed.Get() == text);
  }
}

/** Guards against input from the network that makes the process use unlimited memory or crash. */
TEST(compression, refuses_damaged_and_too_large_content)
{
  const std::string compressed = Compress(std::string(1'000'000, 'x'));
  CHECK_FALSE(static_cast<bool>(Decompress(compressed, 999'999)));
  CHECK_FALSE(
    static_cast<bool>(Decompress(compressed.substr(0, compressed.size() / 2), 2'000'000)));
  CHECK_FALSE(static_cast<bool>(Decompress("no zlib", 2'000'000)));
}
