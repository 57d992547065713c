#include <LibModel/LibModel.h>

#include <Support/Property.h>

namespace {

using Model::ResultCode;
using Model::Row;
using Model::RowKind;

Row row(RowKind kind, const std::string &name, std::map<std::string, std::string> cells = {})
{
    return {{kind, name}, std::move(cells), {}, false};
}

Row route(const std::string &name, std::map<std::string, std::string> cells = {})
{
    cells.emplace("host", "h");
    cells.emplace("prefix", "/" + name + "/");
    cells.emplace("services", "s");
    return row(RowKind::Route, name, std::move(cells));
}

/// Fits \a rows and builds a table of them; the test fails if that is not possible.
Model::Table fittedTable(std::vector<Row> rows)
{
    Model::fitToTable(rows);
    auto table = Model::Table::build(Model::TableVersion(1), std::move(rows), {});
    CPPUNIT_ASSERT_MESSAGE(toText(Model::lastReason()), table.has_value());
    return std::move(*table);
}

bool hasNumbers(const Model::Column &column)
{
    return column.type_ == Model::ColumnType::Integer
           || column.type_ == Model::ColumnType::OptionalInteger
           || column.type_ == Model::ColumnType::Number;
}

/// Returns a usable row of \a kind.
Row usableRow(RowKind kind)
{
    return kind == RowKind::Route ? route("r") : row(kind, "x");
}

class TestRowFitting : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRowFitting);
    CPPUNIT_TEST(eachNumberBecomesTheNearestAllowedOne);
    CPPUNIT_TEST(anyNumberInAnyColumnIsUsable);
    CPPUNIT_TEST(routesOfTheSameNameAreBothServed);
    CPPUNIT_TEST(repeatedKeysStayWithTheirFirstWorkspace);
    CPPUNIT_TEST(missingServicesAreAdded);
    CPPUNIT_TEST(missingHomeRegionAllowsNoOtherRegion);
    CPPUNIT_TEST(longTextsAreAllowed);
    CPPUNIT_TEST(usableRowsAreNotChanged);
    CPPUNIT_TEST(unusableRowsStayUnusable);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::vector<RowKind> kinds()
    {
        return {RowKind::Service,   RowKind::Route,  RowKind::Limits,
                RowKind::Workspace, RowKind::Region, RowKind::Class};
    }

    // Guards against a table that is lost for one number, in each column that has a range.
    void eachNumberBecomesTheNearestAllowedOne()
    {
        for (const auto kind : kinds()) {
            for (const auto &column : Model::columnsOf(kind)) {
                if (!hasNumbers(column))
                    continue;
                const std::string name(column.name_);
                for (const double value : {column.minimum_ - 1, column.maximum_ + 1, -1e15, 1e15}) {
                    Row changed = usableRow(kind);
                    changed.cells_[name] = std::to_string(value);
                    std::vector<Row> rows = {row(RowKind::Service, "s"), changed};
                    const auto changes = Model::fitToTable(rows);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t(1), changes.size());
                    CPPUNIT_ASSERT_EQUAL(name, changes[0].column_);
                    CPPUNIT_ASSERT_MESSAGE(name, Model::Table::check(rows).empty());
                    const double nearest
                        = value < column.minimum_ ? column.minimum_ : column.maximum_;
                    CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(name, nearest,
                                                         std::stod(rows[1].cells_[name]), 1e-9);
                }
            }
        }
    }

    // Guards against a number whose text the table cannot parse after it was fitted.
    void anyNumberInAnyColumnIsUsable()
    {
        Support::assertProperty("any number in any column leaves a usable table", [] {
            const auto kind = *rc::gen::elementOf(kinds());
            Row changed = usableRow(kind);
            for (const auto &column : Model::columnsOf(kind)) {
                if (!hasNumbers(column))
                    continue;
                const auto number = *rc::gen::arbitrary<std::int64_t>();
                const auto part = *rc::gen::inRange(0, 1000);
                changed.cells_[std::string(column.name_)]
                    = std::to_string(number) + "." + std::to_string(part);
            }
            fittedTable({row(RowKind::Service, "s"), changed});
        });
    }

    // Guards against a table that is lost because two routes of a host have the same name.
    void routesOfTheSameNameAreBothServed()
    {
        const auto table
            = fittedTable({row(RowKind::Service, "s"), route("a"), route("a", {{"prefix", "/b/"}}),
                           route("a", {{"prefix", "/b/"}})});
        CPPUNIT_ASSERT(table.routes().find("h", "/a/7"));
        CPPUNIT_ASSERT(table.routes().find("h", "/b/7"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.routes().all().size());
    }

    void repeatedKeysStayWithTheirFirstWorkspace()
    {
        const std::string key = Model::toText(Model::digestOf("key"));
        const std::string other = Model::toText(Model::digestOf("other"));
        const auto table
            = fittedTable({row(RowKind::Workspace, "a", {{"key_digests", key + "," + key}}),
                           row(RowKind::Workspace, "b", {{"key_digests", key + "," + other}})});
        const auto nameOf = [&](const char *presented) {
            const auto *workspace = table.workspaces().find(presented);
            return workspace ? workspace->id_.value() : "";
        };
        CPPUNIT_ASSERT_EQUAL(std::string("a"), nameOf("key"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), nameOf("other"));
    }

    void missingServicesAreAdded()
    {
        const auto table = fittedTable({route("a", {{"services", "s:1, t:1"}})});
        CPPUNIT_ASSERT(table.service(Model::ServiceId("s")));
        CPPUNIT_ASSERT(table.service(Model::ServiceId("t")));
    }

    // Guards against requests that leave their home because this instance does not know it.
    void missingHomeRegionAllowsNoOtherRegion()
    {
        const auto table
            = fittedTable({row(RowKind::Service, "s"), row(RowKind::Region, "known"),
                           route("a", {{"home_regions", "unknown"}}),
                           row(RowKind::Workspace, "w", {{"home_regions", "known, unknown"}})});
        const auto *found = table.routes().find("h", "/a/");
        CPPUNIT_ASSERT(found);
        CPPUNIT_ASSERT(
            (found->allowedRegions_ == std::vector<Model::RegionId>{Model::RegionId("unknown")}));
        CPPUNIT_ASSERT(table.region(Model::RegionId("unknown")));
    }

    // Guards against a table that is lost for a route with many parts or a long prefix.
    void longTextsAreAllowed()
    {
        std::string services;
        for (int i = 0; i < 500; ++i)
            services += (i == 0 ? "" : ", ") + ("service-" + std::to_string(i)) + ":1";
        const auto table = fittedTable(
            {route("a", {{"services", services}, {"prefix", "/" + std::string(6000, 'p') + "/"}})});
        CPPUNIT_ASSERT_EQUAL(std::size_t(500), table.routes().all()[0].splits_.size());
    }

    void usableRowsAreNotChanged()
    {
        const std::vector<Row> rows
            = {row(RowKind::Service, "s", {{"cold_rps", "11.5"}}),
               route("a", {{"timeout_ms", "1200"}, {"services", "s:90"}}),
               row(RowKind::Workspace, "w",
                   {{"key_digests", Model::toText(Model::digestOf("key"))}, {"priority", ""}})};
        auto fitted = rows;
        CPPUNIT_ASSERT(Model::fitToTable(fitted).empty());
        CPPUNIT_ASSERT(fitted == rows);
    }

    void unusableRowsStayUnusable()
    {
        std::vector<Row> rows = {row(RowKind::Route, "a", {{"host", "h"}}),
                                 row(RowKind::Service, "s", {{"cold_rps", "many"}})};
        CPPUNIT_ASSERT(Model::fitToTable(rows).empty());
        CPPUNIT_ASSERT(!Model::Table::check(rows).empty());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestRowFitting);
