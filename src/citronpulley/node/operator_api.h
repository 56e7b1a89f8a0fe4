#ifndef CITRONPULLEY_NODE_OPERATOR_API_H
#define CITRONPULLEY_NODE_OPERATOR_API_H

#include "citronpulley/base/result.h"
#include "citronpulley/config/config_fault.h"
#include "citronpulley/node/node_events.h"
#include "citronpulley/state/apply_result.h"
#include "citronpulley/state/command.h"
#include "citronpulley/state/control_state.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

/**
 * @file
 * HTTP interface of control VMs for operators: requests to typed operations, and results to
 * replies.
 */

namespace citronpulley {

/** Reads the operators' text in force. */
struct read_configuration
{};

/** Lists the keys in force, without their digests. */
struct list_keys
{};

/** Lists suspects and quarantined requests. */
struct list_quarantine
{};

/** Reads the state of the fleet. */
struct read_fleet
{};

/** Changes the replicated state. */
struct propose_change
{
  command_content mContent;
};

/** What an operator asks for. */
using operator_operation =
  std::variant<read_configuration, list_keys, list_quarantine, read_fleet, propose_change>;

/**
 * Reads an operator's request.
 *
 * @param aRequest HTTP request, already authenticated
 * @param aDeploymentSecret secret that keys the digests of callers' keys
 * @return the operation, or `not_found` or `bad_request`
 */
result<operator_operation> ParseOperation(const http_request_received& aRequest,
                                          std::string_view aDeploymentSecret);

/** @return the reply that lists all faults of a refused text */
http_answer MakeFaultsAnswer(const config_faults& aFaults);

/** @return the reply to a change */
http_answer MakeChangeAnswer(const apply_result& aResult);

/** @return the reply with the operators' text in force */
http_answer MakeConfigurationAnswer(const configuration_record& aConfiguration);

/** @return the reply that lists keys */
http_answer MakeKeysAnswer(const control_state& aState);

/** @return the reply that lists suspects */
http_answer MakeQuarantineAnswer(const control_state& aState);

/** What a control VM knows of the fleet. */
struct fleet_status
{
  vm_name mSelf;
  vm_name mLeader;
  state_index mIndex = 0;
  std::uint64_t mConfigurationVersion = 0;
  std::vector<vm_record> mVms;
  std::vector<zone_summary> mZones;
};

/** @return the reply with the state of the fleet */
http_answer MakeFleetAnswer(const fleet_status& aStatus);

} // namespace citronpulley

#endif
