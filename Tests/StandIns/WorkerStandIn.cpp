// A minimal fake of a target: slots, load reports, cold start, draining, deadlines, cancellation,
// and an execution count per request, against which tests verify "at most once" and "not run".
// docs/target-protocol.md describes the protocol.

#include "StandInMain.h"

#include <map>
#include <random>
#include <unistd.h>

DEFINE_string(address, "127.0.0.1:8000", "listen address");
DEFINE_int32(slots, 4, "concurrent requests");
DEFINE_double(mean_ms, 10, "mean service time");
DEFINE_bool(exponential, true,
            "draw service times from an exponential distribution; else all are the mean");
DEFINE_double(cold_factor, 1,
              "initial factor on service times, which decreases to 1 as requests run");
DEFINE_int32(cold_requests, 50, "number of requests until the caches are warm");
DEFINE_uint64(seed, 1, "seed of the service times");
DEFINE_string(end_under, "", "crashes while it runs a request whose path contains this");
DEFINE_int32(end_after_ms, 20, "delay of the crash after the start of the request");

namespace {

using Model::Milliseconds;
using nlohmann::json;
namespace http = Http::http;

constexpr Milliseconds cancellationCheckInterval{20};

struct Faults
{
    bool isForeign_ = false;
    bool isTruncating_ = false;
    bool claimsIdle_ = false;
    bool isDraining_ = false;
    bool isUnresponsive_ = false;
    /// The rate limit that it names; none if empty.
    std::string limit_;
    /// The Retry-After with which it turns everything away; none if empty.
    std::string pause_;
    double slowness_ = 1;
    Milliseconds answerDelay_{0};
};

class SimulatedTarget
{
public:
    SimulatedTarget()
        : random_(FLAGS_seed)
        , incarnation_(std::chrono::system_clock::now().time_since_epoch().count())
    {
    }

    Http::Task<Http::Response> answer(Http::IncomingRequest request)
    {
        const std::string target(request.message_.target());
        if (target.starts_with("/standin/"))
            co_return control(target, request.message_.body());
        if (faults_.isUnresponsive_) {
            co_await Http::sleepFor(Milliseconds(600000));
        }
        if (!faults_.pause_.empty())
            co_return pausing(request.message_);
        Http::Response answer = StandIns::jsonAnswer(json::object());
        if (!target.starts_with("/cassiacrank/health")) {
            answer = co_await work(request);
        }
        setHeaders(request.message_, answer);
        co_return answer;
    }

private:
    Http::Task<Http::Response> work(const Http::IncomingRequest &request)
    {
        if (faults_.isDraining_)
            co_return refused("draining");
        if (inFlight_ >= FLAGS_slots)
            co_return refused("full");
        const std::string target(request.message_.target());
        const std::string token = StandIns::queryValue(target, "t").value_or("");
        ++executions_[token];
        ++started_;
        ++inFlight_;
        maxInFlight_ = std::max(maxInFlight_, inFlight_);
        if (!FLAGS_end_under.empty() && target.find(FLAGS_end_under) != std::string::npos) {
            co_await Http::sleepFor(Milliseconds(FLAGS_end_after_ms));
            _exit(EXIT_FAILURE);
        }
        const auto now = std::chrono::steady_clock::now();
        const std::string deadline(request.message_[Http::deadlineHeader.data()]);
        const Milliseconds left(deadline.empty() ? 600000 : std::stoll(deadline));
        const auto until = now + serviceTime();
        const bool isDone = co_await workUntil(until, now + left, request);
        --inFlight_;
        ++finished_;
        if (faults_.answerDelay_ > Milliseconds(0)) {
            co_await Http::sleepFor(faults_.answerDelay_);
        }
        if (!isDone)
            co_return deadlineAnswer();
        co_return doneAnswer(token, request.message_.body().size());
    }

    // Separate functions, because GCC 12 does not compile these initializer lists in a coroutine.
    static Http::Response deadlineAnswer()
    {
        return StandIns::jsonAnswer({{"error", "deadline"}}, http::status::gateway_timeout);
    }
    static Http::Response doneAnswer(const std::string &token, std::size_t bodyBytes)
    {
        return StandIns::jsonAnswer({{"token", token}, {"body", bodyBytes}});
    }

    /// Returns false if the deadline passed or the request was cancelled first.
    Http::Task<bool> workUntil(Model::SteadyTime until, Model::SteadyTime deadline,
                               const Http::IncomingRequest &request)
    {
        while (true) {
            const auto now = std::chrono::steady_clock::now();
            if (now >= until)
                co_return true;
            if (now >= deadline)
                co_return false;
            if (request.hasPeerClosed_()) {
                ++cancelled_;
                co_return false;
            }
            const Model::SteadyTime step = now + cancellationCheckInterval;
            const Model::SteadyTime next = std::min(std::min(until, deadline), step);
            co_await Http::sleepUntil(next);
        }
    }

