#include "citronpulley/base/digest.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace citronpulley;

TEST_GROUP(digest){};

/** Guards against fingerprints of requests that differ from those of entry VMs of other builds. */
TEST(digest, parts_have_the_digest_of_the_whole_text)
{
  CHECK(ComputeDigest("boats\nGET\nhost\n/path\nbody") ==
        ComputeDigest({ "boats", "\n", "GET", "\n", "host", "\n", "/path", "\n", "body" }));
  STRCMP_EQUAL("cae66941d9efbd404e4d88758ea67670", ToHex(ComputeDigest("")).c_str());
}
