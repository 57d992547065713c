#include <LibModel/LibModel.h>
#include <Support/Property.h>
#include <fstream>
#include <sstream>

namespace {

using Model::ResultCode;

std::string fileText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<Model::CellError> errorsOf(const std::string &text)
{
    const auto rows = Model::rowsFromText(text);
    CPPUNIT_ASSERT(rows);
    return Model::Table::check(*rows);
}

class TestTable : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTable);
    CPPUNIT_TEST(examplesAreValid);
    CPPUNIT_TEST(cellErrorNamesRowColumnValueAndAllowedValues);
    CPPUNIT_TEST(everyMistakeIsListed);
    CPPUNIT_TEST(danglingReferenceIsRefused);
    CPPUNIT_TEST(drainThatEndsBeforeItStartsIsRefused);
    CPPUNIT_TEST(duplicateRowIsRefused);
    CPPUNIT_TEST(textRoundTrips);
    CPPUNIT_TEST(longestPrefixDecidesTheClass);
    CPPUNIT_TEST(changesNameTheDifferences);
    CPPUNIT_TEST(randomTextNeverBuildsABrokenTable);
    CPPUNIT_TEST(workspacesAreCheckedAndFound);
    CPPUNIT_TEST(digestsOfCallersKeysAreReadAsTheyAreWritten);
    CPPUNIT_TEST_SUITE_END();