    Model::Microseconds serviceTime()
    {
        double milliseconds = FLAGS_mean_ms * faults_.slowness_;
        if (FLAGS_exponential)
            milliseconds *= std::exponential_distribution<double>(1.0)(random_);
        if (started_ < FLAGS_cold_requests) {
            const double coldness = 1 - static_cast<double>(started_) / FLAGS_cold_requests;
            milliseconds *= 1 + (FLAGS_cold_factor - 1) * coldness;
        }
        return Model::Microseconds(static_cast<long long>(milliseconds * 1000));
    }

    Http::Response refused(const char *reason)
    {
        ++refused_;
        Http::Response answer
            = StandIns::jsonAnswer({{"error", reason}}, http::status::service_unavailable);
        answer.set(Http::notStartedHeader.data(), reason);
        return answer;
    }

    Http::Response pausing(const Http::Request &request)
    {
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        refusals_.push_back({{"id", std::string(request[Http::requestIdHeader.data()])},
                             {"at_ms", std::chrono::duration_cast<Milliseconds>(now).count()},
                             {"probe", request.target().starts_with("/cassiacrank/")}});
        Http::Response answer = refused("shed");
        answer.set(http::field::retry_after, faults_.pause_);
        setHeaders(request, answer);
        return answer;
    }

    void setHeaders(const Http::Request &request, Http::Response &answer)
    {
        std::string id(request[Http::requestIdHeader.data()]);
        const bool isHealth = request.target().starts_with("/cassiacrank/");
        // Sends the whole answer of the previous request: its id and its body.
        if (faults_.isForeign_ && !isHealth) {
            std::swap(id, lastId_);
            std::swap(answer.body(), lastBody_);
            answer.prepare_payload();
        }
        answer.set(Http::requestIdHeader.data(), id);
        answer.set(Http::loadHeader.data(), std::to_string(faults_.claimsIdle_ ? 0 : inFlight_));
        answer.set(Http::incarnationHeader.data(), std::to_string(incarnation_));
        if (faults_.isDraining_)
            answer.set(Http::drainingHeader.data(), "1");
        if (!faults_.limit_.empty())
            answer.set(Http::rateLimitHeader.data(), faults_.limit_);
        if (faults_.isTruncating_ && !isHealth)
            answer.set(http::field::content_length, std::to_string(answer.body().size() + 100));
    }

    Http::Response control(const std::string &target, const std::string &body)
    {
        if (target == "/standin/switch") {
            change(json::parse(body));
            return StandIns::jsonAnswer(json::object());
        }
        if (target == "/standin/refusals")
            return StandIns::jsonAnswer(refusals_);
        if (target == "/standin/executions")
            return StandIns::jsonAnswer(executions_);
        return StandIns::jsonAnswer({{"started", started_},
                                     {"finished", finished_},
                                     {"refused", refused_},
                                     {"cancelled", cancelled_},
                                     {"in_flight", inFlight_},
                                     {"most_in_flight", maxInFlight_}});
    }

    void change(const json &wanted)
    {
        faults_.isForeign_ = wanted.value("foreign", faults_.isForeign_);
        faults_.isTruncating_ = wanted.value("truncate", faults_.isTruncating_);
        faults_.claimsIdle_ = wanted.value("claim_idle", faults_.claimsIdle_);
        faults_.isDraining_ = wanted.value("drain", faults_.isDraining_);
        faults_.isUnresponsive_ = wanted.value("mute", faults_.isUnresponsive_);
        faults_.limit_ = wanted.value("limit", faults_.limit_);
        faults_.pause_ = wanted.value("pause", faults_.pause_);
        faults_.slowness_ = wanted.value("slowness", faults_.slowness_);
        faults_.answerDelay_ = Milliseconds(wanted.value("late_ms", faults_.answerDelay_.count()));
    }

    std::mt19937_64 random_;
    std::int64_t incarnation_;
    std::map<std::string, int> executions_;
    /// What it turned away while it paused.
    std::vector<json> refusals_;
    Faults faults_;
    std::string lastId_ = "none";
    std::string lastBody_;
    int started_ = 0;
    int finished_ = 0;
    int refused_ = 0;
    int cancelled_ = 0;
    int inFlight_ = 0;
    int maxInFlight_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("A stand-in for a target, for tests.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Http::asio::io_context context(1);
    SimulatedTarget simulatedTarget;
    return StandIns::serveUntilStopped(context, FLAGS_address, [&](Http::IncomingRequest request) {
        return simulatedTarget.answer(std::move(request));
    });
}
