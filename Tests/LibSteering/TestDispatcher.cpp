#include "FakePlatform.h"

#include <Support/Property.h>

namespace {

using Fakes::InstanceFixture;
using Model::Milliseconds;
namespace http = Http::http;

/// Two targets in r-a that answer every request, and a dispatcher that sends to them, all on one
/// thread, so that the test controls what happens between two steps of the dispatcher.
struct DispatcherFixture
{
    DispatcherFixture()
    {
        for (const char *id : {"a", "b"}) {
            servers_.push_back(std::make_unique<Http::Server>(
                context_, Http::ServerLimits(),
                [this](Http::IncomingRequest request) -> Http::Task<Http::Response> {
                    const std::string target(request.message_["Expected"]);
                    receivingTargets_.push_back(target);
                    received_.push_back(request.message_);
                    auto answer = Http::textAnswer(
                        status_, "text/plain",
                        answerBytes_ > 0 ? std::string(answerBytes_, 'x') : target, 11);
                    answer.set("Id", std::string(request.message_["Id"]));
                    for (const auto &[name, value] : fields_)
                        answer.set(name, value);
                    co_return answer;
                }));
            addresses_[id] = freeAddress();
            CPPUNIT_ASSERT(servers_.back()->listen(addresses_[id]));
        }
        instance_.port_.headers_.expectedTarget_ = "Expected";
        instance_.port_.headers_.callerKey_ = "Secret";
        instance_.port_.headers_.workspace_ = "Workspace";
        instance_.port_.headers_.notRun_ = "Not-Run";
        instance_.port_.parsePause_ = [](const Http::Response &answer) {
            return Http::retryAfterIn(answer, Model::WallTime());
        };
        instance_.port_.takeLeave_ = [](Http::Response &answer) {
            return answer.erase("Leaving") > 0;
        };
        guard_.setInformed();
        instance_.setOperatorRows(3, 1);
        instance_.setTargetRows(2, {row("a", 2), row("b", 2)});
    }

    static Model::Address freeAddress()
    {
        Http::asio::io_context probing;
        Http::tcp::acceptor probe(probing, {Http::asio::ip::make_address("127.0.0.1"), 0});
        return {"127.0.0.1", probe.local_endpoint().port()};
    }

    Platform::StoredRow row(const std::string &id, std::uint64_t revision,
                            const std::string &state = "ready") const
    {
        return Fakes::row(id, "gauging r-a " + toText(addresses_.at(id)) + " 4 " + state + " 0",
                          revision);
    }

    /// Starts a request with a header field, and returns when it is answered.
    http::status answerTo(const std::string &path, const std::string &field,
                          const std::string &value)
    {
        answer_.reset();
        auto incoming = incomingRequest(path);
        incoming.message_.set(field, value);
        incoming.message_.set("Workspace", "forged");
        Http::asio::co_spawn(context_, answerRequest(std::move(incoming)), Http::asio::detached);
        waitForAnswer();
        return answer_->result();
    }

    /// The same for a request with a body.
    http::status answerWithBody(std::size_t bytes)
    {
        answer_.reset();
        auto incoming = incomingRequest("/read/x");
        incoming.message_.method(http::verb::post);
        incoming.message_.body() = std::string(bytes, 'x');
        incoming.message_.prepare_payload();
        Http::asio::co_spawn(context_, answerRequest(std::move(incoming)), Http::asio::detached);
        waitForAnswer();
        return answer_->result();
    }

    static Http::IncomingRequest incomingRequest(const std::string &path)
    {
        Http::IncomingRequest incoming;
        incoming.message_ = Http::Request(http::verb::get, path, 11);
        incoming.message_.set(http::field::host, "h");
        incoming.message_.set("Id", "1");
        incoming.message_.set("Key", "7");
        incoming.arrivedAt_ = std::chrono::steady_clock::now();
        incoming.hasPeerClosed_ = [] {
            return false;
        };
        return incoming;
    }

    /// Starts a request, and returns once its target is chosen and a connection to it is being
    /// opened.
    void startRequest()
    {
        Http::asio::co_spawn(context_, answerRequest(incomingRequest("/read/x")),
                             Http::asio::detached);
        while (chosenTarget().empty())
            CPPUNIT_ASSERT(context_.poll_one() > 0);
    }

