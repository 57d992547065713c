#include "Load.h"

#include <Support/AnswerHeads.h>
#include <Support/RawPeer.h>

#include <mutex>
#include <thread>

namespace {

using Harness::Site;
using Model::Milliseconds;
using Support::AnswerHead;
using Support::HeadKind;
using Support::RawAnswer;
namespace http = Http::http;

constexpr const char *idPlace = "REQUEST-ID";
constexpr const char *headQuery = "?head=";

std::vector<AnswerHead> allHeads()
{
    return Support::answerHeads(std::string("Cassiacrank-Request-Id: ") + idPlace
                                + "\r\nContent-Length: 6\r\n");
}

/// Returns the bytes of an answer to \a request with \a head.
std::string bytesOf(const AnswerHead &head, const std::string &body, const Http::Request &request)
{
    std::string bytes = head.text_ + "\r\n" + body;
    const std::string place = idPlace;
    if (const auto at = bytes.find(place); at != std::string::npos)
        bytes.replace(at, place.size(), std::string(request[Http::requestIdHeader.data()]));
    return bytes;
}

/// Returns the part of a failure domain's name that names its region.
std::string regionPart(const Model::FailureDomainId &domain)
{
    return domain.value().substr(0, domain.value().find('-'));
}

/// Raw peers in place of the targets of one service.
class BrokenTargets
{
public:
    BrokenTargets(Site &site, const std::string &service, const Support::RawHandler &handler)
    {
        for (auto &target : site.targets()) {
            const auto &row = target.row_;
            if (row.service_.value() != service)
                continue;
            target.process_->kill();
            peers_.push_back(std::make_unique<Support::RawPeer>(context_, handler, row.address_));
            // An entry checks the targets of its region.
            if (regionPart(row.domain_) == regionPart(site.instances().front().row_.domain_))
                checkedIds_.insert(row.id_.value());
        }
        thread_ = std::thread([this] {
            context_.run();
        });
    }
    ~BrokenTargets()
    {
        context_.stop();
        thread_.join();
    }
    BrokenTargets(const BrokenTargets &) = delete;
    BrokenTargets &operator=(const BrokenTargets &) = delete;

    /// The targets whose health the only instance checks.
    const std::set<std::string> &checkedIds() const { return checkedIds_; }

private:
    Http::asio::io_context context_{1};
    std::vector<std::unique_ptr<Support::RawPeer>> peers_;
    std::set<std::string> checkedIds_;
    std::thread thread_;
};

/// Counts the requests for each head; answers health checks soundly.
class Script
{
public:
    /// The first \a broken requests for a head get it, further ones a sound answer.
    explicit Script(int broken)
        : broken_(broken)
    {
    }

    RawAnswer answer(const Http::Request &request)
    {
        const std::string target(request.target());
        const auto at = target.find(headQuery);
        if (at == std::string::npos)
            return {bytesOf(sound_, "health", request)};
        const auto number = std::stoul(target.substr(at + std::string(headQuery).size()));
        const std::lock_guard lock(mutex_);
        const bool isBroken = ++requests_[number] <= broken_;
        return {isBroken ? bytesOf(heads_[number], "broken", request)
                         : bytesOf(sound_, "sound.", request)};
    }

    int requests(std::size_t number)
    {
        const std::lock_guard lock(mutex_);
        return requests_[number];
    }

