#pragma once

#include "TargetRegistry.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Steering {

/// State of one request while this instance handles it.
struct RequestContext
{
    /// Shared with the request's second try, so that the body is held once.
    std::shared_ptr<const Http::IncomingRequest> incoming_;
    /// Keeps the route alive while the table is replaced.
    std::shared_ptr<const Model::Table> table_;
    const Model::Route *route_ = nullptr;
    /// The caller's workspace, which table_ keeps alive; null if it needs none.
    const Model::Workspace *workspace_ = nullptr;
    Model::ServiceId service_;
    std::string id_;
    std::uint64_t object_ = 0;
    bool hasObject_ = false;
    Model::SteadyTime arrivedAt_;
    /// The earlier of the caller's own deadline and the route's timeout.
    Model::SteadyTime deadline_;
    /// Targets that were tried; attempts_ counts those that may have processed the request.
    std::vector<Model::TargetId> tried_;
    int attempts_ = 0;
    /// It was sent on a stale connection, so its next attempt uses a new one.
    bool needsNewConnection_ = false;
    /// HTTP status with which a target last rejected the request; zero if none did.
    unsigned rejectionStatus_ = 0;
    Http::ExchangeControl control_;
    bool isAbandoned_ = false;
    /// It runs beside a first try that has not been answered yet.
    bool isSecondTry_ = false;
    /// Called when an attempt begins to be sent, and when the caller of an idempotent request has
    /// left. Unset while no second try may follow.
    std::function<void()> onAttemptSent_;
    std::function<void()> onAbandoned_;
    /// Its first attempt has been sent and counted against the workspace's quota.
    bool isCountedAsSent_ = false;
    /// Computed on first use.
    std::optional<std::uint32_t> cachedPrefix_;
    std::optional<Policy::RequestFingerprint> cachedFingerprint_;
    /// A peer forwarded it: it is not forwarded again, and the peer has charged it to its quota.
    bool isForwarded_ = false;
    int forwardingTries_ = 0;
    /// It is sent to no target that this instance has not reached lately; a peer may reach it.
    bool avoidsUnreachable_ = false;
    /// The target that last announced its leave in an answer to it.
    std::optional<Model::TargetId> leavingTarget_;
    /// How it ended, for a peer that forwarded it.
    Policy::Outcome outcome_ = Policy::Outcome::NotRun;
    Model::ResultCode code_ = Model::ResultCode::Ok;
    /// Holds the instance's only slot for serialized probes, that is, for requests suspected of
    /// crashing targets.
    bool holdsProbeSlot_ = false;
    /// Identifies it in the queue for room; zero if it does not wait there.
    Policy::WaiterId waiter_ = 0;
    /// The instance may have one more request in progress at the targets.
    bool hasRoom_ = true;
    /// When it was first refused, if it has returned as announced.
    std::optional<Model::SteadyTime> firstRefusedAt_;

    /// Its attempt was cancelled because another attempt was answered first, which proves nothing
    /// about its target.
    bool isOvertaken() const { return control_.isCancelled() && !isAbandoned_; }
};

/// Return the request's fingerprint prefix and its fingerprint. \a names are the platform's.
/// Thread safety: \a request belongs to the calling thread.
std::uint32_t fingerprintPrefixFor(RequestContext &request, const HeaderNames &names);
const Policy::RequestFingerprint &fingerprintFor(RequestContext &request, const HeaderNames &names);

/// The target chosen for a request, and the basis of the choice.
struct Placement
{
    std::shared_ptr<TargetState> target_;
    bool isHome_ = false;
    bool isRemoteHome_ = false;
    /// This entry has recently sent the object there, so the target is expected to have it loaded.
    bool isKnownWarm_ = false;
    double load_ = 0;
    Model::Microseconds expected_{0};
    /// Upper bound of the time that a healthy target takes.
    Model::Microseconds maxUsualLatency_{0};
    /// The shortest expected time of the other candidates, if there are any and the service's
    /// targets report their pace.
    std::optional<Model::Microseconds> nextExpected_;
};

/// Time within which an instance expects to receive the table and the targets after its start.
constexpr Model::Milliseconds retryDelayWhenNotReady{300};

/// Why a request is not sent to any target, and when the caller may retry.
struct Refusal
{
    Model::ResultCode code_ = Model::ResultCode::OverCapacity;
    Model::Milliseconds retryAfter_{0};
    Model::Microseconds expected_{0};
    /// Expected time at a target with a free slot.
    Model::Microseconds expectedWithSlot_{0};
};

} // namespace Steering
