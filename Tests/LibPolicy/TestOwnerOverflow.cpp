#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

#include <random>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;

constexpr SteadyTime start{std::chrono::hours(1)};

/// Objects with a fixed load each at targets with three slots. Each step, every target's load
/// follows from the objects that its own and the previous owners' shares send to it.
struct Owners
{
    static constexpr std::size_t targets = 60;
    static constexpr double slots = 3;

    explicit Owners(std::size_t objects, double meanUse)
        : load_(meanUse * slots * targets / static_cast<double>(objects))
    {
        for (std::size_t i = 0; i < objects; ++i)
            objects_.push_back(Policy::seedOf("object " + std::to_string(i)));
        for (std::size_t i = 0; i < targets; ++i)
            seeds_.push_back(Policy::seedOf("target " + std::to_string(i)));
        overflows_.resize(targets);
    }

    /// Returns the two best owners of an object.
    std::pair<std::size_t, std::size_t> ownersOf(std::uint64_t object) const
    {
        std::vector<std::size_t> order(targets);
        for (std::size_t i = 0; i < targets; ++i)
            order[i] = i;
        std::partial_sort(order.begin(), order.begin() + 2, order.end(),
                          [&](std::size_t a, std::size_t b) {
                              return Policy::ownerScore(object, seeds_[a])
                                     > Policy::ownerScore(object, seeds_[b]);
                          });
        return {order[0], order[1]};
    }

    std::vector<double> loads() const
    {
        std::vector<double> loads(targets, 0);
        for (const auto object : objects_) {
            const auto [first, second] = ownersOf(object);
            const bool isShared = Policy::isOverflowing(overflows_[first], object, seeds_[first]);
            loads[first] += isShared ? load_ / 2 : load_;
            loads[second] += isShared ? load_ / 2 : 0;
        }
        return loads;
    }

    void play(Milliseconds duration)
    {
        for (Milliseconds at{0}; at < duration; at += Policy::overflowInterval) {
            now_ += Policy::overflowInterval;
            const auto all = loads();
            double mean = 0;
            for (const double load : all)
                mean += load / slots / targets;
            for (std::size_t i = 0; i < targets; ++i)
                Policy::updateOverflow(overflows_[i], all[i] / slots, mean, now_);
        }
    }

    double busiest() const
    {
        const auto all = loads();
        return *std::max_element(all.begin(), all.end()) / slots;
    }

    double load_;
    std::vector<std::uint64_t> objects_;
    std::vector<std::uint64_t> seeds_;
    std::vector<Policy::OwnerOverflow> overflows_;
    SteadyTime now_ = start;
};

class TestOwnerOverflow : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOwnerOverflow);
    CPPUNIT_TEST(unevenOwnersShareTheirObjects);
    CPPUNIT_TEST(idleTargetsKeepTheirObjects);
    CPPUNIT_TEST(objectsReturnSlowlyAndNotAtOnce);
    CPPUNIT_TEST(moreOverflowKeepsTheObjectsAlreadyShared);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against queues at targets that own several hot objects while others idle.
    void unevenOwnersShareTheirObjects()
    {
        Owners owners(90, 0.45);
        const double before = owners.busiest();
        owners.play(Milliseconds(20000));
        CPPUNIT_ASSERT(before > 1.2);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(owners.busiest()), owners.busiest() < before * 0.75);
    }

    // Guards against cold loads without need: below the least bound no object moves.
    void idleTargetsKeepTheirObjects()
    {
        Policy::OwnerOverflow overflow;
        for (int i = 0; i < 100; ++i) {
            Policy::updateOverflow(overflow, 0.6, 0.1, start + i * Policy::overflowInterval);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(0, overflow.share_, 1e-9);
        }
    }

    // Guards against objects that swing between two owners.
    void objectsReturnSlowlyAndNotAtOnce()
    {
        Policy::OwnerOverflow overflow;
        SteadyTime now = start;
        for (int i = 0; i < 40; ++i, now += Policy::overflowInterval)
            Policy::updateOverflow(overflow, 2, 0.4, now);
        const double share = overflow.share_;
        CPPUNIT_ASSERT(share > 0.5);
        const auto endedAt = overflow.overAt_;
        while (now < endedAt + Policy::overflowHold) {
            Policy::updateOverflow(overflow, 0.1, 0.4, now);
            CPPUNIT_ASSERT(overflow.share_ >= share
                           || now >= overflow.overAt_ + Policy::overflowHold);
            now += Policy::overflowInterval;
        }
        for (int i = 0; i < 200; ++i, now += Policy::overflowInterval)
            Policy::updateOverflow(overflow, 0.1, 0.4, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, overflow.share_, 1e-9);
    }

    // Guards against moving other objects as the share changes, each of which is a cold load.
    void moreOverflowKeepsTheObjectsAlreadyShared()
    {
        Support::assertProperty("a larger share includes the objects of a smaller one", [] {
            const auto object = *rc::gen::arbitrary<std::uint64_t>();
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const auto less = *rc::gen::inRange(0, 1000);
            const auto more = *rc::gen::inRange(less, 1001);
            Policy::OwnerOverflow small;
            Policy::OwnerOverflow large;
            small.share_ = less / 1000.0;
            large.share_ = more / 1000.0;
            if (Policy::isOverflowing(small, object, seed))
                RC_ASSERT(Policy::isOverflowing(large, object, seed));
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestOwnerOverflow);
