#include "Load.h"

namespace {

using Harness::Site;
using Integration::send;
using Model::Milliseconds;
namespace http = Http::http;

class TestWholePath : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWholePath);
    CPPUNIT_TEST(requestsGoFromLookupToTargetAndBack);
    CPPUNIT_TEST(tableIsEditedCheckedAndAudited);
    CPPUNIT_TEST(settingsAreCheckedWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsGoFromLookupToTargetAndBack()
    {
        Harness::SiteOptions options;
        options.instances_ = 6;
        Site site(options);
        site.start();
        auto &instance = site.instance("primorska-a-1");

        const auto lookup = Harness::getJson(instance.row_.addresses_.lookup_,
                                             "/v1/entry?service=gauging&caller=pilot-1");
        CPPUNIT_ASSERT(lookup);
        const auto &first = lookup->at("entries").at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("Primorska"), first.at("region").get<std::string>());
        CPPUNIT_ASSERT(lookup->at("ttl_ms").get<int>() > 0);

        const auto entry = *Model::addressFromText(first.at("address").get<std::string>());
        const auto answer = send(entry, http::verb::get, "/gauging/tank/7?t=abc",
                                 {{"Caller", "pilot-1"},
                                  {"Cassiacrank-Domain", "osrednja-a"},
                                  {"cassiacrank-not-started", "full"}});
        CPPUNIT_ASSERT_EQUAL(200u, answer.result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("run"), std::string(answer["Cassiacrank-Outcome"]));
        CPPUNIT_ASSERT(answer.body().find("abc") != std::string::npos);
        // A caller cannot choose the target by sending an internal header.
        CPPUNIT_ASSERT(std::string(answer["Cassiacrank-Target"]).starts_with("gauging-"));
        CPPUNIT_ASSERT(!answer.count("Cassiacrank-Load"));

        const auto unknown = send(entry, http::verb::get, "/nothing/here");
        CPPUNIT_ASSERT_EQUAL(std::string("107"), std::string(unknown["Cassiacrank-Code"]));
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), std::string(unknown["Cassiacrank-Outcome"]));
        const auto late
            = send(entry, http::verb::get, "/gauging/x", {{"Request-Timeout-Ms", "soon"}});
        CPPUNIT_ASSERT_EQUAL(std::string("108"), std::string(late["Cassiacrank-Code"]));
        const auto lookupError
            = send(instance.row_.addresses_.lookup_, http::verb::get, "/v1/entry?service=x");
        CPPUNIT_ASSERT_EQUAL(std::string("107"), std::string(lookupError["Cassiacrank-Code"]));
        const auto metrics = send({instance.host_, 7006}, http::verb::get, "/metrics");
        CPPUNIT_ASSERT(metrics.body().find("cassiacrank_entry_requests_total")
                       != std::string::npos);

        // A repeated key gets the stored answer; with a different request it is refused.
        const auto original
            = send(entry, http::verb::post, "/transfers/pay?t=k1", {{"Idempotency-Key", "k1"}});
        CPPUNIT_ASSERT_EQUAL(std::string("run"), std::string(original["Cassiacrank-Outcome"]));
        const auto other = site.instance("osrednja-a-1").row_.addresses_.entry_;
        Http::Response again;
        const bool isReplayed = Harness::waitUntil(Milliseconds(3000), [&] {
            again
                = send(other, http::verb::post, "/transfers/pay?t=k1", {{"Idempotency-Key", "k1"}});
            return again["Cassiacrank-Outcome"] == "run";
        });
        CPPUNIT_ASSERT_MESSAGE(again.body(), isReplayed);
        CPPUNIT_ASSERT_EQUAL(original.body(), again.body());
        const auto reused
            = send(other, http::verb::post, "/transfers/pay?t=k2", {{"Idempotency-Key", "k1"}});
        CPPUNIT_ASSERT_EQUAL(std::string("109"), std::string(reused["Cassiacrank-Code"]));
        CPPUNIT_ASSERT(site.stopAllInstances(Milliseconds(30000)));
    }

    void tableIsEditedCheckedAndAudited()
    {
        Harness::SiteOptions options;
        options.instances_ = 1;
        Site site(options);
        site.start();
        std::string output;
        const auto edit = [&](std::vector<std::string> arguments) {
            arguments.insert(arguments.begin(), "--operator=ana");
            return site.tablectl(arguments, &output);
        };
        CPPUNIT_ASSERT_EQUAL(1, edit({"set", "service gauging", "timeout_ms=never", "speed=1"}));
        for (const std::string part : {"[404]", "[403]", "timeout_ms", "never", "1 to 600000"})
            CPPUNIT_ASSERT_MESSAGE(output, output.find(part) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, site.tablectl({"show", "service gauging"}, &output));
        CPPUNIT_ASSERT_MESSAGE(output, output.find("timeout_ms = 2000") != std::string::npos);

        CPPUNIT_ASSERT_EQUAL(0,
                             edit({"--edit_id=e1", "set", "service gauging", "timeout_ms=3000"}));
        const std::string accepted = output;
        CPPUNIT_ASSERT_EQUAL(0,
                             edit({"--edit_id=e1", "set", "service gauging", "timeout_ms=3000"}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the same edit again", accepted, output);
        CPPUNIT_ASSERT_EQUAL(1, edit({"--base=1", "set", "service gauging", "timeout_ms=4000"}));
        CPPUNIT_ASSERT_MESSAGE(output, output.find("[408]") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, edit({"remove", "service gauging"}));
        CPPUNIT_ASSERT_MESSAGE(output, output.find("[405]") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, edit({"drain", "nowhere"}));
        CPPUNIT_ASSERT_EQUAL(0, edit({"drain", "primorska-a", "--start=2030-01-01T00:00:00Z"}));

        CPPUNIT_ASSERT_EQUAL(0, site.tablectl({"history"}, &output));
        for (const std::string part :
             {"by ana (edit e1)", "timeout_ms: '2000' -> '3000'", "drain_start", "by harness"})
            CPPUNIT_ASSERT_MESSAGE(output, output.find(part) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(
            0, site.tablectl({"explain", "gauging", "pilot-1", "--origin=Primorska"}, &output));
        for (const std::string part : {"class: pilots", "50.0% now", "drain begins at 2030",
                                       "no instance of Primorska answers"})
            CPPUNIT_ASSERT_MESSAGE(output, output.find(part) != std::string::npos);
        const std::string region = site.instances().front().row_.region_.value();
        const std::string id = site.instances().front().row_.id_.value();
        CPPUNIT_ASSERT_EQUAL(
            0, site.tablectl({"explain", "gauging", "pilot-1", "--origin=" + region}, &output));
        CPPUNIT_ASSERT_MESSAGE(output,
                               output.find("the first is used: " + id) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, site.tablectl({"status"}, &output));
        const std::string ready = "): ready, versions control";
        for (const std::string &part : {id, ready, std::string("drain primorska-a of gauging")})
            CPPUNIT_ASSERT_MESSAGE(output, output.find(part) != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(output, output.find("is out") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(3, site.tablectl({"conquer"}, &output));
        site.switchPlatform({{"down", true}});
        CPPUNIT_ASSERT_EQUAL(1, edit({"set", "service gauging", "timeout_ms=5000"}));
        CPPUNIT_ASSERT_MESSAGE(output, output.find("[502]") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, site.tablectl({"status"}, &output));
        const auto &admin = site.instances().front().row_.addresses_.controlAdmin_;
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(5000), [&] {
            site.tablectl({"status", "--ask=" + toText(admin)}, &output);
            return output.find(id + " (") == 0 && output.find("store down") != std::string::npos;
        }));
    }

    void settingsAreCheckedWhole()
    {
        Harness::SiteOptions options;
        options.instances_ = 1;
        Site site(options);
        const std::string path = site.directory() + "/bad.ini";
        std::ofstream(path) << "[instance]\nid = a\n[listen]\nlookup = x\n";
        for (const std::string name : {"entryd", "lookupd", "controld"}) {
            Harness::Process daemon(name,
                                    {site.binary(name), "--settings=" + path, "--check-settings"},
                                    site.directory() + "/" + name + "-check.log");
            daemon.start();
            CPPUNIT_ASSERT(daemon.wait(Milliseconds(10000)) == 2);
            const std::string log = daemon.log();
            for (const std::string part : {"region", "lookup = 'x'", "[platform] address"})
                CPPUNIT_ASSERT_MESSAGE(log, log.find(part) != std::string::npos);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestWholePath);
