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

/** Pure decisions of a node as the runner calls them. */
using node_handler = std::function<void(const node_event&, current_time, node_actions&)>;

/** Stores batches durably; called on the disk thread only. */
using batch_store = std::function<status(const std::vector<storage_batch>&)>;

/**
 * Threads, sockets and clock around a node: it turns what arrives into events, calls the node on
 * one thread, and carries out its actions.
 */
class node_runner
{
public:
  /**
   * @param aSettings settings of the VM
   * @param aSecret secret of the deployment
   * @param aIncarnation number of this run
   * @param aHandle the node's decisions; called on one thread only
   * @param aStore storage of a control VM; empty on entry VMs, which store nothing
   */
  node_runner(const vm_settings& aSettings,
              std::string aSecret,
              incarnation aIncarnation,
              node_handler aHandle,
              batch_store aStore = {});
  ~node_runner();
  node_runner(const node_runner&) = delete;
  node_runner& operator=(const node_runner&) = delete;

  /**
   * Runs until the node asks to stop. SIGTERM and SIGINT ask the node for a graceful stop.
   *
   * @return nothing after a graceful stop, or the error that prevented the start
   */
  status Run();

private:
  struct content;

  std::unique_ptr<content> mContent;
};

/**
 * Reads a file whole.
 *
 * @param aPath path
 * @return the content, or `not_found`
 */
result<std::string> ReadFile(const std::string& aPath);

/**
 * Reads a secret from a file, without the line break at its end.
 *
 * @param aPath path
 * @param aMinLength least number of characters
 * @return the secret, or an error that does not show it
 */
result<std::string> ReadSecretFile(const std::string& aPath, std::size_t aMinLength);

} // namespace citronpulley

#endif
