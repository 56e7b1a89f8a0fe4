#include "citronpulley/gateway/control_gateway.h"

#include "citronpulley/base/overloaded.h"
#include "citronpulley/gateway/clock.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <random>
#include <utility>

namespace citronpulley {

namespace {

constexpr microseconds kHousekeepingInterval{ 100'000 };
/** Time from the stop signal to the exit, so that requests in progress can finish. */
constexpr microseconds kStopDelay{ 500'000 };
/** Limits of the control interface; the limits in the configuration apply to caller traffic. */
constexpr std::uint32_t kMaxHeaderBytes = 16'384;
constexpr microseconds kIdleTimeout{ 30'000'000 };

/** @return a random odd number, hence never 0 */
std::uint64_t GenerateRandomNumber()
{
  std::random_device source;
  return (std::uint64_t{ source() } << 32U | source()) | 1U;
}

std::string_view GetCallName(const put_config_call&)
{
  return "put_config";
}
std::string_view GetCallName(const get_config_call&)
{
  return "get_config";
}
std::string_view GetCallName(const evacuation_call&)
{
  return "evacuation";
}
std::string_view GetCallName(const announcement_call&)
{
  return "announcement";
}
std::string_view GetCallName(const departure_call&)
{
  return "departure";
}
std::string_view GetCallName(const resolve_call&)
{
  return "resolve";
}
std::string_view GetCallName(const ready_call&)
{
  return "ready";
}
std::string_view GetCallName(const unknown_call&)
{
  return "unknown";
}

/** @return name of the kind of message in the log */
std::string_view GetKind(const fleet_message& aMessage)
{
  return std::visit(
    overloaded{
      [](const contact_request&) { return std::string_view("contact_request"); },
      [](const contact_reply&) { return std::string_view("contact_reply"); },
      [](const group_message&) { return std::string_view("group_message"); },
      [](const entry_report&) { return std::string_view("entry_report"); },
      [](const entry_update&) { return std::string_view("entry_update"); },
      [](const announcement_batch&) { return std::string_view("announcement_batch"); },
      [](const directory_update&) { return std::string_view("directory_update"); },
    },
    aMessage);
}

std::string_view GetPort(std::string_view aAddress)
{
  return aAddress.substr(aAddress.rfind(':') + 1);
}

} // namespace

control_gateway::control_gateway(control_gateway_settings aSettings,
                                 std::unique_ptr<wire_dialect> aDialect)
  : mSettings(std::move(aSettings))
  , mDialect(std::move(aDialect))
  , mParsedConfigs([this](std::string_view aText) { return mDialect->ParseConfig(aText); })
  , mLog(mSettings.mName)
  , mStorage(mFileSystem, mSettings.mDataFolder)
  , mSessionContext(std::make_shared<http_session_context>())
  , mControlListener(mIo, mSessionContext)
  , mDirectoryListener(mIo, mSessionContext)
  , mMetricsListener(mIo, mMetrics.MakeSessionContext([this] { RefreshGauges(); }))
  , mBus(
      mIo,
      [this](const fleet_message& aMessage, const fleet_bus::send_reply& aReply) {
        ReceiveMessage(aMessage, aReply);
      },
      [this](const std::string& aPeer, const std::string& aReason) {
        mLog.Write("frame_refused", { { "peer", aPeer }, { "reason", aReason } }, GetBootTime());
      })
  , mSignals(mIo, SIGTERM, SIGINT, SIGHUP)
  , mTimer(mIo)
{
  mSessionContext->mLimits = [] {
    caller_limits limits;
    limits.mMaxHeaderBytes = kMaxHeaderBytes;
    limits.mMaxBodyBytes = kMaxBodyBytes;
    limits.mIdleTimeout = kIdleTimeout;
    return limits;
  };
  mSessionContext->mOnRequest = [this](const request_ptr& aRequest) { HandleRequest(aRequest); };
  mSessionContext->mOnRejected = [this](unsigned aStatus) { RecordRejected(aStatus); };
}

control_gateway::~control_gateway() = default;

status control_gateway::OpenStorage()
{
  result<recovered_member> recovered = mStorage.Open(member_id{ GenerateRandomNumber() });
  if (!recovered) {
    return recovered.GetError();
  }
  if (recovered.Get().mSnapshot) {
    // Starting without the state would bring back withdrawn keys and backend servers that left.
    const result<fleet_state> state = fleet_state::Decode(recovered.Get().mSnapshot->mState);
    if (!state) {
      return state.GetError();
    }
  }
  if (mSettings.mIsFirstStart) {
    std::optional<storage_batch> bootstrapBatch =
      BootstrapGroup(mSettings.mControl, recovered.Get(), GenerateRandomNumber());
    if (bootstrapBatch) {
      if (status stored = mStorage.Store({ *bootstrapBatch }); !stored) {
        return stored;
      }
      recovered.Get().mEntries = bootstrapBatch->mEntries;
      mLog.Write("group_founded", {}, GetBootTime());
    }
  }
  mControl = std::make_unique<fleet_control>(
    mSettings.mControl,
    [this](std::string_view aText) { return mParsedConfigs.Parse(aText); },
    std::move(recovered.Get()),
    GenerateRandomNumber(),
    GetBootTime());
  mDiskWriter =
    std::make_unique<disk_writer>(mIo, mStorage, [this](const result<std::uint64_t>& aOutcome) {
      if (!aOutcome) {
        mLog.Write("disk_failed", { { "error", aOutcome.GetError().mMessage } }, GetBootTime());
        fleet_actions actions;
        mControl->HandleStorageFailure(GetBootTime(), actions);
        Execute(actions);
        return;
      }
      const instant startedAt = GetBootTime();
      fleet_actions actions;
      mControl->HandleStored(aOutcome.Get(), startedAt, actions);
      Execute(actions);
      mLoad.RecordWork("stored", GetBootTime() - startedAt);
    });
  return std::monostate{};
}

status control_gateway::Run()
{
  if (status opened = OpenStorage(); !opened) {
    return opened;
  }
  if (status opened = mBus.Open(mSettings.mControl.mSelf.mValue); !opened) {
    return opened;
  }
  if (status opened = mControlListener.Open(mSettings.mControlAddress); !opened) {
    return opened;
  }
  if (status opened = mDirectoryListener.Open(mSettings.mDirectoryAddress); !opened) {
    return opened;
  }
  if (!mSettings.mMetricsAddress.empty()) {
    if (status opened = mMetricsListener.Open(mSettings.mMetricsAddress); !opened) {
      return opened;
    }
  }
  mLog.Write("start",
             { { "role", "control" },
               { "address", mSettings.mControl.mSelf.mValue },
               { "first_start", mSettings.mIsFirstStart ? "yes" : "no" },
               { "config", static_cast<std::uint64_t>(mControl->GetState().GetVersion()) },
               { "last_index", static_cast<std::uint64_t>(mControl->GetGroup().GetLastIndex()) } },
             GetBootTime());
  WaitForSignal();
  Tick();
  status ended = std::monostate{};
  try {
    mIo.run();
  } catch (const std::exception& failure) {
    // The replicated state in memory may be incomplete; the one on disk is not, so the process ends
    // and starts from there.
    mLog.Write("unexpected_error", { { "error", failure.what() } }, GetBootTime());
    ended = MakeError(error_code::Internal, step::Replicate, mSettings.mName, failure.what());
  }
  mDiskWriter.reset();
  const instant now = GetBootTime();
  mLog.Write("stop", {}, now);
  mLog.Flush(now);
  return ended;
}

void control_gateway::WaitForSignal()
{
  mSignals.async_wait([this](const boost::system::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    const instant now = GetBootTime();
    if (aSignal == SIGHUP) {
      mLog.Write("reload", {}, now);
    } else if (!mStopAt) {
      mLog.Write("stopping", {}, now);
      mSessionContext->mIsStopping = true;
      mStopAt = now + kStopDelay;
    }
    WaitForSignal();
  });
}

void control_gateway::ReceiveMessage(const fleet_message& aMessage,
                                     const fleet_bus::send_reply& aReply)
{
  const instant startedAt = GetBootTime();
  fleet_actions actions;
  mControl->Receive(aMessage, startedAt, aReply, actions);
  Execute(actions);
  mLoad.RecordWork(GetKind(aMessage), GetBootTime() - startedAt);
}

void control_gateway::Tick()
{
  const instant now = GetBootTime();
  if (mTickDueAt) {
    mLoad.RecordLateness(now - *mTickDueAt);
  }
  fleet_actions actions;
  mControl->Tick(now, actions);
  Execute(actions);
  if (mNextHousekeepingAt <= now) {
    mNextHousekeepingAt = now + kHousekeepingInterval;
    mControlListener.CheckTimeouts(now);
    mDirectoryListener.CheckTimeouts(now);
    mMetricsListener.CheckTimeouts(now);
    mBus.CheckTimeouts(now);
    LogLoad(now);
    mLog.Flush(now);
  }
  if (mStopAt && *mStopAt <= now) {
    mIo.stop();
    return;
  }
  mLoad.RecordWork("tick", GetBootTime() - now);
  mTickDueAt = GetBootTime() + kTick;
  mTimer.expires_after(kTick);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void control_gateway::Execute(fleet_actions& aActions)
{
  for (fleet_action& action : aActions) {
    std::visit(
      overloaded{
        [this](send_fleet_message& aSend) { mBus.Send(aSend.mVm, aSend.mMessage); },
        [this](storage_batch& aBatch) { mDiskWriter->Store(std::move(aBatch)); },
        [this](fleet_event& aEvent) { mLog.Write(aEvent.mName, aEvent.mDetails, GetBootTime()); },
        [this](const reopen_storage&) { ReopenStorage(); },
      },
      action);
  }
}

void control_gateway::ReopenStorage()
{
  mDiskWriter->Reopen([this](result<recovered_member> aRecovered) {
    fleet_actions actions;
    mControl->HandleReopened(std::move(aRecovered), GenerateRandomNumber(), GetBootTime(), actions);
    Execute(actions);
  });
}

void control_gateway::RespondError(const request_ptr& aRequest,
                                   unsigned aStatus,
                                   std::string_view aMessage)
{
  Respond(aRequest, MakeResponse(aStatus, mDialect->WriteError(aMessage)));
}

void control_gateway::Respond(const request_ptr& aRequest, const http_response& aResponse)
{
  mMetrics.RecordCall(aRequest->mCallName, aResponse.mStatus);
  aRequest->Respond(aResponse);
}

void control_gateway::HandleRequest(const request_ptr& aRequest)
{
  const instant startedAt = GetBootTime();
  const control_call call = mDialect->ParseCall(aRequest->mMessage);
  aRequest->mCallName = std::visit([](const auto& aCall) { return GetCallName(aCall); }, call);
  std::visit(overloaded{
               [&](const unknown_call&) { RespondError(aRequest, 404, "no such call"); },
               [&](const ready_call&) { RespondError(aRequest, 404, "no such call"); },
               [&](const auto& aCall) { HandleCall(aRequest, aCall); },
             },
             call);
  mLoad.RecordWork(aRequest->mCallName, GetBootTime() - startedAt);
}

bool control_gateway::RedirectToLeader(const request_ptr& aRequest)
{
  if (mControl->CanAccept(GetBootTime())) {
    return false;
  }
  const vm_name& leader = mControl->GetLeader(GetBootTime());
  if (leader.IsEmpty() || mControl->IsLeader()) {
    RespondError(aRequest, 503, "no leader is known");
    return true;
  }
  // All control VMs use the same ports, so only the IP address differs.
  std::string location = "http://";
  location.append(GetIp(leader.mValue)).append(":");
  location.append(GetPort(mSettings.mControlAddress)).append(aRequest->mMessage.mTarget);
  Respond(aRequest, MakeResponse(307, {}, { { "Location", location } }));
  return true;
}

void control_gateway::HandleCall(const request_ptr& aRequest, const put_config_call& aCall)
{
  const instant now = GetBootTime();
  if (!aCall.mConfig) {
    mLog.Write("config_refused", { { "reason", aCall.mConfig.GetError().mMessage } }, now);
    RespondError(aRequest, 400, aCall.mConfig.GetError().mMessage);
    return;
  }
  const traffic_config& config = aCall.mConfig.Get();
  if (const std::optional<std::string> fault = FindFault(config)) {
    mLog.Write("config_refused",
               { { "version", static_cast<std::uint64_t>(config.mVersion) }, { "reason", *fault } },
               now);
    RespondError(aRequest, 400, *fault);
    return;
  }
  if (RedirectToLeader(aRequest)) {
    return;
  }
  mParsedConfigs.Set(aCall.mText, config);
  Submit(aRequest, put_config{ config.mVersion, config.mBase, aCall.mText });
}

void control_gateway::HandleCall(const request_ptr& aRequest, const evacuation_call& aCall)
{
  if (!RedirectToLeader(aRequest)) {
    Submit(aRequest, aCall.mCommand);
  }
}

void control_gateway::HandleCall(const request_ptr& aRequest, const departure_call& aCall)
{
  if (RedirectToLeader(aRequest)) {
    return;
  }
  record_departure command = aCall.mCommand;
  if (command.mStartedAtMs == 0) {
    command.mStartedAtMs = mControl->FindDepartingStartMs(command.mBackend, GetBootTime());
  }
  Submit(aRequest, command);
}

void control_gateway::Submit(const request_ptr& aRequest, const fleet_command& aCommand)
{
  fleet_actions actions;
  mControl->Submit(
    aCommand,
    [this, aRequest](std::optional<fleet_outcome> aOutcome) {
      LogOrder(*aRequest, aOutcome);
      if (!aOutcome) {
        RespondError(aRequest, 503, "the outcome is unknown");
        return;
      }
      switch (*aOutcome) {
        case fleet_outcome::Accepted:
          Respond(aRequest, MakeResponse(200, "{}"));
          return;
        case fleet_outcome::Conflict:
          RespondError(aRequest, 412, "another version is in force");
          return;
        case fleet_outcome::NotNewer:
          RespondError(aRequest, 400, "the version is not above the one in force");
          return;
      }
    },
    GetBootTime(),
    actions);
  Execute(actions);
}

void control_gateway::HandleCall(const request_ptr& aRequest, const get_config_call&)
{
  if (RedirectToLeader(aRequest)) {
    return;
  }
  fleet_actions actions;
  mControl->Read(
    [this, aRequest](bool aIsConfirmed) {
      if (!aIsConfirmed) {
        RespondError(aRequest, 503, "the newest configuration is not known");
      } else if (mControl->GetState().GetVersion() == 0) {
        RespondError(aRequest, 404, "there is no configuration yet");
      } else {
        Respond(aRequest, MakeResponse(200, mControl->GetState().GetText()));
      }
    },
    GetBootTime(),
    actions);
  Execute(actions);
}

void control_gateway::HandleCall(const request_ptr& aRequest, const announcement_call& aCall)
{
  if (!aCall.mRecord) {
    mLog.Write(
      "announcement_refused", { { "reason", aCall.mRecord.GetError().mMessage } }, GetBootTime());
    RespondError(aRequest, 400, aCall.mRecord.GetError().mMessage);
    return;
  }
  const backend_record& record = aCall.mRecord.Get();
  if (record.mIsLeaving) {
    // Acknowledged only after replication to a quorum: the entry VMs then get the departure even if
    // this VM fails.
    if (mControl->GetState().HasDeparted(record.mId, record.mStartedAtMs)) {
      Respond(aRequest, MakeResponse(200, "{}"));
    } else if (!RedirectToLeader(aRequest)) {
      Submit(aRequest, record_departure{ record.mId, record.mStartedAtMs });
    }
    return;
  }
  mControl->HandleAnnouncement(record, GetBootTime());
  Respond(aRequest, MakeResponse(200, "{}"));
}

void control_gateway::HandleCall(const request_ptr& aRequest, const resolve_call& aCall)
{
  const std::vector<entry_location> entries = mControl->ListEntryVms(GetBootTime());
  const auto listAddresses = [&entries](const auto& aMatches) {
    std::vector<std::string> addresses;
    for (const entry_location& entry : entries) {
      if (aMatches(entry) && addresses.size() < kMaxListedEntryVms) {
        addresses.push_back(entry.mCallerAddress);
      }
    }
    return addresses;
  };
  std::vector<std::string> addresses =
    listAddresses([&](const entry_location& aEntry) { return aEntry.mZone == aCall.mZone; });
  if (addresses.size() < kMinEntryVmsInZone) {
    addresses =
      listAddresses([&](const entry_location& aEntry) { return aEntry.mRegion == aCall.mRegion; });
  }
  if (addresses.empty()) {
    addresses = listAddresses([](const entry_location&) { return true; });
  }
  if (addresses.empty()) {
    RespondError(aRequest, 503, "no entry VM is known");
    return;
  }
  Respond(aRequest, MakeResponse(200, mDialect->WriteEntryVms(addresses, kEntryVmListTtl)));
}

} // namespace citronpulley