public:
    void examplesAreValid()
    {
        for (const std::string name : {"koper", "nakhla"}) {
            const auto rows
                = Model::rowsFromText(fileText(CASSIACRANK_SOURCE "/Examples/" + name + ".table"));
            CPPUNIT_ASSERT(rows);
            const auto table = Model::Table::build(Model::TableVersion(1), *rows, {});
            CPPUNIT_ASSERT(table);
            CPPUNIT_ASSERT_EQUAL(std::size_t(42), table->targets().size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(6), table->domains().size());
        }
    }

    void workspacesAreCheckedAndFound()
    {
        const std::string digest = toText(Model::digestOf("secret"));
        const std::string text
            = "[region r]\n[workspace w]\nkey_digests = " + digest
              + "\npriority = 2\nlimit_rps = 50\nburst = 5\nhome_regions = r\n[workspace v]\n";
        const auto table
            = Model::Table::build(Model::TableVersion(1), *Model::rowsFromText(text), {});
        CPPUNIT_ASSERT(table);
        const auto &workspaces = table->workspaces();
        CPPUNIT_ASSERT(workspaces.hasQuotas());
        const auto *found = workspaces.find("secret");
        CPPUNIT_ASSERT(found && found->id_.value() == "w" && found->priority_ == 2);
        CPPUNIT_ASSERT(!workspaces.find(Model::WorkspaceId("v"))->priority_);
        CPPUNIT_ASSERT(!workspaces.find("other"));

        const auto twice = errorsOf(text + "key_digests = " + digest + "\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), twice.size());
        CPPUNIT_ASSERT(twice.front().code_ == ResultCode::BadValue);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), errorsOf("[workspace w]\nkey_digests = key\n").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), errorsOf("[workspace w]\npriority = x\n").size());
        const auto homeless = errorsOf("[workspace w]\nhome_regions = r\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), homeless.size());
        CPPUNIT_ASSERT(homeless.front().code_ == ResultCode::DanglingReference);
    }

    void digestsOfCallersKeysAreReadAsTheyAreWritten()
    {
        // The first half of the SHA-256 of "abc", from FIPS 180-2.
        CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223"),
                             toText(Model::digestOf("abc")));
        Support::assertProperty("digests round-trip", [](const std::string &key) {
            const auto digest = Model::digestOf(key);
            RC_ASSERT(Model::callerKeyDigestFromText(toText(digest)) == digest);
        });
        CPPUNIT_ASSERT(!Model::callerKeyDigestFromText("ba7816bf8f01cfea414140de5dae222"));
        CPPUNIT_ASSERT(!Model::callerKeyDigestFromText("BA7816BF8F01CFEA414140DE5DAE2223"));
    }

    void cellErrorNamesRowColumnValueAndAllowedValues()
    {
        const auto errors = errorsOf("[service gauging]\ntimeout_ms = soon\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), errors.size());
        const std::string text = toText(errors.front());
        for (const std::string part :
             {"[404]", "service gauging", "timeout_ms", "soon", "1 to 600000"})
            CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
    }

    void everyMistakeIsListed()
    {
        const auto errors = errorsOf("[service a]\ntimeout_ms = -1\nspeed = 3\nidempotent = maybe\n"
                                     "[domain d]\nweight = 1e9\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), errors.size());
    }

    void danglingReferenceIsRefused()
    {
        const auto errors = errorsOf("[domain d]\nregion = nowhere\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), errors.size());
        CPPUNIT_ASSERT(errors.front().code_ == ResultCode::DanglingReference);
    }

    void drainThatEndsBeforeItStartsIsRefused()
    {
        const auto errors = errorsOf("[region r]\n[domain d]\nregion = r\n"
                                     "drain_start = 2026-12-02T18:00:00Z\n"
                                     "drain_end = 2026-12-02T17:00:00Z\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), errors.size());
        CPPUNIT_ASSERT_EQUAL(std::string("drain_end"), errors.front().column_);
    }

    void duplicateRowIsRefused()
    {
        CPPUNIT_ASSERT(!Model::rowsFromText("[region r]\nweight = 1\n[region r]\nweight = 2\n"));
        CPPUNIT_ASSERT(Model::lastReason().code_ == ResultCode::DuplicateRow);
    }

    void textRoundTrips()
    {
        const auto rows = Model::rowsFromText(fileText(CASSIACRANK_SOURCE "/Examples/koper.table"));
        CPPUNIT_ASSERT(rows);
        const std::string once = Model::toText(*rows);
        const auto again = Model::rowsFromText(once);
        CPPUNIT_ASSERT(again);
        CPPUNIT_ASSERT_EQUAL(once, Model::toText(*again));
        CPPUNIT_ASSERT(Model::changesBetween(*rows, *again).empty());
    }

    void longestPrefixDecidesTheClass()
    {
        const auto rows
            = Model::rowsFromText("[class all]\ncallers = *\n[class ships]\n"
                                  "callers = ship-\n[class tugs]\ncallers = ship-tug-\n");
        const auto table = Model::Table::build(Model::TableVersion(1), *rows, {});
        CPPUNIT_ASSERT(table);
        const auto classOf = [&](const char *caller) {
            return table->classOf(Model::CallerId(caller))->id_.value();
        };
        CPPUNIT_ASSERT_EQUAL(std::string("tugs"), classOf("ship-tug-1"));
        CPPUNIT_ASSERT_EQUAL(std::string("ships"), classOf("ship-7"));
        CPPUNIT_ASSERT_EQUAL(std::string("all"), classOf("anyone"));
    }

    void changesNameTheDifferences()
    {
        const auto before = Model::rowsFromText("[region a]\nweight = 1\n[region b]\n");
        const auto after = Model::rowsFromText("[region a]\nweight = 2\n[region c]\n");
        const auto changes = Model::changesBetween(*before, *after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), changes.size());
    }

    void randomTextNeverBuildsABrokenTable()
    {
        Support::assertProperty("a text is refused or gives a table that is checked", [] {
            const auto text = *rc::gen::container<std::string>(
                rc::gen::elementOf(std::string("[]=\n regiondmaw1-0.;abc")));
            const auto rows = Model::rowsFromText(text);
            if (!rows)
                return;
            const auto table = Model::Table::build(Model::TableVersion(1), *rows, {});
            RC_ASSERT(table.has_value() == Model::Table::check(*rows).empty());
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTable);
