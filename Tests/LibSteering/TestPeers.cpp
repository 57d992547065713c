#include <LibSteering/LibSteering.h>
#include <Support/Property.h>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;
using Steering::PeerMessage;

Policy::Member makeMember(const std::string &id)
{
    Policy::Member member;
    member.instance_.id_ = Model::InstanceId(id);
    member.instance_.region_ = Model::RegionId("primorska");
    member.instance_.domain_ = Model::FailureDomainId("koper-a");
    member.instance_.addresses_.entry_ = {"10.1.0.35", 8144};
    member.instance_.addresses_.control_ = {"10.1.0.35", 8146};
    auto &heartbeatRecord = member.heartbeatRecord_;
    heartbeatRecord.id_ = member.instance_.id_;
    heartbeatRecord.incarnation_ = Model::Incarnation(1764700000000000000);
    heartbeatRecord.heartbeat_ = 1234;
    heartbeatRecord.isReady_ = true;
    heartbeatRecord.store_ = Policy::StoreContact::Reached;
    heartbeatRecord.operatorsSeen_ = 77;
    heartbeatRecord.targetsSeen_ = 4567;
    heartbeatRecord.regionEntries_ = 20;
    heartbeatRecord.age_ = Milliseconds(350);
    heartbeatRecord.storeAnswered_ = Milliseconds(3'600'000);
    heartbeatRecord.targetsRead_ = 4560;
    return member;
}