    const std::vector<AnswerHead> &heads() const { return heads_; }

private:
    const int broken_;
    const std::vector<AnswerHead> heads_ = allHeads();
    const AnswerHead sound_{"sound", std::string("HTTP/1.1 200 OK\r\nCassiacrank-Request-Id: ")
                                         + idPlace + "\r\nContent-Length: 6\r\n"};
    std::mutex mutex_;
    std::map<std::size_t, int> requests_;
};

/// Sends requests until a target has received one.
Http::Response sendUntilReceived(const Model::Address &entry, http::verb method,
                                 const std::string &path, std::size_t number, Script &script)
{
    Http::Response answer;
    const bool isReceived = Harness::waitUntil(Milliseconds(10000), [&] {
        answer = Integration::send(entry, method, path + headQuery + std::to_string(number),
                                   {{"Caller", "pilot-1"}});
        return script.requests(number) > 0;
    });
    CPPUNIT_ASSERT_MESSAGE(answer.body(), isReceived);
    return answer;
}

class TestBrokenAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestBrokenAnswers);
    CPPUNIT_TEST(unsafeRequestIsSentOnceAndItsOutcomeIsUnknown);
    CPPUNIT_TEST(safeRequestIsAnsweredByAnotherTarget);
    CPPUNIT_TEST(brokenHealthCheckCountsAgainstItsTarget);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against passing a broken answer on, or sending its request again.
    void unsafeRequestIsSentOnceAndItsOutcomeIsUnknown()
    {
        Harness::SiteOptions options;
        options.instances_ = 1;
        Site site(options);
        site.start();
        Script script(std::numeric_limits<int>::max());
        const BrokenTargets targets(site, "transfers", [&](const Http::Request &request) {
            return script.answer(request);
        });
        const auto &entry = site.instances().front().row_.addresses_.entry_;
        for (std::size_t number = 0; number < script.heads().size(); ++number) {
            const AnswerHead &head = script.heads()[number];
            const auto answer
                = sendUntilReceived(entry, http::verb::post, "/transfers/pay", number, script);
            const bool isFinal = head.kind_ == HeadKind::Final;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, std::string(isFinal ? "run" : "unknown"),
                                         std::string(answer["Cassiacrank-Outcome"]));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, 1, script.requests(number));
            CPPUNIT_ASSERT_MESSAGE(head.name_, isFinal || answer.result_int() == 502);
        }
    }

    // Guards against a caller that gets the broken answer although another target is sound.
    void safeRequestIsAnsweredByAnotherTarget()
    {
        Harness::SiteOptions options;
        options.instances_ = 1;
        Site site(options);
        site.start();
        Script script(1);
        const BrokenTargets targets(site, "gauging", [&](const Http::Request &request) {
            return script.answer(request);
        });
        const auto &entry = site.instances().front().row_.addresses_.entry_;
        for (std::size_t number = 0; number < script.heads().size(); ++number) {
            const AnswerHead &head = script.heads()[number];
            if (head.kind_ == HeadKind::Final)
                continue;
            const auto answer
                = sendUntilReceived(entry, http::verb::get, "/gauging/tank/7", number, script);
            // A second try needs credit, which other requests earn.
            const bool isRetried = script.requests(number) > 1;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, std::string(isRetried ? "run" : "unknown"),
                                         std::string(answer["Cassiacrank-Outcome"]));
            CPPUNIT_ASSERT_MESSAGE(head.name_, !isRetried || answer.body() == "sound.");
        }
    }

    // Guards against a target that counts as alive because it sends something to health checks.
    void brokenHealthCheckCountsAgainstItsTarget()
    {
        Harness::SiteOptions options;
        options.instances_ = 1;
        Site site(options);
        site.start();
        std::vector<AnswerHead> broken;
        for (const auto &head : allHeads()) {
            if (head.kind_ != HeadKind::Final)
                broken.push_back(head);
        }
        std::atomic<std::size_t> last{0};
        const BrokenTargets targets(site, "gauging", [&](const Http::Request &request) {
            // Neighbours in the table are of one kind, so one check takes a distant one.
            return RawAnswer{bytesOf(broken[last++ * 97 % broken.size()], "health", request)};
        });
        const auto suspects = [&] {
            std::size_t count = 0;
            const auto status = Harness::getJson({site.instances().front().host_, 7006}, "/status");
            for (const auto &target : status->at("targets")) {
                const bool isBroken
                    = targets.checkedIds().contains(target.at("id").get<std::string>());
                count += isBroken && target.at("suspect").get<bool>() ? 1 : 0;
            }
            return count;
        };
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(10000), [&] {
            return suspects() == targets.checkedIds().size();
        }));
        // Each further check meets another head, and none brings a target back.
        const auto seen = last.load();
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(30000), [&] {
            CPPUNIT_ASSERT_EQUAL(targets.checkedIds().size(), suspects());
            return last > seen + 100;
        }));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestBrokenAnswers);
