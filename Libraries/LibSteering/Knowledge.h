#pragma once

#include "Mirror.h"
#include "PlatformPort.h"

#include <LibObserve/LibObserve.h>

#include <memory>
#include <string>

namespace Steering {

/// How long ago targets' registrations were first found to be gone, by the target's id.
using RemovalAges = std::map<std::string, Model::Milliseconds>;

/// Returns the ages in a text that Knowledge::forPeer() wrote; none if it has none that can be
/// read. Thread safety: any thread.
RemovalAges removalsFromPeer(const std::string &text);

/// Up to where an instance knows the tables; zero where it knows nothing of one.
struct HeldPositions
{
    Platform::Revision operators_;
    Platform::Revision targets_;
};

/// What an instance knows of the platform: the operators' table and the targets, each with its age.
///
/// Versions only grow, whoever offers them. Thread safety: none; belongs to one thread.
class Knowledge
{
public:
    Knowledge(const PlatformPort &port, const Observe::Settings &settings,
              Observe::DecisionLog &log);

    /// Takes in all rows of a table, or changes since its position.
    void replace(StoreTable table, const Platform::StoredRows &rows, std::string_view source);
    void apply(StoreTable table, const Platform::StoredRows &changes, std::string_view source);

    const Mirror &mirror(StoreTable table) const;

    /// The operators' table in force, or nullptr before any is known.
    const std::shared_ptr<const Model::Table> &table() const { return table_; }
    /// Failure domains whose targets are to get nothing for now.
    const std::set<Model::FailureDomainId> &drained() const { return drained_; }
    /// Grows with each change of the table or of what is drained.
    std::uint64_t tableChanges() const { return tableChanges_; }
    /// Grows with each change of a target's row.
    std::uint64_t targetChanges() const { return targetChanges_; }
    /// Who told of the latest change of a target's row: "store" or a peer's name.
    const std::string &targetsSource() const { return targetsSource_; }

    /// Returns up to where the tables are known here.
    HeldPositions held() const;
    /// Tells whether somebody whose last changes are these knows something that is not known here.
    ///
    /// What goes wrong with comparing last changes: two instances that read the store at different
    /// moments of a calm hour have different ones and know the same; the one with the lower goes on
    /// asking the other, ten times a second, for nothing. Everything up to a position is known.
    bool lacks(const HeldPositions &lastChanges) const;
    /// Returns what a peer that holds so much lacks: a text that takeFromPeer() reads. It has the
    /// changes alone where those are known, else all rows. \a removals goes with it: the time for
    /// which a missing target may be used begins with the first that notices it, not with the last.
    std::string forPeer(const HeldPositions &held, const RemovalAges &removals = {}) const;
    /// Takes in what a peer knows where it is newer. Returns whether anything was.
    bool takeFromPeer(const std::string &text, const std::string &peer);

private:
    void operatorsChanged(std::string_view source);
    std::vector<Model::Row> allRows(OperatorRows operators) const;

    const PlatformPort &port_;
    const Observe::Settings &settings_;
    Observe::DecisionLog &log_;
    Mirror operators_;
    Mirror targets_;
    std::shared_ptr<const Model::Table> table_;
    std::set<Model::FailureDomainId> drained_;
    std::uint64_t tableChanges_ = 0;
    std::uint64_t targetChanges_ = 0;
    std::string targetsSource_;
};

} // namespace Steering
