#ifndef CITRONPULLEY_RUNTIME_NODE_RUNNER_H
#define CITRONPULLEY_RUNTIME_NODE_RUNNER_H

#include "citronpulley/base/result.h"
#include "citronpulley/config/vm_settings.h"
#include "citronpulley/node/node_actions.h"
#include "citronpulley/node/node_events.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace citronpulley {

/**
 * Decision logic of a node: handles an event at a given time and appends the actions to execute. It
 * does no input or output.
 */
using node_handler = std::function<void(const node_event&, current_time, node_actions&)>;

/** Writes batches durably to storage; called on the disk thread only. */
using batch_store = std::function<status(const std::vector<storage_batch>&)>;

/**
 * Runs a node with real threads, sockets and clock: turns requests, messages, signals and timer
 * ticks into events, passes them to the node on one thread, and executes its actions.
 */
class node_runner
{
public:
  /**
   * @param aSettings settings of the VM
   * @param aSecret secret of the deployment, which authenticates messages between VMs
   * @param aIncarnation incarnation of this process
   * @param aHandler decision logic of the node; called on one thread only
   * @param aBatchStore storage of a control VM; empty on entry VMs, which have no storage
   */
  node_runner(const vm_settings& aSettings,
              std::string aSecret,
              incarnation aIncarnation,
              node_handler aHandler,
              batch_store aBatchStore = {});
  ~node_runner();
  node_runner(const node_runner&) = delete;
  node_runner& operator=(const node_runner&) = delete;

  /**
   * Runs until the node emits `stop_process`. SIGTERM and SIGINT request a graceful stop from the
   * node.
   *
   * @return nothing after a graceful stop, or the error that prevented the start or the failure of
   *         the storage
   */
  status Run();

private:
  struct impl;

  std::unique_ptr<impl> mImpl;
};

/**
 * Reads a complete file.
 *
 * @param aPath path
 * @return the content of the file, or `not_found` if it cannot be read
 */
result<std::string> ReadFile(const std::string& aPath);

/**
 * Reads a secret from a file and removes line breaks at its end.
 *
 * @param aPath path
 * @param aMinLength minimum number of characters
 * @return the secret, or an error that does not contain any of it
 */
result<std::string> ReadSecretFile(const std::string& aPath, std::size_t aMinLength);

} // namespace citronpulley

#endif
