#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

/// Whether an instance reaches the targets of one service in one failure domain, as its own
/// contacts show. A contact is an attempt to open a connection, or an answer.
///
/// What a partition takes from an instance is its way to a failure domain, not each target by
/// itself. A few contacts with different targets show it, however many targets there are.
/// Not shared between threads.
struct DomainReach
{
    struct Contact
    {
        std::uint64_t target_ = 0;
        bool isReached_ = false;
    };

    /// The last contacts with distinct targets, oldest first.
    std::vector<Contact> contacts_;
    /// Set while most of these targets are not reached.
    std::optional<Model::SteadyTime> lostSince_;
    /// The last contacts suggest that the domain is lost; probes will show it.
    bool isInDoubt_ = false;
    /// When targets were last chosen for probes, and when a target was last reached.
    Model::SteadyTime probedAt_ = Model::distantPast;
    Model::SteadyTime reachedAt_ = Model::distantPast;
};

/// A change that a contact has made.
enum class ReachChange { None, Lost, Regained };

/// Contacts that are remembered; at least this many, or all targets of a smaller domain, are needed
/// to consider it lost.
constexpr std::size_t maxReachContacts = 8;
constexpr std::size_t minReachContacts = 3;
/// A domain is lost from this fraction of unreached targets on. Half of its targets may be down
/// together.
constexpr double lostFraction = 0.8;
/// It is reached again when no more than this fraction is unreached.
constexpr double regainedFraction = 0.5;
/// Targets that are probed at once.
constexpr std::size_t probesInDoubt = 6;
constexpr std::size_t probesWhileLost = 2;
/// Probes of a doubtful domain are repeated after this time, which a connection takes to another
/// region, and after the longer one if the last ones reached a target.
constexpr Model::Milliseconds doubtProbeInterval{200};
constexpr Model::Milliseconds reassuredProbeInterval{1000};
constexpr Model::Milliseconds lostProbeInterval{500};
/// A domain without an answer for this long, while a request waits there for longer than usual, is
/// in doubt.
constexpr Model::Milliseconds overdueTime{1000};

/// Records a contact with one of the \a targets of the domain. Thread safety: \a reach belongs to
/// the calling thread.
ReachChange noteContact(DomainReach &reach, std::uint64_t target, bool isReached,
                        std::size_t targets, Model::SteadyTime now);

/// Returns how many targets of the domain are to be probed now, and records that they are.
/// Thread safety: as noteContact().
std::size_t takeProbes(DomainReach &reach, Model::SteadyTime now);

} // namespace Policy