class TestPeerMessage : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPeerMessage);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(damagedBytesAreDecodedOrRefused);
    CPPUNIT_TEST(heartbeatRecordsAreSmall);
    CPPUNIT_TEST(messagesOfAnEarlierVersionAreRead);
    CPPUNIT_TEST(sizesAndUseAreTold);
    CPPUNIT_TEST(demandRoundTrips);
    CPPUNIT_TEST(implausibleDemandIsBounded);
    CPPUNIT_TEST(damagedDemandIsDecodedOrRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr SteadyTime now{std::chrono::hours(1)};

    void messagesRoundTrip()
    {
        PeerMessage message{makeMember("front-koper-a-1"), {}, {}};
        message.update_.fullRecords_.push_back(makeMember("front-koper-a-2"));
        message.update_.heartbeatRecords_.push_back(makeMember("front-koper-a-3").heartbeatRecord_);
        message.loads_.push_back({0xfedcba98, 9, Milliseconds(120)});
        message.removals_["t1"] = Milliseconds(700);
        message.limits_ = {{0xfedcba98, Model::RequestsPerSecond(5.8), Milliseconds(300)},
                           {7, std::nullopt, Milliseconds(0)}};
        const auto read = Steering::peerMessageFromBytes(toBytes(message), now);
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(read->sender_.instance_ == message.sender_.instance_);
        CPPUNIT_ASSERT(read->sender_.heartbeatAt_ == now - Milliseconds(350));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), read->update_.fullRecords_.size());
        const auto &heartbeatRecord = read->update_.heartbeatRecords_.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("front-koper-a-3"), heartbeatRecord.id_.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1234), heartbeatRecord.heartbeat_);
        CPPUNIT_ASSERT(heartbeatRecord.isReady_ && !heartbeatRecord.isLeaving_);
        CPPUNIT_ASSERT(heartbeatRecord.store_ == Policy::StoreContact::Reached);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4567), heartbeatRecord.targetsSeen_);
        CPPUNIT_ASSERT(heartbeatRecord.storeAnswered_ == Milliseconds(3'600'000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4560), heartbeatRecord.targetsRead_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), read->loads_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0xfedcba98), read->loads_[0].target_);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(9), read->loads_[0].inProgress_);
        CPPUNIT_ASSERT(read->loads_[0].age_ == Milliseconds(120));
        CPPUNIT_ASSERT(read->removals_ == message.removals_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read->limits_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0xfedcba98), read->limits_[0].target_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.8, read->limits_[0].rate_->value(), 1e-9);
        CPPUNIT_ASSERT(read->limits_[0].age_ == Milliseconds(300));
        CPPUNIT_ASSERT(!read->limits_[1].rate_);

        const auto record = Steering::memberFromText(Steering::toText(makeMember("x")), now);
        CPPUNIT_ASSERT(record);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), record->instance_.id_.value());
    }

    void damagedBytesAreDecodedOrRefused()
    {
        const std::string sound = Steering::toBytes({makeMember("front-koper-a-1"), {}, {}});
        Support::assertProperty("damaged messages never throw", [&] {
            std::string bytes = sound;
            const int damages = *rc::gen::inRange(1, 4);
            for (int i = 0; i < damages; ++i) {
                const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
                bytes[at] = *rc::gen::arbitrary<char>();
            }
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            Steering::peerMessageFromBytes(bytes, now);
            Steering::memberFromText(bytes, now);
        });
        CPPUNIT_ASSERT(!Steering::peerMessageFromBytes("", now));
        CPPUNIT_ASSERT(Model::lastReason().code_ == Model::ResultCode::PeerMessageUnreadable);
    }

    // Guards against refusing messages without the fields that a later version has added.
    void messagesOfAnEarlierVersionAreRead()
    {
        auto text = nlohmann::json::from_msgpack(
            Steering::toBytes({makeMember("front-koper-a-1"), {}, {}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), text.erase("loads"));
        auto &heartbeatRecord = text["sender"]["pulse"];
        heartbeatRecord.erase(heartbeatRecord.size() - 1);
        heartbeatRecord.erase(heartbeatRecord.size() - 1);
        std::string bytes;
        nlohmann::json::to_msgpack(text, bytes);
        const auto read = Steering::peerMessageFromBytes(bytes, now);
        CPPUNIT_ASSERT(read && read->loads_.empty());
        CPPUNIT_ASSERT(read->sender_.heartbeatRecord_.age_ == Milliseconds(350));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), read->sender_.heartbeatRecord_.targetsRead_);
    }

    // Guards against losing sizes and use between instances, and against refusing implausible ones.
    void sizesAndUseAreTold()
    {
        auto member = makeMember("front-koper-a-1");
        member.instance_.size_.cpu_ = Model::CpuShare(0.5);
        member.instance_.size_.memory_ = Model::Megabytes(512);
        member.instance_.size_.descriptors_ = Model::Descriptors(8192);
        member.instance_.size_.link_ = Model::MegabitsPerSecond(200);
        member.heartbeatRecord_.usePercent_ = std::uint8_t(130);
        const auto bytes = Steering::toBytes({member, {}, {}});
        const auto read = Steering::peerMessageFromBytes(bytes, now);
        CPPUNIT_ASSERT(read && read->sender_.instance_ == member.instance_);
        CPPUNIT_ASSERT_EQUAL(130, int(*read->sender_.heartbeatRecord_.usePercent_));

        auto text = nlohmann::json::from_msgpack(bytes);
        text["sender"]["pulse"].back() = -7;
        text["sender"]["size"][3] = -1;
        std::string implausible;
        nlohmann::json::to_msgpack(text, implausible);
        const auto bounded = Steering::peerMessageFromBytes(implausible, now);
        CPPUNIT_ASSERT(bounded && !bounded->sender_.instance_.size_.isKnown());
        CPPUNIT_ASSERT_EQUAL(0, int(*bounded->sender_.heartbeatRecord_.usePercent_));
        const auto unknown = Steering::peerMessageFromBytes(
            Steering::toBytes({makeMember("front-koper-a-2"), {}, {}}), now);
        CPPUNIT_ASSERT(!unknown->sender_.instance_.size_.isKnown());
        CPPUNIT_ASSERT(!unknown->sender_.heartbeatRecord_.usePercent_);
    }

    static PeerMessage messageWithDemand(std::size_t count)
    {
        PeerMessage message{makeMember("front-koper-a-1"), {}, {}};
        message.demand_.emplace();
        for (std::size_t i = 0; i < count; ++i) {
            message.demand_->push_back({Policy::ServiceKey(0xfedcba98), static_cast<int>(i % 3),
                                        Model::RequestsPerSecond(23.7 + static_cast<double>(i)),
                                        Model::RequestsPerSecond(11.3), Milliseconds(90)});
        }
        return message;
    }

    // Guards against losing the difference between no demand and unknown demand, and against
    // messages that exceed their bound.
    void demandRoundTrips()
    {
        const PeerMessage bare{makeMember("front-koper-a-1"), {}, {}};
        const auto bareBytes = toBytes(bare);
        CPPUNIT_ASSERT(!Steering::peerMessageFromBytes(bareBytes, now)->demand_);
        CPPUNIT_ASSERT(!nlohmann::json::from_msgpack(bareBytes).contains("demand"));
        const auto none = Steering::peerMessageFromBytes(toBytes(messageWithDemand(0)), now);
        CPPUNIT_ASSERT(none && none->demand_ && none->demand_->empty());

        const auto full = toBytes(messageWithDemand(Policy::maxDemandPerMessage));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(full.size() - bareBytes.size()),
                               full.size() - bareBytes.size() <= 640);
        const auto read = Steering::peerMessageFromBytes(full, now);
        CPPUNIT_ASSERT(read && read->demand_);
        CPPUNIT_ASSERT_EQUAL(Policy::maxDemandPerMessage, read->demand_->size());
        const auto &item = read->demand_->at(4);
        CPPUNIT_ASSERT(item.service_ == Policy::ServiceKey(0xfedcba98));
        CPPUNIT_ASSERT_EQUAL(1, item.rank_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(27.7, item.arrivals_.value(), 1e-4);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(11.3, item.admitted_.value(), 1e-4);
        CPPUNIT_ASSERT(item.age_ == Milliseconds(90));
    }

    // Guards against values that make the sums over peers negative, infinite or huge.
    void implausibleDemandIsBounded()
    {
        const auto decode = [](const nlohmann::json &demand) {
            auto text = nlohmann::json::from_msgpack(toBytes(messageWithDemand(0)));
            text["demand"] = demand;
            std::string bytes;
            nlohmann::json::to_msgpack(text, bytes);
            return Steering::peerMessageFromBytes(bytes, now);
        };
        const double nan = std::numeric_limits<double>::quiet_NaN();
        const auto read = decode({{7, -3, -5.0, 4.0, -100},
                                  {7, 100000, nan, nan, 0},
                                  {7, 0, 1e300, 2e300, std::int64_t(1) << 62}});
        CPPUNIT_ASSERT(read && read->demand_->size() == 3);
        for (const auto &item : *read->demand_) {
            CPPUNIT_ASSERT(item.arrivals_.value() >= 0 && item.arrivals_.value() <= 1e6);
            CPPUNIT_ASSERT(item.admitted_ <= item.arrivals_ && item.admitted_.value() >= 0);
            CPPUNIT_ASSERT(item.age_.count() >= 0);
            CPPUNIT_ASSERT(Policy::rankIndex(item.rank_) < Policy::rankCount);
        }
        Policy::Shortage shortage;
        Policy::mergePeerDemand(shortage, Policy::ServiceKey(7), Model::InstanceId("x"),
                                *read->demand_, now);
        CPPUNIT_ASSERT(shortage.peers_.empty());

        nlohmann::json many = nlohmann::json::array();
        for (int i = 0; i < 1000; ++i)
            many.push_back({i, 0, 1.0, 1.0, 0});
        CPPUNIT_ASSERT_EQUAL(Policy::maxDemandPerMessage, decode(many)->demand_->size());
        for (const nlohmann::json &damaged :
             {nlohmann::json(5), nlohmann::json(nullptr), nlohmann::json({{1, 2}}),
              nlohmann::json({{"a", 0, 1.0, 1.0, 0}})}) {
            CPPUNIT_ASSERT(!decode(damaged));
            CPPUNIT_ASSERT(Model::lastReason().code_ == Model::ResultCode::PeerMessageUnreadable);
        }
    }

    void damagedDemandIsDecodedOrRefused()
    {
        const std::string sound = toBytes(messageWithDemand(8));
        Support::assertProperty("damaged demand never throws", [&] {
            std::string bytes = sound;
            const int damages = *rc::gen::inRange(1, 6);
            for (int i = 0; i < damages; ++i) {
                const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
                bytes[at] = *rc::gen::arbitrary<char>();
            }
            const auto read = Steering::peerMessageFromBytes(bytes, now);
            if (!read || !read->demand_)
                return;
            RC_ASSERT(read->demand_->size() <= Policy::maxDemandPerMessage);
            Policy::Shortage shortage;
            Policy::mergePeerDemand(shortage, Policy::ServiceKey(0xfedcba98),
                                    Model::InstanceId("x"), *read->demand_, now);
            Policy::updateShortage(shortage, {10, Milliseconds(100), 2}, now);
            RC_ASSERT(std::isfinite(shortage.demand_) && shortage.demand_ >= 0);
        });
    }

    // Guards against gossip that fills a link of 10 Mbit/s as the fleet grows, because every
    // message has full member records.
    void heartbeatRecordsAreSmall()
    {
        PeerMessage message{makeMember("front-koper-a-1"), {}, {}};
        const auto bare = toBytes(message).size();
        constexpr std::size_t count = 100;
        for (std::size_t i = 0; i < count; ++i) {
            message.update_.heartbeatRecords_.push_back(
                makeMember("front-koper-a-10").heartbeatRecord_);
        }
        CPPUNIT_ASSERT(toBytes(message).size() - bare < 50 * count);
    }
};

