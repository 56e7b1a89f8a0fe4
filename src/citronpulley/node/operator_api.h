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
 * HTTP interface of the control VMs for operators: parses requests into typed operations, and makes
 * HTTP responses from their results.
 */

namespace citronpulley {

/** Reads the configuration in force. */
struct read_configuration
{};

/** Lists the valid keys of callers, without their digests. */
struct list_keys
{};

/** Lists the requests that are suspected of crashing backend servers or quarantined. */
struct list_quarantine
{};

/** Reads the state of the fleet. */
struct read_fleet
{};

/** Proposes a command that changes the replicated state. */
struct propose_change
{
  command_content mContent;
};

/** Operation that an operator requests. */
using operator_operation =
  std::variant<read_configuration, list_keys, list_quarantine, read_fleet, propose_change>;

/**
 * Parses an operator's request.
 *
 * @param aRequest HTTP request, already authenticated
 * @param aDeploymentSecret secret of the deployment, with which callers' keys are hashed
 * @return the operation; `not_found` for an unknown method or path, `bad_request` for an invalid
 *         body or fingerprint
 */
result<operator_operation> ParseOperation(const http_request_received& aRequest,
                                          std::string_view aDeploymentSecret);

/** @return the response that refuses a configuration and lists all its faults */
http_answer MakeFaultsAnswer(const config_faults& aFaults);

/**
 * Makes the response to a decided change.
 *
 * @return status 200, or 409 for a configuration that was not accepted and 404 for another change
 *         that was not applied
 */
http_answer MakeChangeAnswer(const apply_result& aResult);

/** @return the response with the text, version and digest of the configuration in force */
http_answer MakeConfigurationAnswer(const configuration_record& aConfiguration);

/** @return the response that lists the keys of callers and their workspaces */
http_answer MakeKeysAnswer(const control_state& aState);

/** @return the response that lists the suspected and quarantined requests */
http_answer MakeQuarantineAnswer(const control_state& aState);

/** State of the fleet as one control VM knows it. */
struct fleet_status
{
  vm_name mSelf;
  vm_name mLeader;
  state_index mIndex = 0;
  std::uint64_t mConfigurationVersion = 0;
  std::vector<vm_record> mVms;
  std::vector<zone_summary> mZones;
};

/** @return the response with the state of the fleet */
http_answer MakeFleetAnswer(const fleet_status& aStatus);

} // namespace citronpulley

#endif
