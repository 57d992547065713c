#include <LibObserve/LibObserve.h>
#include <Support/Property.h>
#include <fstream>
#include <sstream>

namespace {

const std::string validSettings
    = "[instance]\nid = i-1\nregion = r\ndomain = d\n[listen]\nlookup = 127.0.0.1:1\n"
      "entry = 127.0.0.1:2\nentry_peer = 127.0.0.1:3\ncontrol = 127.0.0.1:4\n"
      "control_local = 127.0.0.1:5\nentry_admin = 127.0.0.1:6\nlookup_admin = 127.0.0.1:7\n"
      "control_admin = 127.0.0.1:8\n[platform]\naddress = 127.0.0.1:9\n";

class TestObserve : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestObserve);
    CPPUNIT_TEST(pageListsExactlyTheEvents);
    CPPUNIT_TEST(pageListsExactlyTheSettings);
    CPPUNIT_TEST(validSettingsAreParsed);
    CPPUNIT_TEST(sizesOfInstancesAreChecked);
    CPPUNIT_TEST(queueIsOnOrOff);
    CPPUNIT_TEST(allMistakesAreListedAtOnce);
    CPPUNIT_TEST(dialTranslatesAddresses);
    CPPUNIT_TEST(auditRecordsRoundTrip);
    CPPUNIT_TEST(summaryEstimatesQuantiles);
    CPPUNIT_TEST(metricsTextDescribesEachNameOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::string page(const std::string &name)
    {
        std::ifstream file(CASSIACRANK_SOURCE "/docs/" + name);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    void pageListsExactlyTheEvents()
    {
        const char *severities[] = {"Info", "Warning", "Error"};
        std::string expected;
        for (const auto &info : Observe::events()) {
            expected += "| " + std::to_string(static_cast<int>(info.event_)) + " | "
                        + severities[static_cast<int>(info.severity_)] + " | "
                        + std::string(info.name_) + " | " + std::string(info.meaning_) + " |\n";
        }
        CPPUNIT_ASSERT_MESSAGE(expected, page("events.md").find(expected) != std::string::npos);
    }

    void pageListsExactlyTheSettings()
    {
        std::string expected;
        for (const auto &info : Observe::settingInfos()) {
            expected += "| " + std::string(info.section_) + " | " + std::string(info.key_) + " | "
                        + (info.required_ ? "needed" : std::string(info.default_)) + " | "
                        + std::string(info.allowed_) + " | " + std::string(info.meaning_) + " |\n";
        }
        CPPUNIT_ASSERT_MESSAGE(expected, page("settings.md").find(expected) != std::string::npos);
    }

    void validSettingsAreParsed()
    {
        const auto check = Observe::settingsFromText(validSettings);
        CPPUNIT_ASSERT(check.mistakes_.empty());
        CPPUNIT_ASSERT(check.settings_);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), check.settings_->instance_.value());
        CPPUNIT_ASSERT_EQUAL(2, check.settings_->entryThreads_);
    }

    // Guards against starting with a size that cannot be meant, and against demanding one.
    void sizesOfInstancesAreChecked()
    {
        const auto none = Observe::settingsFromText(validSettings + "[limits]\nmemory_mb =\n");
        CPPUNIT_ASSERT(none.settings_ && !none.settings_->size_.isKnown());
        const auto check = Observe::settingsFromText(
            validSettings
            + "[limits]\ncpu_share = 0.1\nmemory_mb = 160\ndescriptors = 4100\n"
              "link_mbps = 10.0\n");
        CPPUNIT_ASSERT(check.settings_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, check.settings_->size_.cpu_.value(), 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(160), check.settings_->size_.memory_.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4100), check.settings_->size_.descriptors_.value());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, check.settings_->size_.link_.value(), 1e-9);
        for (const std::string wrong : {"cpu_share = 0", "cpu_share = x", "memory_mb = 1.5",
                                        "descriptors = -1", "link_mbps = 1e9"}) {
            const auto refused
                = Observe::settingsFromText(validSettings + "[limits]\n" + wrong + "\n");
            CPPUNIT_ASSERT_MESSAGE(wrong, !refused.settings_);
            CPPUNIT_ASSERT_MESSAGE(refused.mistakes_.front(),
                                   refused.mistakes_.front().starts_with("[603] [limits]"));
        }
    }

    // Guards against a queue in a deployment that has not asked for it, and against a misspelt
    // value that is taken for "off".
    void queueIsOnOrOff()
    {
        CPPUNIT_ASSERT(!Observe::settingsFromText(validSettings).settings_->waitsForRoom_);
        const auto on = Observe::settingsFromText(validSettings + "[admission]\nqueue = on\n");
        CPPUNIT_ASSERT(on.settings_ && on.settings_->waitsForRoom_);
        const auto off = Observe::settingsFromText(validSettings + "[admission]\nqueue = off\n");
        CPPUNIT_ASSERT(off.settings_ && !off.settings_->waitsForRoom_);
        for (const std::string wrong : {"yes", "On", ""}) {
            const auto refused
                = Observe::settingsFromText(validSettings + "[admission]\nqueue = " + wrong + "\n");
            CPPUNIT_ASSERT_MESSAGE(wrong, !refused.settings_);
            CPPUNIT_ASSERT_MESSAGE(refused.mistakes_.front(),
                                   refused.mistakes_.front().starts_with("[603] [admission]"));
        }
    }

    void allMistakesAreListedAtOnce()
    {
        const auto check = Observe::settingsFromText(
            "[instance]\nid = a b\nregion = r\n[listen]\nlookup = here\n[entry]\nthreads = 2.5\n"
            "speed = 9\n[dial]\nx = y\n");
        CPPUNIT_ASSERT(!check.settings_);
        std::string all;
        for (const auto &mistake : check.mistakes_)
            all += mistake + "\n";
        for (const std::string part : {"id = 'a b'", "domain", "lookup = 'here'", "threads = '2.5'",
                                       "speed", "[dial] x = y", "[platform] address"})
            CPPUNIT_ASSERT_MESSAGE(part + " not in\n" + all, all.find(part) != std::string::npos);
        CPPUNIT_ASSERT(!Observe::settingsFromText("nonsense").mistakes_.empty());
        CPPUNIT_ASSERT(!Observe::settingsFromFile("/nonexistent").mistakes_.empty());
    }

    void dialTranslatesAddresses()
    {
        const auto check
            = Observe::settingsFromText(validSettings + "[dial]\n10.0.0.1:80 = 127.0.0.1:8080\n");
        CPPUNIT_ASSERT(check.settings_);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(8080),
                             Observe::dialAddress(*check.settings_, {"10.0.0.1", 80}).port_);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(81),
                             Observe::dialAddress(*check.settings_, {"10.0.0.1", 81}).port_);
    }

    void auditRecordsRoundTrip()
    {
        Observe::AuditRecord record;
        record.version_ = Model::TableVersion(7);
        record.edit_ = Model::EditId("e-1");
        record.operator_ = "Ana \"the\" operator";
        record.at_ = Model::WallTime(Model::Milliseconds(1234567890123));
        record.changes_.push_back({{Model::RowKind::Service, "s"}, "timeout_ms", "1", "2"});
        CPPUNIT_ASSERT(Observe::auditFromText(toText(record)) == record);
        CPPUNIT_ASSERT(!Observe::auditFromText("{}"));
    }

    void summaryEstimatesQuantiles()
    {
        Observe::DurationSummary summary;
        CPPUNIT_ASSERT_EQUAL(0LL, static_cast<long long>(summary.quantile(0.5).count()));
        for (int i = 1; i <= 10000; ++i)
            summary.add(Model::Microseconds((i * 7919) % 10000 + 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(10000), summary.count());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5000.0, double(summary.quantile(0.5).count()), 200);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9900.0, double(summary.quantile(0.99).count()), 100);
        CPPUNIT_ASSERT_EQUAL(10000LL, static_cast<long long>(summary.maximum().count()));
    }

    void metricsTextDescribesEachNameOnce()
    {
        Observe::MetricsText text;
        text.add("a_total", "Help.", "counter", 1, "thread=\"0\"");
        text.add("a_total", "Help.", "counter", 2, "thread=\"1\"");
        const std::string expected = "# HELP a_total Help.\n# TYPE a_total counter\n"
                                     "a_total{thread=\"0\"} 1\na_total{thread=\"1\"} 2\n";
        CPPUNIT_ASSERT_EQUAL(expected, text.text());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestObserve);
