#include "Fleet.h"

#include <Support/Property.h>
#include <platform/Targets.h>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;

constexpr std::size_t maxValueBytes = 65536;

std::string nested(std::size_t depth, const std::string &open, const std::string &close)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += open;
    text += "1";
    for (std::size_t i = 0; i < depth; ++i)
        text += close;
    return text;
}

/// Returns a registration with one field replaced by \a value, which is JSON text.
std::string registrationWith(const std::string &field, const std::string &value)
{
    std::map<std::string, std::string> fields = {
        {"address", R"("127.0.0.1:9")"},
        {"service", R"("s")"},
        {"version", R"("v1")"},
        {"zone", R"("r-a")"},
        {"slots", "6"},
        {"state", R"("ready")"},
        {"sequence", "1"},
        {"coldLeftMs", "0"},
        {"born", "1764700000000"},
    };
    fields[field] = value;
    return R"({"address":)" + fields["address"] + R"(,"born":)" + fields["born"]
           + R"(,"info":{"service":)" + fields["service"] + R"(,"version":)" + fields["version"]
           + R"(,"zone":)" + fields["zone"] + R"(,"slots":)" + fields["slots"]
           + R"(},"status":{"state":)" + fields["state"] + R"(,"sequence":)" + fields["sequence"]
           + R"(,"coldLeftMs":)" + fields["coldLeftMs"] + "}}";
}

/// Registrations that no target writes, by what is odd about them.
std::map<std::string, std::string> oddRegistrations()
{
    std::map<std::string, std::string> odd = {
        {"nested arrays", nested(maxValueBytes / 2 - 1, "[", "]")},
        {"nested objects", nested(maxValueBytes / 6 - 1, R"({"a":)", "}")},
        {"nested without an end", std::string(maxValueBytes, '[')},
        {"nested objects without an end", nested(maxValueBytes / 5 - 1, R"({"a":)", "")},
        {"no text", std::string("\0\xff\xfe", 3)},
        {"empty", ""},
    };
    const std::vector<std::string> oddNumbers = {"1e999",
                                                 "-1e999",
                                                 "99999999999999999999999999",
                                                 "-1",
                                                 "1.5",
                                                 "18446744073709551615",
                                                 "9223372036854775808",
                                                 "true",
                                                 "null",
                                                 R"("6")",
                                                 nested(10000, "[", "]")};
    for (const char *field : {"slots", "sequence", "coldLeftMs", "born"}) {
        for (const auto &number : oddNumbers)
            odd[std::string(field) + " " + number.substr(0, 30)] = registrationWith(field, number);
    }
    for (const char *port :
         {"0", "-1", "65536", "70000", "99999999999999999999", "", "9x", "0x9"}) {
        odd[std::string("port ") + port]
            = registrationWith("address", "\"127.0.0.1:" + std::string(port) + "\"");
    }
    for (const char *text : {"9", "null", "[]", R"("")", R"("h.example:9")", R"("127.0.0.1")"})
        odd[std::string("address ") + text] = registrationWith("address", text);
    for (const char *field : {"service", "zone", "version", "state"})
        odd[std::string(field) + " number"] = registrationWith(field, "9");
    return odd;
}

class TestOddRegistrations : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOddRegistrations);
    CPPUNIT_TEST(oddRegistrationsAreRefused);
    CPPUNIT_TEST(targetsAreFollowedBesideOddRegistrations);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a process that ends, or reads a wrong target, because of one entry.
    void oddRegistrationsAreRefused()
    {
        const auto decode = [](const std::string &value) {
            return Adapter::decodeTarget({"t", value, Platform::Revision(4)});
        };
        CPPUNIT_ASSERT(decode(registrationWith("slots", "6")));
        for (const auto &[name, value] : oddRegistrations()) {
            CPPUNIT_ASSERT_MESSAGE(name, value.size() <= maxValueBytes);
            CPPUNIT_ASSERT_MESSAGE(name, !decode(value));
        }
        // What the instance does not read may have any form.
        const std::string further = registrationWith("slots", "6");
        CPPUNIT_ASSERT(decode(further.substr(0, further.size() - 1) + R"(,"further":)"
                              + nested(30000, "[", "]") + "}"));
    }

    // Guards against instances that end or stop following the targets because of such entries, also
    // where they read them from a peer.
    void targetsAreFollowedBesideOddRegistrations()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(2, {"t1"}));
        // Nothing listens there, so this one reads what its peers have.
        const auto &withoutStore = fleet.startOne(Model::Address{fleet.host(200), 9});
        CPPUNIT_ASSERT(fleet.waitUntilServing());
        int number = 0;
        for (const auto &[name, value] : oddRegistrations())
            fleet.store_.put("servers", "odd-" + std::to_string(++number), value);
        auto &second = fleet.addTarget("t2", "r-a");
        fleet.store_.remove("servers", "t1");
        const auto first = fleet.targets_[0]->id();
        for (const auto &instance : fleet.instances_) {
            const std::string message = instance->process_->log();
            CPPUNIT_ASSERT_MESSAGE(
                message, Harness::waitUntil(Milliseconds(15000), [&] {
                    const auto before = second.runCount();
                    const std::string id = "x" + std::to_string(++number);
                    const auto answer = fleet.send(*instance, "read", id, 1000, id);
                    return answer && answer->result() == status::ok && second.runCount() > before;
                }));
            // It is still the process that was started.
            CPPUNIT_ASSERT(!instance->process_->wait(Milliseconds(0)));
        }
        CPPUNIT_ASSERT(withoutStore.process_->log().find("KnowledgeFromPeer") != std::string::npos);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestOddRegistrations);
