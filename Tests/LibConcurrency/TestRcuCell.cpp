#include <LibConcurrency/LibConcurrency.h>
#include <Support/Property.h>
#include <algorithm>
#include <array>
#include <latch>
#include <thread>
#include <vector>

namespace {

/// Two numbers that are always equal; a reader that sees them differ has read a torn or freed
/// value.
struct Pair
{
    long first_ = 0;
    long second_ = 0;
};

class TestRcuCell : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRcuCell);
    CPPUNIT_TEST(readersSeeWholeValuesWhileOneThreadPublishes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reads of torn snapshots or freed memory: several threads read while one
    // publishes repeatedly and frees the old value before every reader has left it.
    //
    // The publisher starts once every reader has read, and continues until each has read a hundred
    // times more, so that reads and publications overlap however the threads are scheduled.
    void readersSeeWholeValuesWhileOneThreadPublishes()
    {
        constexpr long minPublications = 300;
        constexpr long minReads = 100;
        Concurrency::RcuCell<Pair> cell;
        cell.publish(std::make_unique<Pair>());
        std::atomic<bool> isOver{false};
        std::atomic<long> broken{0};
        std::array<std::atomic<long>, 3> reads{};
        std::latch started(static_cast<std::ptrdiff_t>(reads.size()));
        std::vector<std::thread> readers;
        for (auto &own : reads) {
            readers.emplace_back([&] {
                const Concurrency::RcuReader reader;
                const auto readOnce = [&] {
                    const bool isWhole = cell.read([](const Pair *pair) {
                        return pair && pair->first_ == pair->second_;
                    });
                    broken += isWhole ? 0 : 1;
                };
                readOnce();
                started.count_down();
                while (!isOver) {
                    readOnce();
                    ++own;
                }
            });
        }
        started.wait();
        const auto hasReadEnough = [](const std::atomic<long> &own) {
            return own >= minReads;
        };
        long published = 0;
        while (published < minPublications || !std::ranges::all_of(reads, hasReadEnough)) {
            auto next = std::make_unique<Pair>();
            next->first_ = ++published;
            next->second_ = published;
            cell.publish(std::move(next));
        }
        isOver = true;
        for (auto &reader : readers)
            reader.join();
        for (const auto &own : reads)
            CPPUNIT_ASSERT(own >= minReads);
        CPPUNIT_ASSERT(published >= minPublications);
        CPPUNIT_ASSERT_EQUAL(0L, broken.load());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestRcuCell);
