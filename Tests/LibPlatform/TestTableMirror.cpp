#include <LibPlatform/LibPlatform.h>
#include <Support/Property.h>

namespace {

using Model::ResultCode;
using Platform::Revision;

Model::Row regionRow(const std::string &name, const std::string &weight, std::uint64_t changedAt)
{
    Model::Row row;
    row.key_ = {Model::RowKind::Region, name};
    row.cells_["weight"] = weight;
    row.changedAt_ = Model::TableVersion(changedAt);
    return row;
}

Platform::StoredRows storedRows(std::uint64_t version, const std::vector<Model::Row> &rows)
{
    Platform::StoredRows stored;
    stored.revision_ = Revision(version * 10);
    stored.rows_.push_back({Platform::versionKey, std::to_string(version), stored.revision_});
    for (const auto &row : rows) {
        stored.rows_.push_back(
            {Platform::storeKey(row.key_), Platform::storeValue(row), stored.revision_});
    }
    return stored;
}

class TestTableMirror : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTableMirror);
    CPPUNIT_TEST(rowsOfTheStoreMakeATable);
    CPPUNIT_TEST(olderStoreIsRefused);
    CPPUNIT_TEST(deltasBringAnyPeerToTheSameTable);
    CPPUNIT_TEST(deltaThatSkipsVersionsIsRefused);
    CPPUNIT_TEST(unreadableRowChangesNothing);
    CPPUNIT_TEST(oddTargetRowsEndNothing);
    CPPUNIT_TEST(tableIsFollowedBesideAnOddTargetRow);
    CPPUNIT_TEST(deletedRowStaysDeleted);
    CPPUNIT_TEST(editChangesOnlyWhatItNames);
    CPPUNIT_TEST_SUITE_END();