class TestPeerTraffic : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPeerTraffic);
    CPPUNIT_TEST(bytesAreCountedByScope);
    CPPUNIT_TEST_SUITE_END();

public:
    static Model::Instance in(const char *region, const char *domain)
    {
        Model::Instance instance;
        instance.region_ = Model::RegionId(region);
        instance.domain_ = Model::FailureDomainId(domain);
        return instance;
    }

    void bytesAreCountedByScope()
    {
        using enum Steering::CallScope;
        const auto own = in("r", "r-a");
        CPPUNIT_ASSERT(Steering::scopeOf(own, in("r", "r-a")) == Domain);
        CPPUNIT_ASSERT(Steering::scopeOf(own, in("r", "r-b")) == Region);
        CPPUNIT_ASSERT(Steering::scopeOf(own, in("s", "s-a")) == Fleet);
        Steering::PeerTraffic traffic;
        const auto gossip = Steering::PeerCall::Gossip;
        Steering::countBytes(traffic, gossip, Region, 100);
        Steering::countBytes(traffic, gossip, Region, 50);
        Steering::countBytes(traffic, gossip, Domain, 7);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(150), traffic.bytes_.at({gossip, Region}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), traffic.bytes_.at({gossip, Domain}));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPeerTraffic);
CPPUNIT_TEST_SUITE_REGISTRATION(TestPeerMessage);
