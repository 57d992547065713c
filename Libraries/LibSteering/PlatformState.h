#pragma once

#include "PlatformPort.h"
#include "RemovalAges.h"
#include "TableReplica.h"

#include <LibObserve/LibObserve.h>

#include <memory>
#include <string>

namespace Steering {

/// Returns the ages in a text that PlatformState::encodeForPeer() wrote; empty if there are none or
/// they cannot be parsed. Thread safety: any thread.
RemovalAges parseRemovalAges(const std::string &text);

/// The revisions up to which an instance holds the tables; zero for a table that it does not hold.
struct KnownRevisions
{
    Platform::Revision operators_;
    Platform::Revision targets_;
};

/// An instance's copy of the platform's state: the operators' table and the targets' registrations.
///
/// Versions only increase, whether the store or a peer supplies them. Thread safety: none; belongs
/// to one thread.
class PlatformState
{
public:
    PlatformState(const PlatformPort &port, const Observe::Settings &settings,
                  Observe::DecisionLog &log);

    /// Records all rows of a table, unless they are older than the known ones, or the changes since
    /// its revision. replace() returns whether it did.
    bool replace(StoreTable table, const Platform::StoredRows &rows, std::string_view source);
    void apply(StoreTable table, const Platform::StoredRows &changes, std::string_view source);

    /// Applies changed PlatformTerms to the table in force.
    void termsChanged();

    const TableReplica &replica(StoreTable table) const;

    /// The operators' table in force, or nullptr before the first one.
    const std::shared_ptr<const Model::Table> &table() const { return table_; }
    /// Drained failure domains: their targets receive no requests.
    const std::set<Model::FailureDomainId> &drained() const { return drained_; }
    /// The number of cells and rows of the table in force that were fitted to the product's rules.
    std::size_t fittedCells() const { return fittedCells_; }
    /// Increases with each change of the table or of the drained failure domains.
    std::uint64_t tableChanges() const { return tableChanges_; }
    /// Increases with each change of a target's row.
    std::uint64_t targetChanges() const { return targetChanges_; }
    /// The source of the latest change of a target's row: "store" or a peer's name.
    const std::string &targetsSource() const { return targetsSource_; }

    /// The highest era of the store that is known here.
    Platform::StoreEra storeEra() const;
    /// Returns the revisions up to which this instance holds the tables.
    KnownRevisions knownRevisions() const;
    /// Tells whether an instance whose last changes are these holds rows that are missing here.
    ///
    /// Compares a peer's last changes with the local revisions, up to which every change is known.
    /// If last changes were compared with each other, two instances that read the store at
    /// different moments of a quiet hour would differ although they hold the same rows, and the one
    /// with the lower one would request rows from the other ten times a second, to no effect.
    bool isBehind(const KnownRevisions &lastChanges) const;
    /// Returns the rows that a peer at these revisions is missing, as a text that applyFromPeer()
    /// reads: only the changes where they are known, else all rows. The text includes \a removals,
    /// because the time for which a missing target may be used begins when the first instance
    /// notices that it is missing, not the last.
    std::string encodeForPeer(const KnownRevisions &known, const RemovalAges &removals = {}) const;
    /// Records a peer's rows where they are newer. Returns whether any were.
    bool applyFromPeer(const std::string &text, const std::string &peer);

private:
    void operatorsChanged(std::string_view source);
    bool putInForce(Model::TableVersion version, std::vector<Model::Row> rows,
                    const std::set<Model::FailureDomainId> &drained, std::string_view source);
    void putDrainsInForce(const std::set<Model::FailureDomainId> &drained, std::string_view source);
    void logFitted(const std::vector<Model::CellError> &fitted, std::string_view source);
    void addDomainRows(std::vector<Model::Row> &rows,
                       const std::set<Model::FailureDomainId> &drained) const;

    const PlatformPort &port_;
    const Observe::Settings &settings_;
    Observe::DecisionLog &log_;
    TableReplica operators_{TableWriters::Operators};
    TableReplica targets_;
    std::shared_ptr<const Model::Table> table_;
    std::set<Model::FailureDomainId> drained_;
    std::size_t fittedCells_ = 0;
    std::uint64_t tableChanges_ = 0;
    std::uint64_t targetChanges_ = 0;
    std::string targetsSource_;
};

} // namespace Steering
