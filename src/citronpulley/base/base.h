#ifndef CITRONPULLEY_BASE_BASE_H
#define CITRONPULLEY_BASE_BASE_H

/**
 * @file
 * Module `base`: identifiers, time types, errors, results, digests, compression, IPv4 blocks, the
 * bounded queue between threads and the plug-in registry. It depends on no other module.
 */

#include "citronpulley/base/bounded_ring.h"
#include "citronpulley/base/compression.h"
#include "citronpulley/base/digest.h"
#include "citronpulley/base/error.h"
#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/base/ipv4_block.h"
#include "citronpulley/base/overloaded.h"
#include "citronpulley/base/plugin_registry.h"
#include "citronpulley/base/result.h"
#include "citronpulley/base/stream_compression.h"

#endif
