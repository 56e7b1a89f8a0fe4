#include "citronpulley/base/compression.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

TEST_GROUP(compression){};

/** Guards against texts that come back changed, also those that shrink more than expected. */
TEST(compression, restores_compressed_texts)
{
  for (const std::string& text : { std::string(), std::string("a"), std::string(1'000'000, 'x') }) {
    const result<std::string> decompressed = Decompress(Compress(text), 2'000'000);
    CHECK(static_cast<bool>(decompressed));
    CHECK(decompressed.Get() == text);
  }
}

/** Guards against bytes from the network that take any amount of memory, or end the process. */
TEST(compression, refuses_damaged_and_too_large_content)
{
  const std::string compressed = Compress(std::string(1'000'000, 'x'));
  CHECK_FALSE(static_cast<bool>(Decompress(compressed, 999'999)));
  CHECK_FALSE(
    static_cast<bool>(Decompress(compressed.substr(0, compressed.size() / 2), 2'000'000)));
  CHECK_FALSE(static_cast<bool>(Decompress("no zlib", 2'000'000)));
}
