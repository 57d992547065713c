#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

/// What a target said of its load to some instance, as instances tell it each other.
struct TargetLoad
{
    /// The lower half of seedOf() of the target's id.
    std::uint32_t target_ = 0;
    std::uint32_t inProgress_ = 0;
    /// How long ago the target said so.
    Model::Milliseconds age_{0};
};

/// The latest word on a target's load, said to this instance or to another one.
/// Not shared between threads.
struct SharedLoad
{
    /// Requests that the target works on or keeps waiting, of all instances.
    double inProgress_ = 0;
    Model::SteadyTime saidAt_ = Model::longAgo;
    /// Since when every word said that all slots were taken.
    std::optional<Model::SteadyTime> fullSince_;
};

/// Word on a load counts for so long: a few rounds of exchanges between instances.
constexpr Model::Milliseconds loadNewsLife{1500};

/// Loads told in one message: half a kilobyte.
constexpr std::size_t mostLoadsTold = 64;

/// Takes in what a target of \a slots said at \a saidAt, if that is the latest word.
/// Thread safety: \a load belongs to the calling thread.
void learnLoad(SharedLoad &load, double inProgress, Model::Slots slots, Model::SteadyTime saidAt);

/// A target that is full for so long is the owner of more than it can serve, and not just met by a
/// few requests at once.
constexpr Model::Milliseconds lastingFullness{2000};

/// Tells whether a target has been full for that long, by every word of it.
/// Thread safety: any thread.
bool isLastinglyFull(const SharedLoad &load, Model::SteadyTime now);

/// Tells whether others should hear of \a load: all \a slots were taken, lately.
///
/// What goes wrong without it: in a fleet of two hundred each instance hears from a target once in
/// ten seconds and takes it for idle in between. The owners of the objects that are asked for most
/// are full all the time, each request waits there for longer than it works, and the second owners
/// stand idle. Thread safety: any thread.
bool isLoadNews(const SharedLoad &load, Model::Slots slots, Model::SteadyTime now);

/// Returns what other instances have in progress there by the latest word, of which \a own are this
/// instance's; 0 if that is old. Thread safety: any thread.
double othersByNews(const SharedLoad &load, double own, Model::SteadyTime now);

/// Keeps the \a loads that were said last, as many as go into one message.
/// Thread safety: any thread.
void keepLatest(std::vector<TargetLoad> &loads);

} // namespace Policy
