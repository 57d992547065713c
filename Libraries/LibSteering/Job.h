#pragma once

#include "TargetBook.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Steering {

/// One request on its way through this instance.
struct Job
{
    Http::IncomingRequest incoming_;
    /// Keeps the route alive while the table is replaced.
    std::shared_ptr<const Model::Table> table_;
    const Model::Route *route_ = nullptr;
    Model::ServiceId service_;
    std::string id_;
    std::uint64_t object_ = 0;
    bool hasObject_ = false;
    Model::SteadyTime arrivedAt_;
    /// The earlier of the caller's own deadline and the route's timeout.
    Model::SteadyTime deadline_;
    /// Targets to which it was sent; how many of them may have worked on it.
    std::vector<Model::TargetId> tried_;
    int attempts_ = 0;
    /// With what status a target last turned it away; zero if none did.
    unsigned turnedAwayWith_ = 0;
    Http::ExchangeControl control_;
    bool isAbandoned_ = false;
    /// Made when they are first needed.
    std::optional<std::uint32_t> head_;
    std::optional<Policy::RequestPrint> print_;
    /// It holds the instance's one place for requests under which targets ended.
    bool isOnTrial_ = false;
};

/// Returns the head of the request's print, and the print. \a names are the platform's.
/// Thread safety: \a job belongs to the calling thread.
std::uint32_t headOf(Job &job, const HeaderNames &names);
const Policy::RequestPrint &printOf(Job &job, const HeaderNames &names);

/// Where a request goes, and what that rests on.
struct Placement
{
    std::shared_ptr<TargetState> target_;
    bool isHome_ = false;
    bool isHomeOfOthers_ = false;
    /// This entry has sent the object there before.
    bool isKnownWarm_ = false;
    double load_ = 0;
    Model::Microseconds expected_{0};
    /// A sound target takes no longer than this.
    Model::Microseconds latestUsual_{0};
};

/// An instance that does not know the table or the targets yet expects them within this time.
constexpr Model::Milliseconds comeBackWhenReady{300};

/// Why a request is not sent anywhere now, and when to ask again.
struct Refusal
{
    Model::ResultCode code_ = Model::ResultCode::OverCapacity;
    Model::Milliseconds comeBack_{0};
    Model::Microseconds expected_{0};
};

} // namespace Steering
