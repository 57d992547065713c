#include <Support/Property.h>
#include <nlohmann/json.hpp>
#include <platform/Adapter.h>
#include <platform/Callers.h>
#include <platform/Operators.h>
#include <platform/Targets.h>
#include <platform/Terms.h>

namespace {

using Model::Milliseconds;
using Model::ResultCode;
using nlohmann::json;

const std::string config = R"({"version":"0000001a","services":[
    {"name":"s1","healthPath":"/health","maxConns":390,"coldStartS":3.0,"coldPerS":11.5},
    {"name":"s2","maxConns":200}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,
    "idleTimeoutMs":15000},
  "hosts":[{"host":"h.example","paths":[
    {"name":"r1","prefix":"/a/","kind":"unsafe","timeoutMs":1200,"targetLatencyMs":500,
     "priority":1,"service":"s1","maxAttempts":2,"sticky":true,"homeRegions":["r"]},
    {"name":"r2","prefix":"/a/b/","kind":"safe",
     "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}]}]})";

Platform::StoredRow row(const std::string &key, const std::string &value)
{
    return {key, value, Platform::Revision(4)};
}

class TestTranslation : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTranslation);
    CPPUNIT_TEST(configurationBecomesRowsOfTheTable);
    CPPUNIT_TEST(callersOfWorkspacesAreFoundByKey);
    CPPUNIT_TEST(evacuationsBecomeDrains);
    CPPUNIT_TEST(unreadableConfigurationsAreRefused);
    CPPUNIT_TEST(configurationsWithUnusualValuesAreUsable);
    CPPUNIT_TEST(registrationsBecomeTargets);
    CPPUNIT_TEST(incarnationsOfTargetsAreRead);
    CPPUNIT_TEST(malformedRegistrationsAreRefused);
    CPPUNIT_TEST(mutatedRegistrationsAreReadWholeOrRefused);
    CPPUNIT_TEST(loadReportsAreRead);
    CPPUNIT_TEST(unusablePacesLeaveTheLoadInForce);
    CPPUNIT_TEST(downloadsAreIdempotentAndHaveLargeAnswers);
    CPPUNIT_TEST(limitsOfTargetsAreRead);
    CPPUNIT_TEST(pausesAndLeavesOfTargetsAreRead);
    CPPUNIT_TEST(lookupsAreReadAndAnswered);
    CPPUNIT_TEST(termsAreReadAndUnknownOnesIgnored);
    CPPUNIT_TEST(termsThatATemplateRendersAreRead);
    CPPUNIT_TEST(eachTermIsReadInEachForm);
    CPPUNIT_TEST(unusableTermsKeepTheirDefaultsAndAreNamed);
    CPPUNIT_TEST(randomRowsNeverThrow);
    CPPUNIT_TEST_SUITE_END();

public:
    void configurationBecomesRowsOfTheTable()
    {
        const auto rows = Adapter::decodeOperators({row("config", config)});
        CPPUNIT_ASSERT(rows);
        auto all = rows->rows_;
        all.push_back({{Model::RowKind::Region, "r"}, {}, {}, false});
        const auto table = Model::Table::build(rows->version_, all, {});
        CPPUNIT_ASSERT_MESSAGE(toText(Model::lastReason()), table.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(26), table->version().value());
        const auto *route = table->routes().find("h.example", "/a/x");
        CPPUNIT_ASSERT(route && !route->isIdempotent_ && route->hasAffinity_);
        CPPUNIT_ASSERT(route->timeout_ == Milliseconds(1200));
        CPPUNIT_ASSERT(route->latencyGoal_ == Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(2, route->attempts_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), route->allowedRegions_.size());
        const auto *longer = table->routes().find("h.example", "/a/b/c/d");
        CPPUNIT_ASSERT(longer && longer->isIdempotent_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, longer->splits_[1].weight_.value(), 1e-9);
        CPPUNIT_ASSERT(!table->routes().find("h.example", "/c/"));
        CPPUNIT_ASSERT(!table->routes().find("other", "/a/"));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            11.5, table->service(Model::ServiceId("s1"))->coldLimit_.value(), 1e-9);
        CPPUNIT_ASSERT(table->callerLimits().idle_ == Milliseconds(15000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(67108864), table->callerLimits().bodyBytes_);
    }

    void callersOfWorkspacesAreFoundByKey()
    {
        auto text = json::parse(config);
        text["tenants"] = json::parse(R"([
            {"name":"t1","apiKeys":["key-a","key-b"],"priority":1,"ratePerS":424,"burst":40.5,
             "homeRegions":["r"]},
            {"name":"t2","apiKeys":["key-c"]},
            {"name":"t3","apiKeys":[]}])");
        text["hosts"][0]["paths"][1]["public"] = true;
        const auto rows = Adapter::decodeOperators({row("config", text.dump())});
        CPPUNIT_ASSERT(rows);
        auto all = rows->rows_;
        all.push_back({{Model::RowKind::Region, "r"}, {}, {}, false});
        const auto table = Model::Table::build(rows->version_, all, {});
        CPPUNIT_ASSERT_MESSAGE(toText(Model::lastReason()), table.has_value());
        const auto *first = table->workspaces().find("key-b");
        CPPUNIT_ASSERT(first && first->id_.value() == "t1" && first->priority_ == 1);
        CPPUNIT_ASSERT(first->limit_.value() == 424 && first->burst_ == 40.5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first->allowedRegions_.size());
        const auto *second = table->workspaces().find("key-c");
        CPPUNIT_ASSERT(second && !second->priority_ && !second->isLimited());
        CPPUNIT_ASSERT(!table->workspaces().find("key-d"));
        CPPUNIT_ASSERT(!table->routes().find("h.example", "/a/x")->isPublic_);
        CPPUNIT_ASSERT(table->routes().find("h.example", "/a/b/x")->isPublic_);
        // Guards against keys that anyone who may read the table, a log or an audit trail can use.
        for (const auto &item : all) {
            for (const auto &[column, value] : item.cells_)
                CPPUNIT_ASSERT(value.find("key-") == std::string::npos);
        }
    }

    void evacuationsBecomeDrains()
    {
        // They hold also beside a configuration that cannot be parsed.
        for (const auto &text : {config, std::string("{}"), std::string("nonsense")}) {
            const auto drained
                = Adapter::decodeDrains({row("config", text), row("evacuate/z-a", "{}")});
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), drained.size());
            CPPUNIT_ASSERT(drained.contains(Model::FailureDomainId("z-a")));
        }
        CPPUNIT_ASSERT(
            Adapter::decodeOperators({row("config", config), row("evacuate/z-a", "{}")}));
    }

    // Guards against an accepted configuration that is lost for one unusual value.
    void configurationsWithUnusualValuesAreUsable()
    {
        const auto change = [](const std::function<void(json &)> &edit) {
            json changed = json::parse(config);
            edit(changed);
            return changed.dump();
        };
        const auto path = [](json &changed) -> json & {
            return changed["hosts"][0]["paths"][0];
        };
        const std::vector<std::function<void(json &)>> edits = {
            [&](json &c) {
                path(c)["timeoutMs"] = 1e30;
            },
            [&](json &c) {
                path(c)["timeoutMs"] = 18446744073709551615U;
            },
            [&](json &c) {
                path(c)["timeoutMs"] = nullptr;
            },
            [&](json &c) {
                path(c)["targetLatencyMs"] = 900000000;
            },
            [&](json &c) {
                path(c)["priority"] = 5000;
            },
            [&](json &c) {
                path(c)["maxAttempts"] = 1000;
            },
            [&](json &c) {
                path(c)["maxAttempts"] = 0;
            },
            [&](json &c) {
                path(c)["homeRegions"] = json::array({"elsewhere"});
            },
            [&](json &c) {
                path(c)["service"] = "unlisted";
            },
            [&](json &c) {
                path(c)["name"] = "r2";
            },
            [&](json &c) {
                c["services"][0]["maxConns"] = 5000000;
            },
            [&](json &c) {
                c["services"][0]["maxConns"] = 0;
            },
            [&](json &c) {
                c["services"][0]["coldPerS"] = 5e6;
            },
            [&](json &c) {
                c["services"].push_back(c["services"][0]);
            },
            [&](json &c) {
                c["limits"]["maxHeaderBytes"] = 64;
            },
            [&](json &c) {
                c["limits"]["maxBodyBytes"] = 1099511627776;
            },
            [&](json &c) {
                c["limits"]["headerTimeoutMs"] = 5;
            },
            [&](json &c) {
                c["limits"]["idleTimeoutMs"] = 86400000;
            },
            [&](json &c) {
                c["tenants"] = {{{"name", "a"}, {"apiKeys", {"k", "k"}}, {"ratePerS", 1e9}},
                                {{"name", "b"}, {"apiKeys", {"k"}}, {"priority", -1}}};
            },
        };
        for (const auto &edit : edits) {
            const auto text = change(edit);
            auto rows = Adapter::decodeOperators({row("config", text)});
            CPPUNIT_ASSERT_MESSAGE(text, rows);
            rows->rows_.push_back({{Model::RowKind::Region, "r"}, {}, {}, false});
            Model::fitToTable(rows->rows_);
            const auto table = Model::Table::build(rows->version_, rows->rows_, {});
            CPPUNIT_ASSERT_MESSAGE(text, table);
            CPPUNIT_ASSERT_MESSAGE(text, table->routes().find("h.example", "/a/x"));
            CPPUNIT_ASSERT_MESSAGE(text, table->routes().find("h.example", "/a/b/x"));
        }
    }

    void unreadableConfigurationsAreRefused()
    {
        for (const std::string text : {"", "{}", "[]", R"({"version":"x"})", R"({"version":7})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !Adapter::decodeOperators({row("config", text)}));
            CPPUNIT_ASSERT(Model::lastReason().code_ == ResultCode::PlatformBadAnswer);
        }
        CPPUNIT_ASSERT(!Adapter::decodeOperators({}));
    }

    void registrationsBecomeTargets()
    {
        const auto target = Adapter::decodeTarget(
            row("i-1", R"({"address":"10.1.2.3:80","info":{"service":"s1","version":"v1",
                "zone":"z-a","slots":6},"status":{"state":"draining","sequence":4,
                "coldLeftMs":2500}})"));
        CPPUNIT_ASSERT(target);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), target->id_.value());
        CPPUNIT_ASSERT_EQUAL(std::string("z-a"), target->domain_.value());
        CPPUNIT_ASSERT(target->isLeaving_);
        CPPUNIT_ASSERT(target->remainingColdTime_ == Milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), target->slots_.value());
        CPPUNIT_ASSERT(!Adapter::decodeTarget(row("i-1", "{}")));
        CPPUNIT_ASSERT(!Adapter::decodeTarget(row("i-1", "nonsense")));
    }

    static json registration()
    {
        return {{"address", "10.1.2.3:80"},
                {"born", 1764730000123},
                {"info", {{"service", "s1"}, {"version", "v1"}, {"zone", "z-a"}, {"slots", 6}}},
                {"status", {{"state", "ready"}, {"sequence", 4}, {"coldLeftMs", 0}}}};
    }

    void incarnationsOfTargetsAreRead()
    {
        auto entry = registration();
        const auto target = Adapter::decodeTarget(row("i-1", entry.dump()));
        CPPUNIT_ASSERT(target);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1764730000123), target->incarnation_.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), target->reportCount_);
        entry.erase("born");
        CPPUNIT_ASSERT(Adapter::decodeTarget(row("i-1", entry.dump())));
    }

    // Guards against a parser that converts true, 3.7 or a missing field to a number. When another
    // program writes a malformed registration, requests would go to a target with an arbitrary
    // number of slots, or an uncaught exception would end the process.
    void malformedRegistrationsAreRefused()
    {
        const std::vector<std::pair<const char *, std::vector<json>>> damages = {
            {"/address", {7, nullptr, "", "host:80", "10.1.2.3", "10.1.2.3:0"}},
            {"/born", {"soon", 1.5, true, nullptr, -1, 0, 18446744073709551615ULL}},
            {"/info", {nullptr, "x", json::array()}},
            {"/info/service", {7, nullptr}},
            {"/info/version", {7, nullptr}},
            {"/info/zone", {json::array(), nullptr}},
            {"/info/slots", {"6", 6.5, true, nullptr, 0, -3, 9000000000000000000LL}},
            {"/status", {nullptr, 3}},
            {"/status/state", {"READY", "", "gone", 1, nullptr}},
            {"/status/sequence", {"4", 4.5, false, nullptr, -1}},
            {"/status/coldLeftMs", {"0", 0.5, true, nullptr, -1, 9000000000000000000LL}},
        };
        for (const auto &[path, values] : damages) {
            const json::json_pointer place(path);
            for (const auto &value : values) {
                json entry = registration();
                entry[place] = value;
                const auto text = entry.dump();
                CPPUNIT_ASSERT_MESSAGE(text, !Adapter::decodeTarget(row("i-1", text)));
                CPPUNIT_ASSERT(Model::lastReason().code_ == ResultCode::PlatformBadAnswer
                               || Model::lastReason().code_ == ResultCode::BadValue);
            }
            if (std::string(path) == "/born")
                continue;
            json entry = registration();
            entry[place.parent_pointer()].erase(place.back());
            CPPUNIT_ASSERT_MESSAGE(path, !Adapter::decodeTarget(row("i-1", entry.dump())));
        }
    }

    void mutatedRegistrationsAreReadWholeOrRefused()
    {
        Support::assertProperty("a damaged registration is refused or sensible", [] {
            std::string text = registration().dump();
            const auto changes = *rc::gen::inRange(1, 4);
            for (int i = 0; i < changes; ++i) {
                const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
                text[place] = *rc::gen::arbitrary<char>();
            }
            const auto target = Adapter::decodeTarget(row("i-1", text));
            if (!target)
                return;
            RC_ASSERT(target->slots_.value() >= 1);
            RC_ASSERT(target->remainingColdTime_ >= Milliseconds(0));
            RC_ASSERT(target->address_.port_ != 0);
        });
    }

    void loadReportsAreRead()
    {
        Http::Response answer;
        CPPUNIT_ASSERT(!Adapter::loadReportIn(answer));
        answer.set("X-Cassiacrank-Server-Load", "3,2,8");
        const auto load = Adapter::loadReportIn(answer);
        // One of the three running requests is the one that this answer belongs to.
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), load->running_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), load->waiting_);
        CPPUNIT_ASSERT(!load->pace_);
        for (const std::string text : {"", "3", "x,2,8", "3,-2,8", "3,1e300,8"}) {
            answer.set("X-Cassiacrank-Server-Load", text);
            CPPUNIT_ASSERT_MESSAGE(text, !Adapter::loadReportIn(answer));
        }
    }

    // Guards against losing a whole load report for a pace that is missing or implausible.
    void unusablePacesLeaveTheLoadInForce()
    {
        Http::Response answer;
        answer.set("X-Cassiacrank-Server-Load", "3,2,8,250");
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, Adapter::loadReportIn(answer)->pace_->value(), 1e-9);
        for (const std::string text :
             {"", ",", ",0", ",-100", ",1e9", ",nan", ",inf", ",x", ",1x"}) {
            answer.set("X-Cassiacrank-Server-Load", "3,2,8" + text);
            const auto load = Adapter::loadReportIn(answer);
            CPPUNIT_ASSERT_MESSAGE(text, load && !load->pace_);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(2), load->waiting_);
        }
    }

    // Guards against treating routes with large answers as non-idempotent, so that their requests
    // are neither retried nor cancelled.
    void downloadsAreIdempotentAndHaveLargeAnswers()
    {
        auto text = json::parse(config);
        text["hosts"][0]["paths"][1]["kind"] = "download";
        auto all = Adapter::decodeOperators({row("config", text.dump())})->rows_;
        all.push_back({{Model::RowKind::Region, "r"}, {}, {}, false});
        const auto table = Model::Table::build(Model::TableVersion(26), all, {});
        CPPUNIT_ASSERT(table);
        const auto *large = table->routes().find("h.example", "/a/b/c");
        CPPUNIT_ASSERT(large->isIdempotent_ && large->hasLargeAnswers_);
        CPPUNIT_ASSERT(!table->routes().find("h.example", "/a/x")->hasLargeAnswers_);
    }

    void limitsOfTargetsAreRead()
    {
        for (const std::string name : {"X-Cassiacrank-Server-Limit", "Server-Limit"}) {
            Http::Response answer;
            CPPUNIT_ASSERT(!Adapter::limitIn(answer));
            answer.set(name, "5.8");
            CPPUNIT_ASSERT_DOUBLES_EQUAL(5.8, Adapter::limitIn(answer)->value(), 1e-9);
            for (const std::string text : {"", "nan", "inf", "-1", "5.8x", "x"}) {
                answer.set(name, text);
                CPPUNIT_ASSERT_MESSAGE(text, !Adapter::limitIn(answer));
            }
        }
    }

    void pausesAndLeavesOfTargetsAreRead()
    {
        Http::Response answer;
        CPPUNIT_ASSERT(Adapter::pauseIn(answer) == Model::Microseconds(0));
        answer.set("Retry-After", "2.5");
        CPPUNIT_ASSERT(Adapter::pauseIn(answer) == Milliseconds(2500));
        answer.set("Retry-After", "soon");
        CPPUNIT_ASSERT(!Adapter::pauseIn(answer));
        CPPUNIT_ASSERT(!Adapter::takeLeave(answer));
        for (const std::string name : {"X-Cassiacrank-Server-Leaving", "Server-Leaving"}) {
            answer.set(name, "0");
            CPPUNIT_ASSERT(!Adapter::takeLeave(answer));
            answer.set(name, "1");
            CPPUNIT_ASSERT(Adapter::takeLeave(answer));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), answer.count(name));
        }
    }

    void lookupsAreReadAndAnswered()
    {
        Http::Request request(Http::http::verb::get, "/-/resolve?name=h&region=r&zone=z-a", 11);
        const auto query = Adapter::readLookup(request);
        CPPUNIT_ASSERT(query);
        CPPUNIT_ASSERT_EQUAL(std::string("r"), query->origin_.value());
        CPPUNIT_ASSERT_EQUAL(std::string("z-a"), query->nearDomain_.value());
        request.target("/other");
        CPPUNIT_ASSERT(!Adapter::readLookup(request));
        Model::Instance instance;
        instance.addresses_.entry_ = {"10.0.0.1", 81};
        const auto answer = Adapter::lookupAnswer({instance}, Milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"addrs":["10.0.0.1:81"],"ttlS":1.5})"), answer.body());
    }

    void termsAreReadAndUnknownOnesIgnored()
    {
        const auto terms
            = Adapter::termsFromText("graceS=4,ttl_max_s=3,budgetRatio=0.1, budgetExtra=32,"
                                     "maxShift=0.2,another=true,broken");
        CPPUNIT_ASSERT(terms.stopGrace_ == Milliseconds(4000));
        CPPUNIT_ASSERT(terms.maxLookupTtl_ == Milliseconds(3000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, terms.retryShare_, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(32, terms.retryExtra_, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, terms.regionShiftCap_.value(), 1e-9);
    }

    // Guards against running on default terms: the platform fills a template's placeholder for a
    // table with JSON.
    void termsThatATemplateRendersAreRead()
    {
        const auto terms = Adapter::termsFromText(R"({"graceS":6,"budgetExtra":214})");
        CPPUNIT_ASSERT_DOUBLES_EQUAL(214, terms.retryExtra_, 1e-9);
    }

    // Guards against a form or a term that is passed over without a word.
    void eachTermIsReadInEachForm()
    {
        const std::string forms[] = {
            R"({"graceS":10,"ttl_max_s":4,"budgetRatio":0.1,"budgetExtra":430,"maxShift":0.3})",
            R"({"graceS":"10","ttl_max_s":"4","budgetRatio":"0.1","budgetExtra":"430","maxShift":"0.3"})",
            "graceS=10,ttl_max_s=4,budgetRatio=0.1,budgetExtra=430,maxShift=0.3",
            R"(["graceS=10","ttl_max_s=4","budgetRatio=0.1","budgetExtra=430","maxShift=0.3"])",
        };
        for (const auto &form : forms) {
            const auto terms = Adapter::termsFromText(form);
            CPPUNIT_ASSERT_MESSAGE(form, terms.defaulted_.empty());
            CPPUNIT_ASSERT(terms.stopGrace_ == Milliseconds(10000));
            CPPUNIT_ASSERT(terms.maxLookupTtl_ == Milliseconds(4000));
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, terms.retryShare_, 1e-9);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(430, terms.retryExtra_, 1e-9);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0.15, terms.regionShiftCap_.value(), 1e-9);
        }
    }

    // Guards against an instance that runs on defaults and doesn't say so.
    void unusableTermsKeepTheirDefaultsAndAreNamed()
    {
        const Steering::PlatformTerms defaults;
        for (const char *text :
             {"", "{}", "[]", "nonsense", R"({"graceS":-1,"budgetRatio":null,"maxShift":[1]})",
              R"({"graceS":1e300,"ttl_max_s":"5s","budgetRatio":7,"budgetExtra":-1,"maxShift":2})",
              "graceS=,ttl_max_s=x,budgetRatio,budgetExtra=nan,maxShift=-inf"}) {
            const auto terms = Adapter::termsFromText(text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t(5), terms.defaulted_.size());
            CPPUNIT_ASSERT(terms.stopGrace_ == defaults.stopGrace_);
            CPPUNIT_ASSERT_EQUAL(defaults.retryExtra_, terms.retryExtra_);
            CPPUNIT_ASSERT_EQUAL(defaults.regionShiftCap_.value(), terms.regionShiftCap_.value());
        }
        const auto partial = Adapter::termsFromText(R"({"graceS":6,"maxShift":0.15})");
        CPPUNIT_ASSERT((partial.defaulted_
                        == std::vector<std::string>{"ttl_max_s", "budgetRatio", "budgetExtra"}));
    }

    void randomRowsNeverThrow()
    {
        Support::assertProperty("any text is refused or read", [] {
            const auto text = *rc::gen::container<std::string>(
                rc::gen::elementOf(std::string(R"({}[]":,0123abcversionhosts )")));
            Adapter::decodeOperators({row("config", text)});
            Adapter::decodeTarget(row("i", text));
            Adapter::termsFromText(text);
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTranslation);
