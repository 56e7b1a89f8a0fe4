#ifndef CITRONPULLEY_BASE_STREAM_COMPRESSION_H
#define CITRONPULLEY_BASE_STREAM_COMPRESSION_H

#include "citronpulley/base/result.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace citronpulley {

/**
 * Compresses the messages of one connection, each with the earlier messages as its dictionary, so
 * that content which is repeated between messages takes very few bytes. For single texts use
 * `Compress`. Not thread-safe.
 */
class stream_compressor
{
public:
  stream_compressor();
  ~stream_compressor();
  stream_compressor(const stream_compressor&) = delete;
  stream_compressor& operator=(const stream_compressor&) = delete;

  /** @return the compressed message. The decompressor must get all messages, in the same order. */
  std::string Compress(std::string_view aMessage);

private:
  struct stream;
  std::unique_ptr<stream> mStream;
};

/** Decompresses the messages of a `stream_compressor`. Not thread-safe. */
class stream_decompressor
{
public:
  stream_decompressor();
  ~stream_decompressor();
  stream_decompressor(const stream_decompressor&) = delete;
  stream_decompressor& operator=(const stream_decompressor&) = delete;

  /**
   * @param aCompressed one compressed message
   * @param aMaxSize maximum size of the message in bytes
   * @return the message, or `bad_message`; after an error no later message can be decompressed
   */
  result<std::string> Decompress(std::string_view aCompressed, std::size_t aMaxSize);

private:
  struct stream;
  std::unique_ptr<stream> mStream;
};

} // namespace citronpulley

#endif
