#ifndef CITRONPULLEY_STORAGE_STORAGE_H
#define CITRONPULLEY_STORAGE_STORAGE_H

/**
 * @file
 * Module `storage`: durable log, vote and snapshots in the data folder of a control VM. It depends
 * on `base` and on the log entry of `wire`.
 */

#include "citronpulley/storage/durable_log.h"
#include "citronpulley/storage/file_system.h"
#include "citronpulley/storage/member_storage.h"
#include "citronpulley/storage/posix_file_system.h"
#include "citronpulley/storage/snapshot_store.h"

#endif
