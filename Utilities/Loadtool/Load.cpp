#include "Load.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Loadtool {

using Http::Task;
using Model::Milliseconds;

namespace {

constexpr Milliseconds lookupTimeout{500};
constexpr Milliseconds retryDelay{50};
/// Upper bound of the exponential delay between rounds over unreachable entries.
constexpr Milliseconds maxRoundDelay{800};
constexpr std::size_t maxConnections = 4096;

Model::SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Model::Microseconds microseconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration_cast<Model::Microseconds>(duration);
}

std::string headerOf(const Http::Response &answer, std::string_view name)
{
    return std::string(answer[Http::beast::string_view(name.data(), name.size())]);
}

Outcome outcomeOf(const Http::Response &answer)
{
    const std::string outcome = headerOf(answer, Http::outcomeHeader);
    if (outcome == "run")
        return Outcome::Run;
    return outcome == "not-run" ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace

/// A caller with its own connection pool and cached entries.
struct Load::Caller
{
    explicit Caller(Http::asio::io_context &context)
        : pool_(context)
    {
    }

    std::string name_;
    Http::ConnectionPool pool_;
    std::vector<Model::Address> entries_;
    Model::SteadyTime entriesExpireAt_;
};

Load::Load(LoadOptions options)
    : options_(std::move(options))
    , random_(options_.seed_)
{
}

std::vector<Sample> Load::run(const std::function<void(const std::vector<Sample> &)> &progress)
{
    startedAt_ = steadyNow();
    inProgress_ = options_.streams_.size();
    for (std::size_t i = 0; i < options_.streams_.size(); ++i)
        Http::asio::co_spawn(context_, runStream(i), Http::asio::detached);
    Http::asio::co_spawn(context_, reportProgress(progress), Http::asio::detached);
    context_.run();
    return std::move(samples_);
}

Task<void> Load::reportProgress(std::function<void(const std::vector<Sample> &)> progress)
{
    while (inProgress_ > 0) {
        co_await Http::sleepFor(Milliseconds(1000));
        if (progress)
            progress(samples_);
    }
}

Task<void> Load::runStream(std::size_t stream)
{
    const Stream &what = options_.streams_[stream];
    std::vector<std::shared_ptr<Caller>> callers;
    for (int i = 0; i < what.callers_; ++i) {
        callers.push_back(std::make_shared<Caller>(context_));
        callers.back()->name_ = what.callerPrefix_ + std::to_string(i + 1);
    }
    std::exponential_distribution<double> gap(std::max(0.001, what.rate_.value()));
    std::mt19937_64 random(options_.seed_ * 7919 + stream);
    const Model::SteadyTime end = startedAt_ + std::min(what.until_, options_.duration_);
    Model::SteadyTime planned = startedAt_ + what.from_;
    while (true) {
        planned += Model::Microseconds(static_cast<long long>(gap(random) * 1e6));
        if (planned >= end)
            break;
        co_await Http::sleepUntil(planned);
        const auto &caller = callers[random() % callers.size()];
        ++inProgress_;
        Http::asio::co_spawn(context_, runRequest(stream, caller, planned), Http::asio::detached);
    }
    --inProgress_;
}

Task<void> Load::runRequest(std::size_t stream, std::shared_ptr<Caller> caller,
                            Model::SteadyTime planned)
{
    const Stream &what = options_.streams_[stream];
    Sample sample;
    sample.stream_ = stream;
    sample.token_ = std::to_string(options_.seed_) + "-" + std::to_string(++lastToken_);
    sample.sentAt_ = microseconds(planned - startedAt_);
    sample.sendDelay_ = microseconds(steadyNow() - planned);
    const Model::SteadyTime deadline = planned + what.timeout_ + Milliseconds(500);
    co_await sendThroughEntries(what, *caller, sample, deadline);
    sample.latency_ = microseconds(steadyNow() - planned);
    samples_.push_back(std::move(sample));
    --inProgress_;
}

Task<void> Load::sendThroughEntries(const Stream &stream, Caller &caller, Sample &sample,
                                    Model::SteadyTime deadline)
{
    int retriesLeft = stream.maxRetries_;
    Milliseconds roundDelay = retryDelay;
    std::size_t position = 0;
    while (steadyNow() < deadline) {
        if (steadyNow() >= caller.entriesExpireAt_) {
            co_await refreshEntries(stream, caller);
        }
        if (caller.entries_.empty()) {
            co_await Http::sleepFor(retryDelay);
            continue;
        }
        const Model::Address entry = caller.entries_[position % caller.entries_.size()];
        ++position;
        const bool wasSent = co_await sendOnce(stream, caller, sample, entry, deadline);
        // An unreachable entry only leads to an attempt at the next one; it uses up no retry.
        if (!wasSent) {
            if (position % caller.entries_.size() == 0) {
                caller.entriesExpireAt_ = steadyNow();
                // Without this delay, callers of a failed region consume the load tool's processor
                // time, and the callers of other regions measure too high latencies.
                co_await Http::sleepFor(roundDelay);
                roundDelay = std::min(2 * roundDelay, maxRoundDelay);
            }
            continue;
        }
        const bool isUnresolved
            = sample.outcome_ == Outcome::Unknown || sample.outcome_ == Outcome::NoAnswer;
        const bool mayRetry = stream.hasKey_ || !stream.isPost_;
        if (!isUnresolved || !mayRetry || retriesLeft == 0)
            co_return;
        --retriesLeft;
        co_await Http::sleepFor(retryDelay);
    }
}

Task<void> Load::refreshEntries(const Stream &stream, Caller &caller)
{
    if (!options_.direct_.empty()) {
        caller.entries_ = options_.direct_;
        std::shuffle(caller.entries_.begin(), caller.entries_.end(), random_);
        caller.entriesExpireAt_ = steadyNow();
        co_return;
    }
    const std::size_t first = random_() % options_.lookups_.size();
    for (std::size_t i = 0; i < options_.lookups_.size(); ++i) {
        Http::ExchangeOptions exchange;
        exchange.address_ = options_.lookups_[(first + i) % options_.lookups_.size()];
        exchange.deadline_ = steadyNow() + lookupTimeout;
        exchange.connectTimeout_ = lookupTimeout;
        exchange.sourceHost_ = stream.source_;
        std::string target
            = "/v1/entry?service=" + stream.service_.value() + "&caller=" + caller.name_;
        if (!stream.origin_.isEmpty())
            target += "&origin=" + stream.origin_.value();
        Http::Request request(Http::http::verb::get, target, 11);
        request.set(Http::http::field::host, Model::toText(exchange.address_));
        const auto result
            = co_await Http::exchange(caller.pool_, exchange, request, Http::acceptAnyAnswer);
        if (!result.answer_ || result.answer_->result() != Http::http::status::ok)
            continue;
        const auto answer = nlohmann::json::parse(result.answer_->body(), nullptr, false);
        std::vector<Model::Address> entries;
        for (const auto &entry : answer.value("entries", nlohmann::json::array())) {
            if (const auto address = Model::addressFromText(entry.value("address", "")))
                entries.push_back(*address);
        }
        if (entries.empty())
            continue;
        caller.entries_ = std::move(entries);
        caller.entriesExpireAt_ = steadyNow() + Milliseconds(answer.value("ttl_ms", 1000));
        co_return;
    }
}

Http::Request Load::makeRequest(const Stream &stream, const Caller &caller,
                                const Sample &sample) const
{
    Http::Request request(stream.isPost_ ? Http::http::verb::post : Http::http::verb::get,
                          "/" + stream.service_.value() + "/item?t=" + sample.token_, 11);
    request.set(Http::http::field::host, "cassiacrank");
    request.set(Http::callerNameHeader.data(), caller.name_);
    request.set(Http::callerDeadlineHeader.data(), std::to_string(stream.timeout_.count()));
    // In direct mode, the load tool sets the request id that an entry sets otherwise.
    if (!options_.direct_.empty())
        request.set(Http::requestIdHeader.data(), sample.token_);
    if (stream.hasKey_)
        request.set(Http::idempotencyKeyHeader.data(), sample.token_);
    if (stream.hasKey_)
        request.set(Http::attemptHeader.data(), std::to_string(sample.sends_ + 1));
    request.body() = std::string(stream.bodyBytes_, 'x');
    request.prepare_payload();
    return request;
}

Task<bool> Load::sendOnce(const Stream &stream, Caller &caller, Sample &sample,
                          Model::Address entry, Model::SteadyTime deadline)
{
    Http::ExchangeOptions exchange;
    exchange.address_ = entry;
    exchange.deadline_ = deadline;
    exchange.connectionLimit_ = maxConnections;
    exchange.sourceHost_ = stream.source_;
    if (stream.delay_ > Milliseconds(0)) {
        co_await Http::sleepFor(stream.delay_);
    }
    const Http::Request request = makeRequest(stream, caller, sample);
    const auto result
        = co_await Http::exchange(caller.pool_, exchange, request, Http::acceptAnyAnswer);
    if (result.stage_ == Http::ExchangeStage::NotConnected)
        co_return false;
    if (stream.delay_ > Milliseconds(0)) {
        co_await Http::sleepFor(stream.delay_);
    }

    ++sample.sends_;
    sample.outcome_ = Outcome::NoAnswer;
    sample.entry_ = Model::toText(entry);
    if (!result.answer_)
        co_return true;
    sample.outcome_ = options_.direct_.empty() ? outcomeOf(*result.answer_) : Outcome::Run;
    const std::string code = headerOf(*result.answer_, Http::codeHeader);
    sample.code_ = code.empty() ? 0 : std::atoi(code.c_str());
    sample.target_ = headerOf(*result.answer_, Http::targetHeader);
    if (sample.outcome_ != Outcome::Run)
        co_return true;
    const auto body = nlohmann::json::parse(result.answer_->body(), nullptr, false);
    const bool hasOwnToken = body.is_object() && body.value("token", "") == sample.token_;
    // A target that stops at the deadline answers without the token; this is still a valid answer.
    const bool isDeadlineAnswer = result.answer_->result() == Http::http::status::gateway_timeout;
    sample.isWrong_ = !hasOwnToken && !isDeadlineAnswer;
    co_return true;
}

} // namespace Loadtool
