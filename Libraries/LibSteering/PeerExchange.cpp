#include "PeerExchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Steering {

using Http::Task;
using Model::Milliseconds;
using Model::SteadyTime;
using nlohmann::json;
using Observe::Event;
namespace http = Http::http;

namespace {

constexpr Milliseconds roundPeriod{400};
constexpr std::size_t peersInRound = 2;
/// A peer on the other side of a continent answers within a few round trips.
constexpr Milliseconds askTimeout{500};
constexpr Milliseconds fetchTimeout{1500};
/// Members named in one message, so that its size does not grow with the fleet.
constexpr std::size_t mostMembersNamed = 64;
constexpr std::size_t connectionsToPeer = 2;
constexpr Milliseconds longestRest{5000};
constexpr const char *gossipPath = "/v1/gossip";
constexpr const char *knowledgePath = "/v1/knowledge";

json toJson(const Policy::Member &member)
{
    const auto &instance = member.instance_;
    return {{"id", instance.id_.value()},
            {"run", member.incarnation_.value()},
            {"beat", member.heartbeat_},
            {"region", instance.region_.value()},
            {"domain", instance.domain_.value()},
            {"entry", toText(instance.addresses_.entry_)},
            {"control", toText(instance.addresses_.control_)},
            {"ready", member.isReady_},
            {"leaving", instance.isLeaving_},
            {"operators", member.operatorsSeen_},
            {"targets", member.targetsSeen_}};
}

/// Throws json::exception for anything that toJson() did not write.
std::optional<Policy::Member> memberFromJson(const json &text)
{
    Policy::Member member;
    auto &instance = member.instance_;
    instance.id_ = Model::InstanceId(text.at("id").get<std::string>());
    instance.region_ = Model::RegionId(text.at("region").get<std::string>());
    instance.domain_ = Model::FailureDomainId(text.at("domain").get<std::string>());
    instance.isLeaving_ = text.at("leaving").get<bool>();
    const auto entry = Model::addressFromText(text.at("entry").get<std::string>());
    const auto control = Model::addressFromText(text.at("control").get<std::string>());
    if (!entry || !control)
        return std::nullopt;
    instance.addresses_.entry_ = *entry;
    instance.addresses_.control_ = *control;
    member.incarnation_ = Model::Incarnation(text.at("run").get<std::uint64_t>());
    member.heartbeat_ = text.at("beat").get<std::uint64_t>();
    member.isReady_ = text.at("ready").get<bool>();
    member.operatorsSeen_ = text.at("operators").get<std::uint64_t>();
    member.targetsSeen_ = text.at("targets").get<std::uint64_t>();
    return member;
}

Http::Request requestTo(const Model::Address &address, http::verb method, const char *path,
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

Http::ServerLimits peerLimits()
{
    Http::ServerLimits limits;
    limits.bodyBytes_ = 4 * 1024 * 1024;
    return limits;
}

} // namespace

PeerExchange::PeerExchange(Http::asio::io_context &context, const PlatformPort &port,
                           const Observe::Settings &settings, Knowledge &knowledge,
                           Observe::DecisionLog &log)
    : context_(context)
    , port_(port)
    , settings_(settings)
    , knowledge_(knowledge)
    , log_(log)
    , server_(context, peerLimits(),
              [this](Http::IncomingRequest request) {
                  return answer(std::move(request));
              })
    , pool_(context)
    , incarnation_(
          static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
{
    refreshOwn();
}

bool PeerExchange::start()
{
    if (!server_.listen(settings_.addresses_.control_))
        return false;
    Http::asio::co_spawn(context_, roundLoop(), Http::asio::detached);
    return true;
}

void PeerExchange::setLeaving()
{
    isLeaving_ = true;
    isReady_ = false;
    refreshOwn();
}

void PeerExchange::refreshOwn()
{
    Policy::Member &own = members_[settings_.instance_];
    own.instance_.id_ = settings_.instance_;
    own.instance_.region_ = settings_.region_;
    own.instance_.domain_ = settings_.domain_;
    own.instance_.addresses_.entry_ = settings_.addresses_.entry_;
    own.instance_.addresses_.control_ = settings_.addresses_.control_;
    own.instance_.isLeaving_ = isLeaving_;
    own.incarnation_ = incarnation_;
    ++own.heartbeat_;
    own.isReady_ = isReady_;
    own.operatorsSeen_ = knowledge_.mirror(StoreTable::Operators).position_.value();
    own.targetsSeen_ = knowledge_.mirror(StoreTable::Targets).position_.value();
    own.heardAt_ = std::chrono::steady_clock::now();
    own.isHearsay_ = false;
}

std::string PeerExchange::ownRecord() const
{
    return toJson(members_.at(settings_.instance_)).dump();
}

void PeerExchange::addRecord(const std::string &record)
{
    const json text = json::parse(record, nullptr, false);
    if (!text.is_object())
        return;
    try {
        auto member = memberFromJson(text);
        if (!member || member->instance_.id_ == settings_.instance_)
            return;
        // The store does not say whether it still runs.
        member->isHearsay_ = true;
        member->isReady_ = false;
        if (!members_.contains(member->instance_.id_))
            Policy::hearOf(members_, *member, std::chrono::steady_clock::now());
    } catch (const json::exception &error) {
        log_.line(Event::SnapshotRefused).add("source", "store").add("reason", error.what());
    }
}

void PeerExchange::forgetAges()
{
    for (auto &[id, member] : members_) {
        if (id != settings_.instance_)
            member.isHearsay_ = true;
    }
}

Task<void> PeerExchange::roundLoop()
{
    while (true) {
        refreshOwn();
        for (const auto &address : choosePeers())
            Http::asio::co_spawn(context_, askPeer(address), Http::asio::detached);
        const auto now = std::chrono::steady_clock::now();
        Policy::forgetSilent(members_, settings_.instance_, now);
        noteChanges(now);
        if (!isStoreReached_ && !isFetching_ && betterInformed(now))
            Http::asio::co_spawn(context_, fetchKnowledge(), Http::asio::detached);
        co_await Http::sleepFor(roundPeriod);
        ++rounds_;
    }
}

std::vector<Model::Address> PeerExchange::choosePeers()
{
    std::vector<Model::Address> known;
    for (const auto &[id, member] : members_) {
        if (id != settings_.instance_)
            known.push_back(member.instance_.addresses_.control_);
    }
    // Seeds may be stale; they are asked while hardly anyone is known.
    if (known.size() < peersInRound) {
        for (const auto &seed : settings_.seeds_) {
            if (seed != settings_.addresses_.control_)
                known.push_back(seed);
        }
    }
    std::vector<Model::Address> chosen;
    std::sample(known.begin(), known.end(), std::back_inserter(chosen), peersInRound, random_);
    return chosen;
}

std::string PeerExchange::messageText()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<const Policy::Member *> named;
    for (const auto &[id, member] : members_) {
        if (Policy::isAlive(member, now))
            named.push_back(&member);
    }
    if (named.size() > mostMembersNamed) {
        std::shuffle(named.begin(), named.end(), random_);
        named.resize(mostMembersNamed - 1);
        named.push_back(&members_.at(settings_.instance_));
    }
    json list = json::array();
    for (const auto *member : named)
        list.push_back(toJson(*member));
    return json{{"members", list}}.dump();
}

void PeerExchange::take(const std::string &text)
{
    const json message = json::parse(text, nullptr, false);
    if (!message.is_object()) {
        log_.line(Event::SnapshotRefused).add("source", "peer").add("reason", "not a JSON object");
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    try {
        for (const auto &item : message.at("members")) {
            const auto member = memberFromJson(item);
            if (member && member->instance_.id_ != settings_.instance_)
                Policy::hearOf(members_, *member, now);
        }
    } catch (const json::exception &error) {
        log_.line(Event::SnapshotRefused).add("source", "peer").add("reason", error.what());
    }
}

void PeerExchange::noteChanges(SteadyTime now)
{
    for (const auto &[id, member] : members_) {
        const bool isAlive = Policy::isAlive(member, now);
        const auto [known, isNew] = knownAlive_.emplace(id, false);
        if (known->second == isAlive)
            continue;
        known->second = isAlive;
        log_.line(isAlive ? Event::PeerBack : Event::PeerLost)
            .add("instance", id.value())
            .add("region", member.instance_.region_.value())
            .add("silent_ms",
                 std::chrono::duration_cast<Model::Microseconds>(now - member.heardAt_));
    }
    std::erase_if(knownAlive_, [&](const auto &entry) {
        return !members_.contains(entry.first);
    });
}

Task<void> PeerExchange::askPeer(Model::Address address)
{
    const Http::ExchangeOptions options = optionsTo(address, askTimeout);
    const Http::Request request = requestTo(address, http::verb::post, gossipPath, messageText());
    const auto result = co_await Http::exchange(pool_, options, request, Http::anyAnswer);
    if (result.answer_ && result.answer_->result() == http::status::ok)
        take(result.answer_->body());
}

const Policy::Member *PeerExchange::betterInformed(SteadyTime now) const
{
    const auto operators = knowledge_.mirror(StoreTable::Operators).position_.value();
    const auto targets = knowledge_.mirror(StoreTable::Targets).position_.value();
    const Policy::Member *best = nullptr;
    for (const auto &[id, member] : members_) {
        const bool knowsMore = member.operatorsSeen_ > operators || member.targetsSeen_ > targets;
        if (id == settings_.instance_ || !Policy::isAlive(member, now) || !knowsMore)
            continue;
        if (!best || member.targetsSeen_ > best->targetsSeen_)
            best = &member;
    }
    return best;
}

Task<void> PeerExchange::fetchKnowledge()
{
    const Policy::Member *peer = betterInformed(std::chrono::steady_clock::now());
    if (!peer)
        co_return;
    isFetching_ = true;
    const std::string name = peer->instance_.id_.value();
    const Model::Address address = peer->instance_.addresses_.control_;
    const Http::ExchangeOptions options = optionsTo(address, fetchTimeout);
    const Http::Request request = requestTo(address, http::verb::get, knowledgePath, "");
    const auto result = co_await Http::exchange(pool_, options, request, Http::anyAnswer);
    isFetching_ = false;
    const bool isOk = result.answer_ && result.answer_->result() == http::status::ok;
    if (isOk && knowledge_.takeFromPeer(result.answer_->body(), name) && changed_)
        changed_();
}

Task<Http::Response> PeerExchange::answer(Http::IncomingRequest request)
{
    const std::string path(request.message_.target());
    const unsigned version = request.message_.version();
    if (path == gossipPath) {
        take(request.message_.body());
        co_return Http::textAnswer(http::status::ok, "application/json", messageText(), version);
    }
    if (path == knowledgePath) {
        co_return Http::textAnswer(http::status::ok, "application/json", knowledge_.forPeer(),
                                   version);
    }
    co_return Http::textAnswer(http::status::not_found, "text/plain", "", version);
}

} // namespace Steering
