#include <LibConcurrency/LibConcurrency.h>
#include <Support/Property.h>
#include <thread>
#include <vector>

namespace {

/// Two numbers that always agree; a reader that sees them differ saw a value that was torn or
/// freed.
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
    // Symptom: a request reads half of an old and half of a new snapshot, or freed memory.
    // Sequence: several threads read while one publishes again and again.
    // Cause: a publisher that frees the old value before every reader has left it.
    void readersSeeWholeValuesWhileOneThreadPublishes()
    {
        Concurrency::RcuCell<Pair> cell;
        cell.publish(std::make_unique<Pair>());
        std::atomic<bool> isOver{false};
        std::atomic<long> broken{0};
        std::atomic<long> reads{0};
        std::vector<std::thread> readers;
        for (int i = 0; i < 3; ++i) {
            readers.emplace_back([&] {
                const Concurrency::RcuReader reader;
                while (!isOver) {
                    const bool isWhole = cell.read([](const Pair *pair) {
                        return pair && pair->first_ == pair->second_;
                    });
                    broken += isWhole ? 0 : 1;
                    ++reads;
                }
            });
        }
        for (long i = 1; i <= 300; ++i) {
            auto next = std::make_unique<Pair>();
            next->first_ = i;
            next->second_ = i;
            cell.publish(std::move(next));
        }
        isOver = true;
        for (auto &reader : readers)
            reader.join();
        CPPUNIT_ASSERT(reads > 0);
        CPPUNIT_ASSERT_EQUAL(0L, broken.load());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestRcuCell);
