#pragma once

#include "SoakSite.h"

namespace Soak {

/// A request that reached a target beside what the target had asked its sender for.
struct TermViolation
{
    bool isPause_ = false;
    std::string what_;
};

/// Checks that instances keep to what targets ask them for in answers: pauses, and no requests
/// after an announced leave. Only a kill, a stop or a pause of the instance's process excuses it,
/// and a disturbance of the ways to targets, by which requests arrive late or through peers.
///
/// Thread safety: none.
class TermPromises
{
public:
    explicit TermPromises(const SoakSite &site)
        : site_(site)
    {
    }

    /// Records a request that reached a target, in the order of arrival for each target. It is not
    /// judged if the soak itself is not \a isOnTime.
    void note(const PlatformStandIns::Arrival &arrival, bool isOnTime);
    /// Returns the violations since the last call.
    std::vector<TermViolation> takeViolations() { return std::exchange(violations_, {}); }
    /// Pauses and announced leaves, each at one instance, for which a later request was due or the
    /// pause has ended.
    std::size_t judgedPauses() const { return judgedPauses_; }
    std::size_t judgedLeaves() const { return judgedLeaves_; }

private:
    struct Pause
    {
        Model::SteadyTime askedAt_;
        Model::SteadyTime endsAt_;
        int requests_ = 0;
    };
    struct Terms
    {
        std::vector<Pause> pauses_;
        std::optional<Model::SteadyTime> leaveAnnouncedAt_;
    };

    bool isBoundSince(const Model::Address &entry, Model::SteadyTime time) const;

    const SoakSite &site_;
    /// By the target's incarnation and the instance that sent the request.
    std::map<std::pair<std::string, std::string>, Terms> terms_;
    std::vector<TermViolation> violations_;
    std::size_t judgedPauses_ = 0;
    std::size_t judgedLeaves_ = 0;
};

} // namespace Soak