    Http::Task<void> answerRequest(Http::IncomingRequest incoming)
    {
        answer_ = co_await dispatcher_.answer(std::move(incoming));
    }

    /// Changes the load of each target as this instance counts it.
    void addLoad(int requests)
    {
        for (const auto &[id, target] : instance_.targetRegistry_.all())
            target->ownInFlight_ += requests;
    }

    /// Starts a request that finds no room, and returns once it waits.
    void startWaitingRequest(std::function<bool()> hasPeerClosed)
    {
        auto incoming = incomingRequest("/read/waiting");
        incoming.hasPeerClosed_ = std::move(hasPeerClosed);
        Http::asio::co_spawn(context_, answerRequest(std::move(incoming)), Http::asio::detached);
        while (dispatcher_.queue().waiting() == 0)
            CPPUNIT_ASSERT(context_.poll_one() > 0);
    }

    /// Returns the target that was chosen for the request, or an empty string.
    std::string chosenTarget() const
    {
        for (const auto &[id, target] : instance_.targetRegistry_.all()) {
            if (target->ownInFlight_ > 0)
                return id.value();
        }
        return "";
    }

    void waitForAnswer()
    {
        const auto end = std::chrono::steady_clock::now() + Milliseconds(5000);
        while (!answer_ && std::chrono::steady_clock::now() < end)
            context_.run_one_for(Milliseconds(50));
        CPPUNIT_ASSERT(answer_);
    }

    Http::asio::io_context context_;
    InstanceFixture instance_{"r-a"};
    Steering::CrashGuard guard_{instance_.port_, instance_.log_};
    Steering::PeerExchange peers_{context_, instance_.settings_, instance_.platformState_,
                                  instance_.log_};
    Steering::QuotaExchange quotas_{context_, instance_.settings_, instance_.platformState_, peers_,
                                    instance_.log_};
    Steering::Dispatcher dispatcher_{context_,
                                     instance_.port_,
                                     instance_.platformState_,
                                     instance_.placementEngine_,
                                     instance_.reach_,
                                     guard_,
                                     quotas_,
                                     instance_.log_};
    std::vector<std::unique_ptr<Http::Server>> servers_;
    std::map<std::string, Model::Address> addresses_;
    /// What the targets answer.
    http::status status_ = http::status::ok;
    std::map<std::string, std::string> fields_;
    /// The size of the targets' answers; zero for the target's id.
    std::size_t answerBytes_ = 0;
    std::vector<std::string> receivingTargets_;
    std::vector<Http::Request> received_;
    std::optional<Http::Response> answer_;
};

class TestDispatcher : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDispatcher);
    CPPUNIT_TEST(requestThatWaitsForAConnectionIsNotSentToATargetThatLeaves);
    CPPUNIT_TEST(requestThatWaitsForAConnectionIsNotSentToATargetThatIsGone);
    CPPUNIT_TEST(requestThatWaitsForAConnectionIsNotSentToADrainedDomain);
    CPPUNIT_TEST(requestThatWaitsForAConnectionIsNotSentToATargetThatPauses);
    CPPUNIT_TEST(pauseAndLeaveOfATargetDoNotReachTheCaller);
    CPPUNIT_TEST(termsOfAnotherTargetAtTheAddressAreNotRead);
    CPPUNIT_TEST(requestWithoutAKnownKeyReachesNoTarget);
    CPPUNIT_TEST(targetGetsTheWorkspaceAndNotTheKey);
    CPPUNIT_TEST(publicRouteNeedsNoKey);
    CPPUNIT_TEST(requestBeyondTheQuotaReachesNoTarget);
    CPPUNIT_TEST(answersThatAreNotReadKeepFurtherRequestsFromTargets);
    CPPUNIT_TEST(answerBeyondTheBoundIsNotReadAndNotHeldAgainstItsTarget);
    CPPUNIT_TEST(withoutABoundNothingIsRefusedForItsBytes);
    CPPUNIT_TEST(requestGoesToATargetThatHoldsLess);
    CPPUNIT_TEST(crashedTargetsBoundIsHalvedForItsNextIncarnation);
    CPPUNIT_TEST(requestWithoutRoomIsRefusedAtOnceWithTheQueueOff);
    CPPUNIT_TEST(requestWithoutRoomWaitsForTheEndOfAnother);
    CPPUNIT_TEST(instanceOverItsPartOfTheSlotsLetsRequestsWait);
    CPPUNIT_TEST(requestThatWaitsInVainReachesNoTarget);
    CPPUNIT_TEST(waitingRequestOfACallerThatLeftReachesNoTarget);
    CPPUNIT_TEST_SUITE_END();

