#include <LibSteering/LibSteering.h>
#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Steering::Resource;

constexpr Model::SteadyTime start{std::chrono::hours(1)};

Model::InstanceSize smallInstance()
{
    Model::InstanceSize size;
    size.cpu_ = Model::CpuShare(0.1);
    size.memory_ = Model::Megabytes(160);
    size.descriptors_ = Model::Descriptors(4100);
    size.link_ = Model::MegabitsPerSecond(10);
    return size;
}

double useOf(const Steering::ResourceMeter &meter, Resource resource)
{
    return meter.use()[static_cast<std::size_t>(resource)];
}

class TestResourceMeter : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestResourceMeter);
    CPPUNIT_TEST(steadyUseIsMeasured);
    CPPUNIT_TEST(unknownSizesHaveNoUse);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that fills its link or its processor share and tells its peers
    // that it is idle.
    void steadyUseIsMeasured()
    {
        Steering::ResourceMeter meter(smallInstance());
        Steering::ResourceCount count;
        count.memoryBytes_ = 80 * 1048576;
        count.descriptors_ = 410;
        for (int i = 0; i < 60; ++i) {
            const auto now = start + i * Milliseconds(500);
            CPPUNIT_ASSERT(meter.isDue(now));
            meter.sample(count, now);
            CPPUNIT_ASSERT(!meter.isDue(now + Milliseconds(499)));
            count.cpuTime_ += Milliseconds(20);
            count.linkBytes_ += 500'000;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, useOf(meter, Resource::Cpu), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, useOf(meter, Resource::Memory), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, useOf(meter, Resource::Descriptors), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, useOf(meter, Resource::Link), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, Steering::tightestUse(meter.use()), 0.01);
    }

    void unknownSizesHaveNoUse()
    {
        Steering::ResourceMeter meter{Model::InstanceSize()};
        Steering::ResourceCount count = Steering::countOwnResources();
        CPPUNIT_ASSERT(count.memoryBytes_ > 0);
        meter.sample(count, start);
        meter.sample(count, start + Milliseconds(500));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Steering::tightestUse(meter.use()), 1e-9);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestResourceMeter);
