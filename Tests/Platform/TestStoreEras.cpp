#include "StandIns.h"

#include <Support/Property.h>
#include <platform/StoreRows.h>

namespace {

using Http::http::status;
using Model::Milliseconds;
using Model::ResultCode;
using Platform::StoreEra;

class TestStoreEras : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreEras);
    CPPUNIT_TEST(eraOrdersRevisions);
    CPPUNIT_TEST(answersAreReadInTheirEra);
    CPPUNIT_TEST(laterEraAsksForAFullRead);
    CPPUNIT_TEST(earlierAndUnreadableErasAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Reads changes after \a after from a store that gives one answer to every call.
    static std::optional<Platform::StoredRows> changes(Platform::Revision after,
                                                       const std::optional<std::string> &era,
                                                       status answered = status::ok,
                                                       const std::string &ver = "9")
    {
        const PlatformStandIns::ServerThread server(
            "127.0.0.1", [&](Http::IncomingRequest) -> Http::Task<Http::Response> {
                auto answer = Http::textAnswer(answered, "application/json",
                                               R"({"rows":[{"table":"servers","part":"","key":"k",)"
                                               R"("value":"eA==","ver":8}],"ver":)"
                                                   + ver + "}",
                                               11);
                if (era)
                    answer.set("Store-Era", *era);
                co_return answer;
            });
        Http::asio::io_context context;
        Http::ConnectionPool pool(context);
        Platform::Store store;
        store.address_ = server.address();
        store.pool_ = &pool;
        Http::ExchangeControl control;
        std::optional<Platform::StoredRows> rows;
        Http::asio::co_spawn(
            context,
            [&]() -> Http::Task<void> {
                rows = co_await Adapter::awaitChanges(store, Steering::StoreTable::Targets, after,
                                                      Milliseconds(0), control);
            },
            Http::asio::detached);
        context.run();
        return rows;
    }

    static void requireRefusal(ResultCode code, const std::optional<Platform::StoredRows> &rows)
    {
        CPPUNIT_ASSERT(!rows);
        CPPUNIT_ASSERT_EQUAL(Model::number(code), Model::number(Model::lastReason().code_));
    }

    static Platform::Revision known() { return Platform::revisionIn(StoreEra(3), 7); }

    // Guards against numbers of different eras that are compared with each other.
    void eraOrdersRevisions()
    {
        Support::assertProperty("(era, number) decides", [] {
            const auto draw = [] {
                const auto era = *rc::gen::arbitrary<std::uint16_t>();
                const auto number
                    = *rc::gen::inRange<std::uint64_t>(0, Platform::maxRevisionNumber);
                return std::pair(era, number);
            };
            const auto one = draw();
            const auto other = draw();
            const auto first = Platform::revisionIn(StoreEra(one.first), one.second);
            const auto second = Platform::revisionIn(StoreEra(other.first), other.second);
            RC_ASSERT((first < second) == (one < other));
            RC_ASSERT(Platform::eraOf(first).value() == one.first);
            RC_ASSERT(Platform::numberOf(first) == one.second);
        });
    }

    void answersAreReadInTheirEra()
    {
        const auto rows = changes(known(), "3");
        CPPUNIT_ASSERT(rows);
        CPPUNIT_ASSERT(rows->revision_ == Platform::revisionIn(StoreEra(3), 9));
        CPPUNIT_ASSERT(rows->rows_.at(0).revision_ == Platform::revisionIn(StoreEra(3), 8));
        const auto withoutEra = changes(Platform::Revision(7), std::nullopt);
        CPPUNIT_ASSERT(withoutEra && withoutEra->revision_ == Platform::Revision(9));
    }

    // Guards against changes of a new era that are applied to the rows of the earlier one.
    void laterEraAsksForAFullRead()
    {
        requireRefusal(ResultCode::PlatformHistoryGone, changes(known(), "4"));
        requireRefusal(ResultCode::PlatformHistoryGone, changes(known(), "4", status::gone));
        requireRefusal(ResultCode::PlatformHistoryGone, changes(known(), "3", status::gone));
    }

    // Guards against an answer that was sent before the return and arrives after it.
    void earlierAndUnreadableErasAreRefused()
    {
        requireRefusal(ResultCode::PlatformBadAnswer, changes(known(), "2"));
        requireRefusal(ResultCode::PlatformBadAnswer, changes(known(), "2", status::gone));
        requireRefusal(ResultCode::PlatformBadAnswer, changes(known(), std::nullopt));
        for (const char *era : {"", "x", "-1", "4.0", "4 4", "70000"})
            requireRefusal(ResultCode::PlatformBadAnswer, changes(known(), era));
        requireRefusal(ResultCode::PlatformBadAnswer,
                       changes(known(), "3", status::ok, "281474976710656"));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreEras);
