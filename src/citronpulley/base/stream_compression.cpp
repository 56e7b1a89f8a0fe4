#include "citronpulley/base/stream_compression.h"

#include <algorithm>
#include <new>
#include <zlib.h>

namespace citronpulley {

namespace {

/** Base-2 logarithm of the dictionary size: 8 KiB, enough for a few reports. It is kept small
 * because a leader holds two dictionaries for each entry VM. */
constexpr int kWindowBits = 13;
/** zlib memory level; this one uses 16 KiB of hash tables for each compressor. */
constexpr int kMemoryLevel = 5;
constexpr std::size_t kChunkBytes = 4'096;

Bytef* ToBytes(std::string_view aText)
{
  // zlib declares its input as non-const, but does not write to it.
  return reinterpret_cast<Bytef*>(const_cast<char*>(aText.data()));
}

} // namespace

struct stream_compressor::stream
{
  z_stream mState{};
};

struct stream_decompressor::stream
{
  z_stream mState{};
};

stream_compressor::stream_compressor()
  : mStream(std::make_unique<stream>())
{
  if (deflateInit2(&mStream->mState,
                   Z_BEST_SPEED,
                   Z_DEFLATED,
                   -kWindowBits,
                   kMemoryLevel,
                   Z_DEFAULT_STRATEGY) != Z_OK) {
    throw std::bad_alloc();
  }
}

stream_compressor::~stream_compressor()
{
  deflateEnd(&mStream->mState);
}

std::string stream_compressor::Compress(std::string_view aMessage)
{
  z_stream& state = mStream->mState;
  state.next_in = ToBytes(aMessage);
  state.avail_in = static_cast<uInt>(aMessage.size());
  std::string compressed;
  do {
    const std::size_t offset = compressed.size();
    compressed.resize(offset + kChunkBytes);
    state.next_out = reinterpret_cast<Bytef*>(compressed.data() + offset);
    state.avail_out = kChunkBytes;
    // The only possible error is Z_BUF_ERROR, when the previous call filled the output exactly and
    // nothing is left to write. It needs no handling.
    deflate(&state, Z_SYNC_FLUSH);
    compressed.resize(offset + kChunkBytes - state.avail_out);
  } while (state.avail_out == 0);
  return compressed;
}

stream_decompressor::stream_decompressor()
  : mStream(std::make_unique<stream>())
{
  if (inflateInit2(&mStream->mState, -kWindowBits) != Z_OK) {
    throw std::bad_alloc();
  }
}

stream_decompressor::~stream_decompressor()
{
  inflateEnd(&mStream->mState);
}

result<std::string> stream_decompressor::Decompress(std::string_view aCompressed,
                                                    std::size_t aMaxSize)
{
  z_stream& state = mStream->mState;
  state.next_in = ToBytes(aCompressed);
  state.avail_in = static_cast<uInt>(aCompressed.size());
  std::string message;
  do {
    const std::size_t offset = message.size();
    message.resize(offset + kChunkBytes);
    state.next_out = reinterpret_cast<Bytef*>(message.data() + offset);
    state.avail_out = kChunkBytes;
    const int outcome = inflate(&state, Z_SYNC_FLUSH);
    message.resize(offset + kChunkBytes - state.avail_out);
    if ((outcome != Z_OK && outcome != Z_BUF_ERROR) || message.size() > aMaxSize) {
      return MakeError(error_code::BadMessage,
                       step::Decode,
                       "",
                       "the compressed data is damaged or expands beyond the maximum size");
    }
  } while (state.avail_out == 0);
  return message;
}

} // namespace citronpulley
