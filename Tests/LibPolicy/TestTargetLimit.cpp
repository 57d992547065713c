#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Model::RequestsPerSecond;
using Model::SteadyTime;

/// The platform's terms: a target gets at most this many times its limit in any window of this
/// length, plus the slack.
constexpr double windowSeconds = 4;
constexpr double excess = 1.5;
constexpr double slack = 5;

constexpr SteadyTime start{std::chrono::hours(1)};
constexpr std::uint64_t target = 77;

/// Instances of regions r and s, as instance \a own knows them.
Policy::Members membersKnownTo(const std::string &own, std::size_t inEachRegion)
{
    Policy::Members members;
    for (const std::string region : {"r", "s"}) {
        for (std::size_t i = 0; i < inEachRegion; ++i) {
            Policy::Member member;
            member.instance_.id_ = Model::InstanceId(region + std::to_string(i));
            member.instance_.region_ = Model::RegionId(region);
            member.heartbeatRecord_.id_ = member.instance_.id_;
            member.heartbeatAt_ = start;
            member.isRemote_ = own.substr(0, 1) != region;
            members[member.instance_.id_] = member;
        }
    }
    return members;
}

/// Returns the parts of a limit of a target in \a region at all instances.
std::vector<double> parts(double limit, std::size_t inEachRegion, const std::string &region)
{
    std::vector<double> all;
    for (const std::string own : {"r", "s"}) {
        for (std::size_t i = 0; i < inEachRegion; ++i) {
            const std::string id = own + std::to_string(i);
            const auto members = membersKnownTo(id, inEachRegion);
            const auto &instance = members.at(Model::InstanceId(id)).instance_;
            all.push_back(Policy::limitPart(RequestsPerSecond(limit), target,
                                            Model::RegionId(region), instance, members, start)
                              .value());
        }
    }
    return all;
}

class TestTargetLimit : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetLimit);
    CPPUNIT_TEST(sumOverAllInstancesStaysWithinTheLimit);
    CPPUNIT_TEST(partsAddUpToTheLimit);
    CPPUNIT_TEST(instancesOfOtherRegionsServeARegionWithoutAny);
    CPPUNIT_TEST(firstRequestWaitsForAWholeInterval);
    CPPUNIT_TEST(answerOlderThanTheLimitDoesNotEndIt);
    CPPUNIT_TEST(limitIsForgottenAfterALongSilence);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against fleets in which each instance keeps within its own part, and all of them
    // together send several times what the target takes.
    void sumOverAllInstancesStaysWithinTheLimit()
    {
        Support::assertProperty("requests in any window are within the limit", [] {
            const double limit = *rc::gen::inRange(1, 300) / 10.0;
            const auto instances = *rc::gen::inRange<std::size_t>(1, 200);
            std::vector<std::uint64_t> seeds;
            for (std::size_t i = 0; i < instances; ++i)
                seeds.push_back(Policy::seedOf("i" + std::to_string(i)));
            std::vector<SteadyTime> sent;
            for (std::size_t i = 0; i < instances; ++i) {
                std::vector<std::uint64_t> peers = seeds;
                peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
                Policy::TargetLimit known;
                Policy::learnLimit(known, RequestsPerSecond(limit), start, start, start);
                known.part_ = Policy::limitPart(*known.rate_, target, seeds[i], peers, instances);
                // The instance has requests all the time, from some time on.
                const Milliseconds from(*rc::gen::inRange(0, 10000));
                for (auto now = start + from; now < start + from + Milliseconds(12000);
                     now += Milliseconds(20)) {
                    if (!Policy::isWithinLimit(known, now))
                        continue;
                    known.usedAt_ = now;
                    sent.push_back(now);
                }
            }
            std::sort(sent.begin(), sent.end());
            const double allowed = excess * limit * windowSeconds + slack;
            for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
                while (Model::inSeconds(sent[last] - sent[first]) >= windowSeconds)
                    ++first;
                RC_ASSERT(static_cast<double>(last - first + 1) <= allowed);
            }
        });
    }

    void partsAddUpToTheLimit()
    {
        for (const std::size_t inEachRegion : {1, 4, 40}) {
            double sum = 0;
            for (const double part : parts(5, inEachRegion, "r"))
                sum += part;
            CPPUNIT_ASSERT_DOUBLES_EQUAL(5, sum, 1e-9);
        }
    }

    // Guards against targets that get no requests because their region has no instance.
    void instancesOfOtherRegionsServeARegionWithoutAny()
    {
        double sum = 0;
        for (const double part : parts(5, 4, "t"))
            sum += part;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5, sum, 1e-9);
    }

    // Guards against a request from every instance at once when a limit begins.
    void firstRequestWaitsForAWholeInterval()
    {
        Policy::TargetLimit limit;
        CPPUNIT_ASSERT(Policy::isWithinLimit(limit, start));
        CPPUNIT_ASSERT(Policy::learnLimit(limit, RequestsPerSecond(2), start, start, start));
        CPPUNIT_ASSERT(!Policy::isWithinLimit(limit, start + Milliseconds(60000)));
        limit.part_ = RequestsPerSecond(2);
        CPPUNIT_ASSERT(!Policy::isWithinLimit(limit, start + Milliseconds(499)));
        CPPUNIT_ASSERT(Policy::isWithinLimit(limit, start + Milliseconds(500)));
    }

    // Guards against a limit that ends with the answer to a request that was in progress when the
    // limit began.
    void answerOlderThanTheLimitDoesNotEndIt()
    {
        const auto later = start + Milliseconds(100);
        Policy::TargetLimit limit;
        Policy::learnLimit(limit, RequestsPerSecond(2), start, start, start);
        CPPUNIT_ASSERT(
            !Policy::learnLimit(limit, std::nullopt, start - Milliseconds(1), later, later));
        CPPUNIT_ASSERT(limit.rate_);
        CPPUNIT_ASSERT(Policy::learnLimit(limit, std::nullopt, start, later, later));
        CPPUNIT_ASSERT(!limit.rate_);
        CPPUNIT_ASSERT(Policy::shouldSendLimit(limit, later));
        // A report from before the end arrives late.
        CPPUNIT_ASSERT(!Policy::learnLimit(limit, RequestsPerSecond(2), start, start, later));
        CPPUNIT_ASSERT(!limit.rate_);
    }

    void limitIsForgottenAfterALongSilence()
    {
        Policy::TargetLimit limit;
        Policy::learnLimit(limit, RequestsPerSecond(2), start, start, start);
        CPPUNIT_ASSERT(!Policy::forgetOldLimit(limit, start + Policy::limitRetention));
        CPPUNIT_ASSERT(Policy::forgetOldLimit(limit, start + 2 * Policy::limitRetention));
        CPPUNIT_ASSERT(!limit.rate_);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetLimit);
