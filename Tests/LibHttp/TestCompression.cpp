#include <LibHttp/LibHttp.h>
#include <Support/Property.h>

namespace {

using Model::ResultCode;

constexpr std::size_t limitBytes = 1024 * 1024;

class TestCompression : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCompression);
    CPPUNIT_TEST(bytesRoundTrip);
    CPPUNIT_TEST(damagedBytesAreRefused);
    CPPUNIT_TEST(bytesBeyondTheLimitAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void bytesRoundTrip()
    {
        Support::assertProperty("compressed bytes are restored", [] {
            const auto bytes = *rc::gen::arbitrary<std::string>();
            const auto restored = Http::decompressed(Http::compressed(bytes), limitBytes);
            RC_ASSERT(restored && *restored == bytes);
        });
        const std::string alike(200'000, 'r');
        CPPUNIT_ASSERT(Http::compressed(alike).size() < alike.size() / 100);
    }

    void damagedBytesAreRefused()
    {
        const std::string sound = Http::compressed("rows of a table, rows of a table");
        Support::assertProperty("damaged bytes never throw", [&] {
            std::string bytes = sound;
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            Http::decompressed(bytes, limitBytes);
        });
        CPPUNIT_ASSERT(!Http::decompressed("", limitBytes));
        CPPUNIT_ASSERT(Model::lastReason().code_ == ResultCode::PeerMessageUnreadable);
        CPPUNIT_ASSERT(!Http::decompressed(sound.substr(0, sound.size() / 2), limitBytes));
    }

    // Guards against a few bytes from a peer that take all of the memory.
    void bytesBeyondTheLimitAreRefused()
    {
        CPPUNIT_ASSERT(
            !Http::decompressed(Http::compressed(std::string(limitBytes + 1, 'r')), limitBytes));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestCompression);
