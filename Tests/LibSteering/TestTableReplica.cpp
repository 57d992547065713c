#include <LibSteering/LibSteering.h>
#include <Support/Property.h>

namespace {

using Platform::Revision;
using Platform::StoredRow;
using Platform::StoredRows;
using Steering::TableReplica;

StoredRow present(const std::string &key, std::uint64_t revision)
{
    return {key, "value " + std::to_string(revision), Revision(revision)};
}

StoredRow removed(const std::string &key, std::uint64_t revision)
{
    return {key, std::nullopt, Revision(revision)};
}

StoredRows rows(std::uint64_t revision, std::vector<StoredRow> list)
{
    return {Revision(revision), std::move(list)};
}

StoredRow inEra(std::uint16_t era, StoredRow row)
{
    row.revision_ = Platform::revisionIn(Platform::StoreEra(era), row.revision_.value());
    return row;
}

StoredRows inEra(std::uint16_t era, StoredRows list)
{
    list.revision_ = Platform::revisionIn(Platform::StoreEra(era), list.revision_.value());
    for (auto &row : list.rows_)
        row = inEra(era, row);
    return list;
}

class TestTableReplica : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTableReplica);
    CPPUNIT_TEST(changesInAnyOrderLeadToTheSameRows);
    CPPUNIT_TEST(peersGetOnlyChangesWhereTheyAreKnown);
    CPPUNIT_TEST(removalIsNotUndoneByAnOlderRow);
    CPPUNIT_TEST(fullReadCountsAsChanges);
    CPPUNIT_TEST(revisionAdvancesWithoutAChange);
    CPPUNIT_TEST(oldRemovalsAreForgotten);
    CPPUNIT_TEST(copyUndoesNothingThatIsKnown);
    CPPUNIT_TEST(removalAfterTheReturnIsNotTakenForALoss);
    CPPUNIT_TEST(peersOfAnEarlierEraGetAllRows);
    CPPUNIT_TEST(rowsOfAnEarlierEraAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a copy that undoes a change or a removal, in whatever order the store and
    // peers send it, and against a change that is taken for the copy's.
    void copyUndoesNothingThatIsKnown()
    {
        Support::assertProperty("each row is the last one written", [] {
            std::map<std::string, StoredRow> known;
            std::map<std::string, StoredRow> copied;
            std::uint64_t revision = 0;
            TableReplica replica(Steering::TableWriters::Operators);
            TableReplica peer(Steering::TableWriters::Operators);
            replica.replace(inEra(1, rows(0, {})));
            peer.replace(inEra(1, rows(0, {})));
            const auto write = [&](std::uint16_t era, bool isLost) {
                const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 4));
                const bool isRemoved = *rc::gen::inRange(0, 3) == 0;
                ++revision;
                StoredRow row = isRemoved ? removed(key, revision) : present(key, revision);
                if (row.value_)
                    *row.value_ += " of era " + std::to_string(era);
                known[key] = row;
                if (!isLost)
                    copied[key] = row;
                replica.apply(inEra(era, rows(revision, {row})));
                peer.apply(inEra(era, rows(revision, {row})));
            };
            for (int i = *rc::gen::inRange(0, 8); i > 0; --i)
                write(1, false);
            const auto copyRevision = revision;
            for (int i = *rc::gen::inRange(0, 7); i > 0; --i)
                write(1, true);

            revision = copyRevision;
            std::vector<StoredRow> list;
            for (const auto &[key, row] : copied) {
                if (row.value_)
                    list.push_back(row);
            }
            const auto copy = inEra(2, rows(copyRevision, list));
            replica.replace(copy);
            // The peer receives the rows from the replica, and reads the copy itself afterwards.
            peer.replace(replica.snapshot());
            peer.replace(copy);
            for (int i = *rc::gen::inRange(0, 8); i > 0; --i)
                write(2, false);
            for (const auto *each : {&replica, &peer}) {
                for (const auto &[key, row] : known) {
                    const auto held = each->rows().find(key);
                    RC_ASSERT((held != each->rows().end()) == row.value_.has_value());
                    if (row.value_)
                        RC_ASSERT(held->second.value_ == row.value_);
                }
            }
        });
    }

    // Guards against a row that stays for good although it was removed after the return, before the
    // first read.
    void removalAfterTheReturnIsNotTakenForALoss()
    {
        TableReplica replica(Steering::TableWriters::Operators);
        replica.replace(inEra(1, rows(9, {present("copied", 3), present("lost", 8)})));
        // The copy was made at revision 5, and revision 6 has removed the row that it held.
        replica.replace(inEra(2, rows(6, {})));
        CPPUNIT_ASSERT(!replica.rows().contains("copied"));
        CPPUNIT_ASSERT(replica.rows().contains("lost"));
        replica.replace(inEra(2, rows(20, {})));
        CPPUNIT_ASSERT(replica.rows().contains("lost"));
    }

    // Guards against a peer that keeps rows which the store has lost, because it gets changes
    // alone.
    void peersOfAnEarlierEraGetAllRows()
    {
        TableReplica replica;
        replica.replace(inEra(1, rows(5, {present("a", 3)})));
        replica.replace(inEra(2, rows(4, {present("a", 3)})));
        CPPUNIT_ASSERT(!replica.changesSince(inEra(1, present("", 5)).revision_));
        CPPUNIT_ASSERT(replica.changesSince(inEra(2, present("", 4)).revision_));
    }

    // Guards against an answer of an earlier era that arrives after one of the new era.
    void rowsOfAnEarlierEraAreRefused()
    {
        TableReplica replica;
        replica.replace(inEra(2, rows(4, {present("a", 3)})));
        CPPUNIT_ASSERT(!replica.replace(inEra(1, rows(90, {present("b", 80)}))));
        replica.apply(inEra(1, rows(90, {present("a", 80), removed("a", 90)})));
        CPPUNIT_ASSERT_EQUAL(std::string("value 3"), *replica.rows().at("a").value_);
        CPPUNIT_ASSERT(replica.knownRevision() == inEra(2, present("", 4)).revision_);
    }

    void changesInAnyOrderLeadToTheSameRows()
    {
        Support::assertProperty("rows are those of the last change of each key", [] {
            std::vector<StoredRow> history;
            std::map<std::string, StoredRow> expected;
            const int changes = *rc::gen::inRange(1, 30);
            for (int i = 1; i <= changes; ++i) {
                const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 5));
                const bool isRemoved = *rc::gen::inRange(0, 3) == 0;
                const auto revision = static_cast<std::uint64_t>(i);
                history.push_back(isRemoved ? removed(key, revision) : present(key, revision));
                expected[key] = history.back();
            }
            TableReplica replica;
            replica.replace(rows(0, {}));
            // Peers and the store send parts of the history, some twice, in any order.
            const int pieces = *rc::gen::inRange(1, 10);
            for (int i = 0; i < pieces; ++i) {
                const auto from = static_cast<std::size_t>(*rc::gen::inRange(0, changes));
                replica.apply(rows(
                    from, {history.begin() + static_cast<std::ptrdiff_t>(from), history.end()}));
            }
            replica.apply(rows(static_cast<std::uint64_t>(changes), history));
            for (const auto &[key, row] : expected) {
                const auto held = replica.rows().find(key);
                RC_ASSERT((held != replica.rows().end()) == row.value_.has_value());
                if (row.value_)
                    RC_ASSERT(held->second.revision_ == row.revision_);
            }
        });
    }

    void peersGetOnlyChangesWhereTheyAreKnown()
    {
        TableReplica replica;
        replica.replace(rows(10, {present("a", 4), present("b", 9)}));
        replica.apply(rows(12, {removed("a", 12)}));
        replica.apply(rows(15, {present("c", 15)}));
        const auto changes = replica.changesSince(Revision(11));
        CPPUNIT_ASSERT(changes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes->rows_.size());
        TableReplica peer;
        peer.replace(rows(11, {present("a", 4), present("b", 9)}));
        peer.apply(*changes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), peer.rows().size());
        CPPUNIT_ASSERT(!peer.rows().contains("a"));
        // Removals before the full read are not known.
        CPPUNIT_ASSERT(!replica.changesSince(Revision(9)));
    }

    // Guards against using a target again that has left: a peer's answer from before the removal
    // arrives after it, and the removal is not remembered.
    void removalIsNotUndoneByAnOlderRow()
    {
        TableReplica replica;
        replica.replace(rows(10, {present("a", 4)}));
        replica.apply(rows(20, {removed("a", 20)}));
        replica.apply(rows(15, {present("a", 15)}));
        CPPUNIT_ASSERT(!replica.rows().contains("a"));
        replica.apply(rows(21, {present("a", 21)}));
        CPPUNIT_ASSERT(replica.rows().contains("a"));
    }

    // Guards against a hundred peers that fetch all rows, a megabyte each, from the few store
    // readers when the store has lost its history: a reader reads all rows again, its peers request
    // changes, and all rows are considered changed and earlier removals unknown.
    void fullReadCountsAsChanges()
    {
        TableReplica replica;
        replica.replace(rows(10, {present("a", 4), present("b", 9)}));
        replica.replace(rows(20, {present("b", 9), present("c", 15)}));
        CPPUNIT_ASSERT(!replica.rows().contains("a"));
        const auto changes = replica.changesSince(Revision(10));
        CPPUNIT_ASSERT(changes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes->rows_.size());
        TableReplica peer;
        peer.replace(rows(10, {present("a", 4), present("b", 9)}));
        peer.apply(*changes);
        CPPUNIT_ASSERT(!peer.rows().contains("a"));
        CPPUNIT_ASSERT(peer.rows().contains("c"));
        // No changes: no peer is made to request rows.
        const auto before = replica.lastChange();
        replica.replace(rows(30, {present("b", 9), present("c", 15)}));
        CPPUNIT_ASSERT(replica.lastChange() == before);
    }

    void revisionAdvancesWithoutAChange()
    {
        TableReplica replica;
        replica.replace(rows(10, {present("a", 4)}));
        replica.apply(rows(30, {}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(30), replica.knownRevision().value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), replica.lastChange().value());
    }

    void oldRemovalsAreForgotten()
    {
        TableReplica replica;
        replica.replace(rows(0, {}));
        constexpr std::uint64_t count = 10000;
        for (std::uint64_t i = 1; i <= count; ++i)
            replica.apply(rows(i, {removed("k" + std::to_string(i), i)}));
        CPPUNIT_ASSERT(!replica.changesSince(Revision(1)));
        const auto late = replica.changesSince(Revision(count - 100));
        CPPUNIT_ASSERT(late);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), late->rows_.size());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTableReplica);
