#include <LibModel/LibModel.h>
#include <Support/Property.h>

namespace {

class TestClientBlocks : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestClientBlocks);
    CPPUNIT_TEST(smallestBlockWins);
    CPPUNIT_TEST(badLineIsNamed);
    CPPUNIT_TEST(lookupAgreesWithLinearSearch);
    CPPUNIT_TEST(ipv6BlocksWork);
    CPPUNIT_TEST_SUITE_END();

public:
    void smallestBlockWins()
    {
        const auto blocks = Model::ClientBlocks::build("10.0.0.0/8 A\n10.1.0.0/16 B b-1\n"
                                                       "10.1.2.0/24 C\n; a remark\n\n");
        CPPUNIT_ASSERT(blocks);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), blocks->size());
        const auto regionOf = [&](const char *host) {
            const auto *location = blocks->locationOf(host);
            return location ? location->region_.value() : std::string("none");
        };
        CPPUNIT_ASSERT_EQUAL(std::string("C"), regionOf("10.1.2.255"));
        CPPUNIT_ASSERT_EQUAL(std::string("B"), regionOf("10.1.3.0"));
        CPPUNIT_ASSERT_EQUAL(std::string("A"), regionOf("10.255.255.255"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), regionOf("11.0.0.0"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), regionOf("9.255.255.255"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), regionOf("not a number"));
    }

    void badLineIsNamed()
    {
        for (const char *line : {"10.0.0.0/33 A", "10.0.0.0 A", "10.0.0.0/8", "x/8 A"}) {
            CPPUNIT_ASSERT(!Model::ClientBlocks::build(std::string("1.0.0.0/8 A\n") + line));
            CPPUNIT_ASSERT(Model::lastReason().detail_.find("line 2") != std::string::npos);
        }
    }

    void lookupAgreesWithLinearSearch()
    {
        Support::assertProperty("the look-up finds the smallest block around a number", [] {
            struct Block
            {
                unsigned base_;
                int length_;
            };
            const auto count = *rc::gen::inRange(1, 40);
            std::vector<Block> blocks;
            std::string text;
            for (int i = 0; i < count; ++i) {
                const int length = *rc::gen::inRange(24, 33);
                const unsigned base = *rc::gen::inRange(0u, 256u) & ~((1u << (32 - length)) - 1);
                blocks.push_back({base, length});
                text += "10.0.0." + std::to_string(base) + "/" + std::to_string(length) + " R"
                        + std::to_string(base) + "-" + std::to_string(length) + "\n";
            }
            const auto built = Model::ClientBlocks::build(text);
            RC_ASSERT(built.has_value());
            for (unsigned host = 0; host < 256; ++host) {
                std::string expected = "none";
                int best = -1;
                for (const auto &block : blocks) {
                    const bool isInside
                        = host >= block.base_ && host - block.base_ < (1u << (32 - block.length_));
                    if (!isInside || block.length_ <= best)
                        continue;
                    best = block.length_;
                    expected
                        = "R" + std::to_string(block.base_) + "-" + std::to_string(block.length_);
                }
                const auto *location = built->locationOf("10.0.0." + std::to_string(host));
                RC_ASSERT((location ? location->region_.value() : "none") == expected);
            }
        });
    }

    void ipv6BlocksWork()
    {
        const auto blocks = Model::ClientBlocks::build("2001:db8::/32 A\n2001:db8:1::/48 B\n");
        CPPUNIT_ASSERT(blocks);
        CPPUNIT_ASSERT_EQUAL(std::string("B"),
                             blocks->locationOf("2001:db8:1:ffff::1")->region_.value());
        CPPUNIT_ASSERT_EQUAL(std::string("A"),
                             blocks->locationOf("2001:db8:2::1")->region_.value());
        CPPUNIT_ASSERT(!blocks->locationOf("10.0.0.1"));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestClientBlocks);