public:
    void rowsOfTheStoreMakeATable()
    {
        Platform::TableMirror mirror;
        CPPUNIT_ASSERT(Platform::applyRows(mirror, storedRows(1, {regionRow("a", "5", 1)})));
        const auto table = Platform::buildTable(mirror);
        CPPUNIT_ASSERT(table);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), table->version().value());
        CPPUNIT_ASSERT_EQUAL(5.0, table->regions().front().weight_.value());
    }

    // Guards against an accepted edit that reverts: the store fails over to a lagging replica and
    // answers with an older version, which must not replace the newer one.
    void olderStoreIsRefused()
    {
        Platform::TableMirror mirror;
        CPPUNIT_ASSERT(Platform::applyRows(mirror, storedRows(2, {regionRow("a", "6", 2)})));
        CPPUNIT_ASSERT(!Platform::applyRows(mirror, storedRows(1, {regionRow("a", "5", 1)})));
        CPPUNIT_ASSERT(Model::lastReason().code_ == ResultCode::OldVersionRefused);
        CPPUNIT_ASSERT_EQUAL(6.0, Platform::buildTable(mirror)->regions().front().weight_.value());
    }

    void deltasBringAnyPeerToTheSameTable()
    {
        Support::assertProperty("deltas in any order lead to the newest table", [] {
            Platform::TableMirror source;
            std::vector<Platform::TableMirror> history;
            const auto edits = static_cast<std::uint64_t>(*rc::gen::inRange(1, 12));
            for (std::uint64_t version = 1; version <= edits; ++version) {
                const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
                auto row = regionRow(name, std::to_string(*rc::gen::inRange(0, 9)), version);
                row.deleted_ = *rc::gen::inRange(0, 4) == 0;
                RC_ASSERT(Platform::applyRows(source, storedRows(version, {row})));
                history.push_back(source);
            }
            Platform::TableMirror peer;
            for (int exchange = 0; exchange < 10; ++exchange) {
                const auto &sender
                    = history[static_cast<std::size_t>(*rc::gen::inRange(0, int(edits)))];
                const auto before = peer.version_;
                Platform::applyDelta(peer, Platform::deltaSince(sender, peer.version_));
                RC_ASSERT(peer.version_ >= before && peer.version_ >= sender.version_);
            }
            Platform::applyDelta(peer, Platform::deltaSince(source, peer.version_));
            RC_ASSERT(peer.version_ == source.version_);
            RC_ASSERT(peer.rows_ == source.rows_);
        });
    }

    void deltaThatSkipsVersionsIsRefused()
    {
        Platform::TableMirror source;
        Platform::applyRows(source, storedRows(3, {regionRow("a", "5", 3)}));
        Platform::TableMirror peer;
        CPPUNIT_ASSERT(
            !Platform::applyDelta(peer, Platform::deltaSince(source, Model::TableVersion(2))));
        CPPUNIT_ASSERT(Model::lastReason().code_ == ResultCode::SnapshotInvalid);
        CPPUNIT_ASSERT(peer.rows_.empty());
    }

    void unreadableRowChangesNothing()
    {
        Platform::TableMirror mirror;
        auto rows = storedRows(1, {regionRow("a", "5", 1)});
        rows.rows_.push_back({"table/row/region b", "{not json", Revision(11)});
        CPPUNIT_ASSERT(!Platform::applyRows(mirror, rows));
        CPPUNIT_ASSERT(mirror.rows_.empty());
    }

    /// Rows of a target that no edit writes.
    static std::vector<std::string> oddTargetRows()
    {
        const auto withAddress = [](const std::string &address) {
            return R"({"cells":{"service":"s","domain":"d","address":")" + address
                   + R"("},"changed_at":1,"deleted":false})";
        };
        return {
            "",
            std::string(65536, '['),
            std::string(32767, '[') + "1" + std::string(32767, ']'),
            R"({"cells":{"slots":1e999},"changed_at":1,"deleted":false})",
            R"({"cells":{},"changed_at":1e999,"deleted":false})",
            withAddress("127.0.0.1:65536"),
            withAddress("127.0.0.1:-1"),
        };
    }

    static bool isFollowedBeside(const std::string &oddRow)
    {
        Platform::TableMirror mirror;
        auto rows = storedRows(1, {regionRow("a", "5", 1)});
        rows.rows_.push_back({"table/row/target t", oddRow, Revision(11)});
        return Platform::applyRows(mirror, rows) && Platform::buildTable(mirror).has_value();
    }

    // Guards against a process that ends because of one odd row.
    void oddTargetRowsEndNothing()
    {
        for (const auto &oddRow : oddTargetRows()) {
            // Otherwise the reason of an earlier row would count for this one.
            Model::fail(ResultCode::Ok, "");
            const bool isFollowed = isFollowedBeside(oddRow);
            CPPUNIT_ASSERT_MESSAGE(oddRow.substr(0, 60),
                                   isFollowed || Model::lastReason().code_ != ResultCode::Ok);
        }
    }

    // Guards against a table that stays as it is until another writer's row is removed.
    void tableIsFollowedBesideAnOddTargetRow()
    {
        for (const auto &oddRow : oddTargetRows())
            CPPUNIT_ASSERT_MESSAGE(oddRow.substr(0, 60), isFollowedBeside(oddRow));
    }

    void deletedRowStaysDeleted()
    {
        Platform::TableMirror source;
        Platform::applyRows(source, storedRows(1, {regionRow("a", "5", 1)}));
        Platform::TableMirror peer = source;
        auto row = regionRow("a", "5", 2);
        row.deleted_ = true;
        Platform::applyRows(source, storedRows(2, {row}));
        CPPUNIT_ASSERT(
            Platform::applyDelta(peer, Platform::deltaSince(source, Model::TableVersion(1))));
        CPPUNIT_ASSERT(Platform::buildTable(peer)->regions().empty());
    }

    void editChangesOnlyWhatItNames()
    {
        Platform::TableMirror mirror;
        Platform::applyRows(mirror,
                            storedRows(1, {regionRow("a", "5", 1), regionRow("b", "6", 1)}));
        Platform::Edit edit;
        edit.rows_.push_back({{Model::RowKind::Region, "a"}, {{"weight", std::nullopt}}, false});
        const auto after = Platform::rowsAfter(mirror, edit);
        CPPUNIT_ASSERT(after);
        CPPUNIT_ASSERT((*after)[0].cells_.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("6"), (*after)[1].cells_.at("weight"));
        edit.rows_.front() = {{Model::RowKind::Region, "zz"}, {}, true};
        CPPUNIT_ASSERT(!Platform::rowsAfter(mirror, edit));
        CPPUNIT_ASSERT(Model::lastReason().code_ == ResultCode::UnknownRow);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTableMirror);