public:
    static void assertSentElsewhere(DispatcherFixture &fixture, const std::string &left)
    {
        fixture.waitForAnswer();
        const std::string other = left == "a" ? "b" : "a";
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.receivingTargets_.size());
        CPPUNIT_ASSERT_EQUAL(other, fixture.receivingTargets_.front());
        CPPUNIT_ASSERT(fixture.answer_->result() == http::status::ok);
    }

    // Guards against sending a request to a target that is known to be leaving, because the target
    // was chosen earlier and the request was waiting for a connection.
    void requestThatWaitsForAConnectionIsNotSentToATargetThatLeaves()
    {
        DispatcherFixture fixture;
        fixture.startRequest();
        const std::string left = fixture.chosenTarget();
        const std::string other = left == "a" ? "b" : "a";
        fixture.instance_.setTargetRows(3,
                                        {fixture.row(left, 3, "draining"), fixture.row(other, 2)});
        assertSentElsewhere(fixture, left);
    }

    // The same for a target that asks for a pause meanwhile, in an answer to another request.
    void requestThatWaitsForAConnectionIsNotSentToATargetThatPauses()
    {
        DispatcherFixture fixture;
        fixture.startRequest();
        const std::string pausing = fixture.chosenTarget();
        Policy::notePause(
            fixture.instance_.targetRegistry_.all().at(Model::TargetId(pausing))->pause_,
            Milliseconds(5000), Policy::initialReturnWindow, std::chrono::steady_clock::now());
        assertSentElsewhere(fixture, pausing);
    }

    // Guards against passing on what a target tells its instance: callers would wait although other
    // targets serve them.
    void pauseAndLeaveOfATargetDoNotReachTheCaller()
    {
        DispatcherFixture fixture;
        fixture.status_ = http::status::service_unavailable;
        fixture.fields_ = {{"Retry-After", "5"}, {"Leaving", "1"}};
        CPPUNIT_ASSERT(fixture.answerTo("/read/x", "Other", "")
                       == http::status::service_unavailable);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.answer_->count(http::field::retry_after));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.answer_->count("Leaving"));
        fixture.status_ = http::status::ok;
        fixture.fields_.clear();
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(fixture.answerTo("/read/x", "Other", "") == http::status::ok);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), std::count(fixture.receivingTargets_.begin(),
                                                           fixture.receivingTargets_.end(),
                                                           fixture.receivingTargets_.front()));
    }

    // Guards against believing a target's address: another one that listens there answers 421, and
    // asks for a pause or leaves on its own account.
    void termsOfAnotherTargetAtTheAddressAreNotRead()
    {
        DispatcherFixture fixture;
        fixture.status_ = http::status::misdirected_request;
        fixture.fields_ = {{"Retry-After", "5"}, {"Leaving", "1"}};
        fixture.answerTo("/read/x", "Other", "");
        for (const auto &[id, target] : fixture.instance_.targetRegistry_.all()) {
            CPPUNIT_ASSERT(!target->record_.isLeaving_);
            CPPUNIT_ASSERT(target->pause_.until_ == Model::distantPast);
        }
    }

    /// Adds workspaces to the table: "w", whose quota admits a few requests, and
    /// "free" without a quota.
    static void addWorkspaces(DispatcherFixture &fixture)
    {
        fixture.instance_.setTable(Fakes::operatorsText(5) + "[workspace free]\nkey_digests = "
                                       + toText(Model::digestOf("free-key"))
                                       + "\n[workspace w]\nkey_digests = "
                                       + toText(Model::digestOf("w-key")) + "\nlimit_rps = 1\n",
                                   5);
        fixture.quotas_.tableChanged();
    }

    // Guards against serving a caller whose key no workspace holds.
    void requestWithoutAKnownKeyReachesNoTarget()
    {
        DispatcherFixture fixture;
        addWorkspaces(fixture);
        CPPUNIT_ASSERT(fixture.answerTo("/read/x", "Other", "") == http::status::unauthorized);
        CPPUNIT_ASSERT(fixture.answerTo("/read/x", "Secret", "x") == http::status::unauthorized);
        CPPUNIT_ASSERT(fixture.receivingTargets_.empty());
    }

    // Guards against passing a caller's key on, and against a caller that names a workspace itself.
    void targetGetsTheWorkspaceAndNotTheKey()
    {
        DispatcherFixture fixture;
        addWorkspaces(fixture);
        CPPUNIT_ASSERT(fixture.answerTo("/read/x", "Secret", "free-key") == http::status::ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.received_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.received_.front().count("Secret"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.received_.front().count("Workspace"));
        CPPUNIT_ASSERT(fixture.received_.front()["Workspace"] == "free");
    }

    // Guards against demanding a key where the table asks for none, and against passing on the name
    // of a workspace that a caller without a key has made up.
    void publicRouteNeedsNoKey()
    {
        DispatcherFixture fixture;
        addWorkspaces(fixture);
        fixture.instance_.setTable(
            Fakes::operatorsText(6)
                + "[route open]\nhost = h\nprefix = /open/\nservices = gauging\npublic = yes\n"
                  "[workspace w]\n",
            6);
        fixture.quotas_.tableChanged();
        CPPUNIT_ASSERT(fixture.answerTo("/open/x", "Secret", "x") == http::status::ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.received_.front().count("Workspace"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.received_.front().count("Secret"));
        CPPUNIT_ASSERT(fixture.answerTo("/read/x", "Secret", "x") == http::status::unauthorized);
    }

    // Guards against a refusal beyond the quota that is not one of a request that has not run.
    void requestBeyondTheQuotaReachesNoTarget()
    {
        DispatcherFixture fixture;
        addWorkspaces(fixture);
        http::status last = http::status::ok;
        for (int i = 0; i < 5; ++i)
            last = fixture.answerTo("/read/x", "Secret", "w-key");
        CPPUNIT_ASSERT(last == http::status::too_many_requests);
        CPPUNIT_ASSERT(fixture.answer_->count(http::field::retry_after) == 1);
        CPPUNIT_ASSERT(fixture.receivingTargets_.size() < 5);
    }

    static bool isRefusedForBytes(const DispatcherFixture &fixture)
    {
        return fixture.answer_->result() == http::status::service_unavailable
               && (*fixture.answer_)["Cassiacrank-Code"] == "215";
    }

    // Guards against exceeding the bound, or sending requests whose answers cannot be taken, while
    // callers do not read large answers.
    void answersThatAreNotReadKeepFurtherRequestsFromTargets()
    {
        DispatcherFixture fixture;
        constexpr std::size_t limit = 3000000;
        std::size_t unread = 0;
        fixture.dispatcher_.setHeldBytes(Policy::Bytes(limit), [&] {
            return unread;
        });
        fixture.answerBytes_ = 540000;
        std::size_t answered = 0;
        for (int i = 0; i < 20; ++i) {
            const auto status = fixture.answerTo("/read/x", "Other", "");
            CPPUNIT_ASSERT(status == http::status::ok || isRefusedForBytes(fixture));
            answered += status == http::status::ok ? 1 : 0;
            unread += status == http::status::ok ? fixture.answer_->body().size() : 0;
            CPPUNIT_ASSERT(unread <= limit);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), fixture.receivingTargets_.size());
        CPPUNIT_ASSERT(fixture.answer_->count(http::field::retry_after) == 1);
        CPPUNIT_ASSERT(fixture.dispatcher_.heldBytes().forTargets_ == Policy::Bytes(0));
        unread = 0;
        CPPUNIT_ASSERT(fixture.answerTo("/read/x", "Other", "") == http::status::ok);
    }

    // Guards against reading an answer that does not fit, and against taking the target for a
    // failed one because of it. The request may have run.
    void answerBeyondTheBoundIsNotReadAndNotHeldAgainstItsTarget()
    {
        DispatcherFixture fixture;
        fixture.dispatcher_.setHeldBytes(Policy::Bytes(100000), [] {
            return std::size_t(0);
        });
        fixture.answerBytes_ = 200000;
        CPPUNIT_ASSERT(fixture.answerTo("/read/x", "Other", "") == http::status::bad_gateway);
        CPPUNIT_ASSERT((*fixture.answer_)["Cassiacrank-Code"] == "304");
        CPPUNIT_ASSERT(fixture.dispatcher_.heldBytes().forTargets_ == Policy::Bytes(0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fixture.dispatcher_.heldBytes().awaitedAnswers_);
        for (const auto &[id, target] : fixture.instance_.targetRegistry_.all())
            CPPUNIT_ASSERT(target->lostRequests_.empty());
    }

    // Guards against a change for deployments that set no limits.
    void withoutABoundNothingIsRefusedForItsBytes()
    {
        DispatcherFixture fixture;
        fixture.dispatcher_.setHeldBytes(std::nullopt, [] {
            return std::size_t(1) << 50;
        });
        for (const auto &[id, target] : fixture.instance_.targetRegistry_.all()) {
            target->bytes_.held_ = Policy::Bytes(10);
            target->bytes_.limit_ = Policy::Bytes(0);
        }
        fixture.answerBytes_ = 1000000;
        CPPUNIT_ASSERT(fixture.answerTo("/read/x", "Other", "") == http::status::ok);
    }

    // Guards against sending a body to a target beyond its bound, and against a refusal while
    // another target takes it.
    void requestGoesToATargetThatHoldsLess()
    {
        DispatcherFixture fixture;
        fixture.dispatcher_.setHeldBytes(Policy::Bytes(1000000), [] {
            return std::size_t(0);
        });
        const auto fill = [&](const char *id) {
            auto &bytes = fixture.instance_.targetRegistry_.all().at(Model::TargetId(id))->bytes_;
            bytes.held_ = Policy::Bytes(1000);
            bytes.limit_ = Policy::Bytes(1000);
        };
        fill("a");
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(fixture.answerWithBody(100) == http::status::ok);
        CPPUNIT_ASSERT(fixture.receivingTargets_ == std::vector<std::string>(4, "b"));
        fill("b");
        fixture.answerWithBody(100);
        CPPUNIT_ASSERT(isRefusedForBytes(fixture));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), fixture.receivingTargets_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.dispatcher_.counters().retried_);
    }

    // Guards against crashing a target again with as many bytes as before. The connections break
    // first; the new registration arrives later.
    void crashedTargetsBoundIsHalvedForItsNextIncarnation()
    {
        DispatcherFixture fixture;
        const auto &registry = fixture.instance_.targetRegistry_;
        const auto stateOf = [&](const char *id) {
            return registry.all().at(Model::TargetId(id));
        };
        const auto now = std::chrono::steady_clock::now();
        const auto crashed = stateOf("a");
        auto request = Fakes::requestContext(fixture.instance_, "read", 1);
        crashed->bytes_.held_ = Policy::Bytes(3000 * 1024);
        CPPUNIT_ASSERT(fixture.guard_.noteLost(request, crashed, now));
        crashed->bytes_.held_ = Policy::Bytes(0);
        fixture.guard_.noteListening(*crashed, Http::Listening::No, now);
        CPPUNIT_ASSERT(crashed->bytes_.limit_ == Policy::Bytes(1500 * 1024));
        const auto restart = [&](const std::string &id, int incarnation, std::uint64_t revision) {
            auto row = fixture.row(id, revision);
            row.value_ = *row.value_ + " " + std::to_string(incarnation) + " 1";
            return row;
        };
        fixture.instance_.setTargetRows(3, {restart("a", 1, 3), fixture.row("b", 2)});
        CPPUNIT_ASSERT(stateOf("a") != crashed);
        CPPUNIT_ASSERT(stateOf("a")->bytes_.limit_ == Policy::Bytes(1500 * 1024));
        // A restart with requests in progress is a crash as well.
        stateOf("b")->bytes_.held_ = Policy::Bytes(4000 * 1024);
        fixture.instance_.setTargetRows(4, {restart("a", 2, 4), restart("b", 1, 4)});
        CPPUNIT_ASSERT(stateOf("a")->bytes_.limit_ == Policy::TargetBytes().limit_);
        CPPUNIT_ASSERT(stateOf("b")->bytes_.limit_ == Policy::Bytes(2000 * 1024));
    }

    // The same for a target whose registration was removed.
    void requestThatWaitsForAConnectionIsNotSentToATargetThatIsGone()
    {
        DispatcherFixture fixture;
        fixture.startRequest();
        const std::string left = fixture.chosenTarget();
        const std::string other = left == "a" ? "b" : "a";
        fixture.instance_.setTargetRows(3, {fixture.row(other, 2)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.instance_.targetRegistry_.all().size());
        assertSentElsewhere(fixture, left);
    }

    // The same for a failure domain that an operator drains; no target is left to serve the
    // request.
    void requestThatWaitsForAConnectionIsNotSentToADrainedDomain()
    {
        DispatcherFixture fixture;
        fixture.startRequest();
        fixture.instance_.setOperatorRows(4, 4, {"r-a"});
        fixture.waitForAnswer();
        CPPUNIT_ASSERT(fixture.receivingTargets_.empty());
        CPPUNIT_ASSERT(fixture.answer_->result() == http::status::service_unavailable);
    }

    /// Load at which no target can answer before the caller stops waiting.
    static constexpr int fullLoad = 1000;

    // Without the setting, an instance keeps no request.
    void requestWithoutRoomIsRefusedAtOnceWithTheQueueOff()
    {
        DispatcherFixture fixture;
        fixture.addLoad(fullLoad);
        const auto before = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(fixture.answerTo("/read/x", "Other", "")
                       == http::status::service_unavailable);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - before < Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.dispatcher_.queue().counters().waited_);
    }

    // Guards against a request that waits until the next tick, or is refused, while a slot is free.
    void requestWithoutRoomWaitsForTheEndOfAnother()
    {
        DispatcherFixture fixture;
        fixture.dispatcher_.setWaitsForRoom(true);
        fixture.startRequest();
        fixture.addLoad(fullLoad);
        fixture.startWaitingRequest([] {
            return false;
        });
        fixture.addLoad(-fullLoad);
        fixture.waitForAnswer();
        fixture.answer_.reset();
        fixture.waitForAnswer();
        CPPUNIT_ASSERT(fixture.answer_->result() == http::status::ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.receivingTargets_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.dispatcher_.queue().waiting());
    }

    // Guards against an instance that fills the targets' queues beyond its part of their slots.
    void instanceOverItsPartOfTheSlotsLetsRequestsWait()
    {
        DispatcherFixture fixture;
        fixture.dispatcher_.setWaitsForRoom(true);
        // Two of eight slots, which are all taken.
        fixture.instance_.placementEngine_.setEntries({4, 4, 4});
        fixture.addLoad(4);
        for (int i = 0; i < 3; ++i) {
            Http::asio::co_spawn(fixture.context_,
                                 fixture.answerRequest(DispatcherFixture::incomingRequest(
                                     "/read/" + std::to_string(i))),
                                 Http::asio::detached);
        }
        const auto end = std::chrono::steady_clock::now() + Milliseconds(5000);
        while (fixture.dispatcher_.counters().answered_ < 3
               && std::chrono::steady_clock::now() < end)
            fixture.context_.run_one_for(Milliseconds(50));
        const auto &counters = fixture.dispatcher_.queue().counters();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counters.waited_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.receivingTargets_.size());
    }

    // Guards against a refusal that promises what is not true: the request must not have run.
    void requestThatWaitsInVainReachesNoTarget()
    {
        DispatcherFixture fixture;
        fixture.dispatcher_.setWaitsForRoom(true);
        fixture.addLoad(fullLoad);
        fixture.startWaitingRequest([] {
            return false;
        });
        fixture.waitForAnswer();
        CPPUNIT_ASSERT(fixture.answer_->result() == http::status::service_unavailable);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.answer_->count(http::field::retry_after));
        CPPUNIT_ASSERT(fixture.receivingTargets_.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.dispatcher_.queue().counters().expired_);
    }

    // Guards against work for nobody.
    void waitingRequestOfACallerThatLeftReachesNoTarget()
    {
        DispatcherFixture fixture;
        fixture.dispatcher_.setWaitsForRoom(true);
        fixture.addLoad(fullLoad);
        bool hasLeft = false;
        fixture.startWaitingRequest([&hasLeft] {
            return hasLeft;
        });
        hasLeft = true;
        fixture.addLoad(-fullLoad);
        fixture.dispatcher_.sweepAbandoned();
        fixture.waitForAnswer();
        CPPUNIT_ASSERT(fixture.receivingTargets_.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.dispatcher_.queue().counters().left_);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestDispatcher);
