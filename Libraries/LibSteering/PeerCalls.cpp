#include "PeerExchange.h"

#include <cstdio>

namespace Steering {

using Http::Task;
using Model::Milliseconds;
using Observe::Event;
namespace http = Http::http;

namespace {

/// A peer on the other side of a continent answers within this time, which is a few round trips.
constexpr Milliseconds askTimeout{500};
constexpr Milliseconds fetchTimeout{1500};
/// Delay after a failed request for rows until the next one.
constexpr Milliseconds fetchPause{150};
constexpr std::size_t connectionsToPeer = 2;
constexpr Milliseconds longestRest{5000};
constexpr const char *gossipPath = "/v1/gossip";
constexpr const char *announcePath = "/v1/announcement";
constexpr std::string_view knowledgePath = "/v1/knowledge";
constexpr const char *messageType = "application/msgpack";

std::string knowledgeTarget(const HeldPositions &held)
{
    return std::string(knowledgePath) + "/" + std::to_string(held.operators_.value()) + "/"
           + std::to_string(held.targets_.value());
}

/// Parses a request target that knowledgeTarget() has written.
std::optional<HeldPositions> positionsIn(const std::string &target)
{
    if (!target.starts_with(knowledgePath))
        return std::nullopt;
    unsigned long long operators = 0;
    unsigned long long targets = 0;
    if (std::sscanf(target.c_str() + knowledgePath.size(), "/%llu/%llu", &operators, &targets) != 2)
        return std::nullopt;
    return HeldPositions{Platform::Revision(operators), Platform::Revision(targets)};
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

Http::ExchangeOptions optionsTo(const Model::Address &address, Milliseconds patience)
{
    Http::ExchangeOptions options;
    options.address_ = address;
    options.connectTimeout_ = askTimeout;
    options.deadline_ = std::chrono::steady_clock::now() + patience;
    options.longestIdle_ = longestRest;
    options.connectionLimit_ = connectionsToPeer;
    return options;
}

} // namespace

Task<void> PeerExchange::askPeer(Model::Instance peer, bool isAnnouncement)
{
    const auto now = std::chrono::steady_clock::now();
    PeerMessage message{members_.at(settings_.instance_), {}, {}, crashesTold_()};
    if (!isAnnouncement) {
        message.loads_ = loadsTold_();
        message.news_.pulses_
            = Policy::pulsesToAskWith(members_, ownInstance(), peer.region_, now, random_());
    }
    const Model::Address &address = peer.addresses_.control_;
    const Http::ExchangeOptions options = optionsTo(dialled(address), askTimeout);
    const Http::Request request = requestTo(
        address, http::verb::post, isAnnouncement ? announcePath : gossipPath, toBytes(message));
    const auto result = co_await Http::exchange(pool_, options, request, Http::anyAnswer);
    countCall(isAnnouncement ? PeerCall::Announcement : PeerCall::Gossip, peer, request, result);
    if (isAnnouncement || !result.answer_ || result.answer_->result() != http::status::ok)
        co_return;
    const auto heardAt = std::chrono::steady_clock::now();
    const auto answered = peerMessageFromBytes(result.answer_->body(), heardAt);
    if (answered) {
        take(*answered, heardAt);
    } else {
        log_.line(Event::SnapshotRefused)
            .add("source", "peer")
            .add("reason", toText(Model::lastReason()));
    }
}

void PeerExchange::countCall(PeerCall call, const Model::Instance &peer,
                             const Http::Request &request, const Http::ExchangeResult &result)
{
    const std::size_t answered = result.answer_ ? result.answer_->body().size() : 0;
    countBytes(traffic_, call, reachOf(ownInstance(), peer), request.body().size() + answered);
}

Task<void> PeerExchange::fetchKnowledge()
{
    const Policy::Member *peer = betterInformed(std::chrono::steady_clock::now());
    if (!peer)
        co_return;
    const Model::Instance asked = peer->instance_;
    asked_.insert(asked.id_);
    askedAt_ = std::chrono::steady_clock::now();
    const Model::Address &address = asked.addresses_.control_;
    const Http::ExchangeOptions options = optionsTo(dialled(address), fetchTimeout);
    const Http::Request request
        = requestTo(address, http::verb::get, knowledgeTarget(knowledge_.held()), "");
    const auto result = co_await Http::exchange(pool_, options, request, Http::anyAnswer);
    asked_.erase(asked.id_);
    countCall(PeerCall::Knowledge, asked, request, result);
    const bool isOk = result.answer_ && result.answer_->result() == http::status::ok;
    if (!isOk) {
        fetchAgainAt_ = std::chrono::steady_clock::now() + fetchPause;
        co_return;
    }
    const auto &text = result.answer_->body();
    removalsHeard_(removalsFromPeer(text));
    if (knowledge_.takeFromPeer(text, asked.id_.value()) && changed_)
        changed_();
    behindSince_.reset();
}

Task<Http::Response> PeerExchange::answer(Http::IncomingRequest request)
{
    const std::string path(request.message_.target());
    if (path == gossipPath || path == announcePath)
        co_return answerGossip(request.message_);
    if (path.starts_with(knowledgePath))
        co_return answerKnowledge(request.message_);
    co_return Http::textAnswer(http::status::not_found, "text/plain", "",
                               request.message_.version());
}

Http::Response PeerExchange::answerGossip(const Http::Request &request)
{
    const auto now = std::chrono::steady_clock::now();
    const auto asked = peerMessageFromBytes(request.body(), now);
    if (!asked) {
        log_.line(Event::SnapshotRefused)
            .add("source", "peer")
            .add("reason", toText(Model::lastReason()));
        return Http::refusal(Model::lastReason(), request.version());
    }
    take(*asked, now);
    if (request.target() == announcePath)
        return Http::textAnswer(http::status::no_content, "text/plain", "", request.version());
    PeerMessage news{members_.at(settings_.instance_), {}, {}, crashesTold_()};
    news.loads_ = loadsTold_();
    news.news_ = Policy::newsFor(members_, ownInstance(), asked->sender_.instance_,
                                 asked->news_.pulses_, now, random_());
    return Http::textAnswer(http::status::ok, messageType, toBytes(news), request.version());
}

Http::Response PeerExchange::answerKnowledge(const Http::Request &request)
{
    const auto held = positionsIn(std::string(request.target()));
    if (!held)
        return Http::textAnswer(http::status::not_found, "text/plain", "", request.version());
    return Http::textAnswer(http::status::ok, messageType,
                            knowledge_.forPeer(*held, removalsTold_()), request.version());
}

} // namespace Steering
