#include "PeerExchange.h"

#include <cstdio>

namespace Steering {

using Http::Task;
using Model::Milliseconds;
using Observe::Event;
namespace http = Http::http;

namespace {

/// A peer on the other side of a continent answers within this time, which is a few round trips.
constexpr Milliseconds gossipTimeout{500};
/// For a peer to begin to send its rows, and for a pause while it sends them.
constexpr Milliseconds fetchTimeout{1500};
/// Delay after a failed request for rows until the next one.
constexpr Milliseconds fetchRetryDelay{150};
constexpr std::size_t maxConnectionsPerPeer = 2;
constexpr Milliseconds maxIdleTime{5000};
constexpr const char *gossipPath = "/v1/gossip";
constexpr const char *announcePath = "/v1/announcement";
constexpr std::string_view statePath = "/v1/knowledge";
/// Shorter bodies fit into a few packets.
constexpr std::size_t minCompressedBytes = 16 * 1024;
constexpr std::size_t maxStateBytes = 64 * 1024 * 1024;
constexpr const char *messageType = "application/msgpack";

std::string stateRequestTarget(const KnownRevisions &known)
{
    return std::string(statePath) + "/" + std::to_string(known.operators_.value()) + "/"
           + std::to_string(known.targets_.value());
}

/// Parses a request target that stateRequestTarget() has written.
std::optional<KnownRevisions> parseRevisions(const std::string &target)
{
    if (!target.starts_with(statePath))
        return std::nullopt;
    unsigned long long operators = 0;
    unsigned long long targets = 0;
    if (std::sscanf(target.c_str() + statePath.size(), "/%llu/%llu", &operators, &targets) != 2)
        return std::nullopt;
    return KnownRevisions{Platform::Revision(operators), Platform::Revision(targets)};
}

Http::Request requestTo(const Model::Address &address, http::verb method, const std::string &path,
                        std::string body)
{
    Http::Request request(method, path, 11);
    request.set(http::field::host, toText(address));
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

Http::ExchangeOptions optionsTo(const Model::Address &address, Milliseconds timeout)
{
    Http::ExchangeOptions options;
    options.address_ = address;
    options.connectTimeout_ = gossipTimeout;
    options.deadline_ = std::chrono::steady_clock::now() + timeout;
    options.maxIdle_ = maxIdleTime;
    options.connectionLimit_ = maxConnectionsPerPeer;
    return options;
}

Http::beast::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the body of an answer that accepted compression. Returns std::nullopt, with the last
/// reason set, if the compressed bytes are damaged.
std::optional<std::string> bodyOf(const Http::Response &answer)
{
    if (answer[http::field::content_encoding] != viewOf(Http::compressedCoding))
        return answer.body();
    return Http::decompressed(answer.body(), maxStateBytes);
}

} // namespace

Task<void> PeerExchange::gossipTo(Model::Instance peer, bool isAnnouncement)
{
    const auto now = std::chrono::steady_clock::now();
    PeerMessage message{members_.at(settings_.instance_), {}, {}, provideCrashes_()};
    if (!isAnnouncement) {
        message.loads_ = provideLoads_();
        message.removals_ = recentRemovals();
        message.limits_ = provideLimits_();
        if (peer.region_ == settings_.region_)
            message.demand_ = provideDemand_();
        message.update_.heartbeatRecords_ = Policy::heartbeatRecordsForRequest(
            members_, localInstance(), peer.region_, now, random_());
    }
    const Model::Address &address = peer.addresses_.control_;
    const Http::ExchangeOptions options = optionsTo(addressToDial(address), gossipTimeout);
    const Http::Request request = requestTo(
        address, http::verb::post, isAnnouncement ? announcePath : gossipPath, toBytes(message));
    const auto result = co_await Http::exchange(pool_, options, request, Http::acceptAnyAnswer);
    countCall(isAnnouncement ? PeerCall::Announcement : PeerCall::Gossip, peer, request, result);
    if (isAnnouncement || !result.answer_ || result.answer_->result() != http::status::ok)
        co_return;
    const auto heardAt = std::chrono::steady_clock::now();
    const auto answered = peerMessageFromBytes(result.answer_->body(), heardAt);
    if (answered) {
        recordMessage(*answered, heardAt);
    } else {
        log_.line(Event::SnapshotRefused)
            .add("source", "peer")
            .add("reason", toText(Model::lastReason()));
    }
}

/// Returns the ages of removals that an instance with a hanging store call may still have to learn.
///
/// Such an instance reads the removals from the store again, without their ages. If its grace
/// period started then, the targets would get requests for longer than the bound on a leave.
RemovalAges PeerExchange::recentRemovals() const
{
    RemovalAges ages = provideRemovals_();
    std::erase_if(ages, [](const auto &entry) {
        return entry.second > Policy::leaveBound;
    });
    return ages;
}

void PeerExchange::countCall(PeerCall call, const Model::Instance &peer,
                             const Http::Request &request, const Http::ExchangeResult &result)
{
    const std::size_t answered = result.answer_ ? result.answer_->body().size() : 0;
    countBytes(traffic_, call, scopeOf(localInstance(), peer), request.body().size() + answered);
}

Task<Http::ExchangeResult> PeerExchange::call(Model::Instance peer, std::string path,
                                              std::string body, Milliseconds timeout,
                                              Http::ConnectionPool &pool)
{
    const Model::Address &address = peer.addresses_.control_;
    const Http::ExchangeOptions options = optionsTo(addressToDial(address), timeout);
    const Http::Request request = requestTo(address, http::verb::post, path, std::move(body));
    auto result = co_await Http::exchange(pool, options, request, Http::acceptAnyAnswer);
    countCall(PeerCall::Quota, peer, request, result);
    co_return result;
}

Task<void> PeerExchange::fetchState()
{
    const Policy::Member *peer = peerWithNewerRows(std::chrono::steady_clock::now());
    if (!peer)
        co_return;
    const Model::Instance chosen = peer->instance_;
    Http::ExchangeControl control;
    pendingFetches_.emplace(chosen.id_, &control);
    const auto requestedAt = std::chrono::steady_clock::now();
    lastFetchAt_ = requestedAt;
    const Model::Address &address = chosen.addresses_.control_;
    Http::ExchangeOptions options = optionsTo(addressToDial(address), fetchTimeout);
    options.maxSilence_ = fetchTimeout;
    options.control_ = &control;
    Http::Request request = requestTo(address, http::verb::get,
                                      stateRequestTarget(platformState_.knownRevisions()), "");
    request.set(http::field::accept_encoding, viewOf(Http::compressedCoding));
    const auto result = co_await Http::exchange(pool_, options, request, Http::acceptAnyAnswer);
    pendingFetches_.erase(chosen.id_);
    countCall(PeerCall::PlatformState, chosen, request, result);
    const bool isOk = result.answer_ && result.answer_->result() == http::status::ok;
    if (!isOk) {
        const auto now = std::chrono::steady_clock::now();
        log_.line(Event::RowFetchFailed)
            .add("peer", chosen.id_.value())
            .add("reason", Model::describe(result.code_))
            .add("received", static_cast<std::int64_t>(result.receivedBytes_))
            .add("took_ms", std::chrono::duration_cast<Model::Microseconds>(now - requestedAt))
            .add("pending", static_cast<std::int64_t>(pendingFetches_.size()));
        nextFetchAt_ = now + fetchRetryDelay;
        co_return;
    }
    const auto text = bodyOf(*result.answer_);
    if (!text) {
        log_.line(Event::SnapshotRefused)
            .add("source", chosen.id_.value())
            .add("reason", toText(Model::lastReason()));
        nextFetchAt_ = std::chrono::steady_clock::now() + fetchRetryDelay;
        co_return;
    }
    receiveRemovals_(parseRemovalAges(*text));
    if (platformState_.applyFromPeer(*text, chosen.id_.value()) && changed_)
        changed_();
    behindSince_.reset();
}

Task<Http::Response> PeerExchange::answer(Http::IncomingRequest request)
{
    const std::string path(request.message_.target());
    if (path == gossipPath || path == announcePath)
        co_return answerGossip(request.message_);
    if (path.starts_with(statePath))
        co_return answerStateRequest(request.message_);
    if (answerForwarded_ && path == forwardingPath_) {
        co_return co_await answerForwarded_(std::move(request));
    }
    const auto handler = requestHandlers_.find(path);
    if (handler != requestHandlers_.end())
        co_return handler->second(request.message_);
    co_return Http::textAnswer(http::status::not_found, "text/plain", "",
                               request.message_.version());
}

Http::Response PeerExchange::answerGossip(const Http::Request &request)
{
    const auto now = std::chrono::steady_clock::now();
    const auto received = peerMessageFromBytes(request.body(), now);
    if (!received) {
        log_.line(Event::SnapshotRefused)
            .add("source", "peer")
            .add("reason", toText(Model::lastReason()));
        return Http::refusal(Model::lastReason(), request.version());
    }
    recordMessage(*received, now);
    if (request.target() == announcePath)
        return Http::textAnswer(http::status::no_content, "text/plain", "", request.version());
    PeerMessage update{members_.at(settings_.instance_), {}, {}, provideCrashes_()};
    update.loads_ = provideLoads_();
    update.removals_ = recentRemovals();
    update.limits_ = provideLimits_();
    if (received->sender_.instance_.region_ == settings_.region_)
        update.demand_ = provideDemand_();
    update.update_ = Policy::peerUpdateFor(members_, localInstance(), received->sender_.instance_,
                                           received->update_.heartbeatRecords_, now, random_());
    return Http::textAnswer(http::status::ok, messageType, toBytes(update), request.version());
}

Http::Response PeerExchange::answerStateRequest(const Http::Request &request)
{
    const auto known = parseRevisions(std::string(request.target()));
    if (!known)
        return Http::textAnswer(http::status::not_found, "text/plain", "", request.version());
    std::string body = platformState_.encodeForPeer(*known, provideRemovals_());
    const bool isCompressed
        = body.size() >= minCompressedBytes
          && request[http::field::accept_encoding] == viewOf(Http::compressedCoding);
    if (isCompressed)
        body = Http::compressed(body);
    auto response
        = Http::textAnswer(http::status::ok, messageType, std::move(body), request.version());
    if (isCompressed)
        response.set(http::field::content_encoding, viewOf(Http::compressedCoding));
    return response;
}

} // namespace Steering
