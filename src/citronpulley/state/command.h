#ifndef CITRONPULLEY_STATE_COMMAND_H
#define CITRONPULLEY_STATE_COMMAND_H

#include "citronpulley/base/digest.h"
#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/base/result.h"
#include "citronpulley/wire/request_messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/**
 * @file
 * Commands of the replicated state machine. The leader checks a command before it proposes it; the
 * state machine decides its outcome when it is applied, in the same way on each replica.
 */

namespace citronpulley {

/** Identifier that an operator's program gives to one change, so that a resend is recognised. */
using submission_id = typed_name<struct submission_id_tag>;

/** Replaces the operators' text if the version in force equals `mExpectedVersion`. */
struct submit_configuration
{
  submission_id mSubmission;
  std::uint64_t mExpectedVersion = 0;
  std::string mText;

  friend auto operator<=>(const submit_configuration&, const submit_configuration&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSubmission, mExpectedVersion, mText);
  }
};

/** Adds a key for a workspace. Idempotent for the same key; fails if the id belongs to another one.
 */
struct give_key
{
  submission_id mSubmission;
  key_id mKey;
  workspace_name mWorkspace;
  key_digest mDigest;

  friend bool operator==(const give_key&, const give_key&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSubmission, mKey, mWorkspace, mDigest);
  }
};

/** Removes a key. A missing key is not an error; the outcome reports whether the key existed. */
struct withdraw_key
{
  key_id mKey;

  friend auto operator<=>(const withdraw_key&, const withdraw_key&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey);
  }
};

/** Clears the suspicion and quarantine of a request, on behalf of an operator. */
struct clear_quarantine
{
  digest mFingerprint;

  friend auto operator<=>(const clear_quarantine&, const clear_quarantine&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint);
  }
};

/** Fraction of a service's traffic from a source region that a target region serves. */
struct region_share
{
  service_name mService;
  region_name mSource;
  region_name mTarget;
  /** From 0 to 1; the shares of one service and source sum to 1 or less, and the rest is shed. */
  double mShare = 0;

  friend auto operator<=>(const region_share&, const region_share&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mSource, mTarget, mShare);
  }
};

/** Replaces the steering plan, which divides traffic among regions. */
struct set_steering_plan
{
  std::vector<region_share> mShares;

  friend auto operator<=>(const set_steering_plan&, const set_steering_plan&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mShares);
  }
};

/** Content of a command; new alternatives are added at the end. */
using command_content = std::variant<submit_configuration,
                                     give_key,
                                     withdraw_key,
                                     clear_quarantine,
                                     set_steering_plan,
                                     claim_request,
                                     claim_outcome,
                                     crash_report,
                                     suspect_lease_request>;

/** Command with the leader's wall-clock time, so that claims and leases expire at the same command
 * on each replica. */
struct command
{
  std::int64_t mUnixMilliseconds = 0;
  command_content mContent;

  friend bool operator==(const command&, const command&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mUnixMilliseconds, mContent);
  }
};

std::string EncodeCommand(const command& aCommand);

/** @return the command, or `bad_message` if the bytes cannot be decoded */
result<command> DecodeCommand(std::string_view aBytes);

} // namespace citronpulley

#endif
