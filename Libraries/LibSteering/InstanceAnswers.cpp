#include "InstanceParts.h"

#include <algorithm>

namespace Steering {

using Http::Task;
using Model::Milliseconds;
using Model::SteadyTime;
using Observe::Event;
namespace http = Http::http;

namespace {

/// How long callers may cache a look-up's answer.
constexpr Milliseconds lookupTtl{1500};
/// A newly started instance lists no entries for this long unless it has contacted its peers.
constexpr Milliseconds peerContactTimeout{1500};
constexpr std::size_t maxEntriesListed = 64;

constexpr std::string_view quarantinesPath = "/quarantines";

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

Task<Http::Response> Instance::answerLookup(Http::IncomingRequest request)
{
    const unsigned version = request.message_.version();
    const auto query = port_.parseLookup_(request.message_);
    if (!query)
        co_return Http::refusal(Model::lastReason(), version);
    const auto now = steadyNow();
    const bool hasPeerView
        = parts_->peers_.hasContactedPeers() || now - startedAt_ > peerContactTimeout;
    std::vector<Policy::EntryCandidate> candidates;
    for (const auto &[id, member] : parts_->peers_.members()) {
        candidates.push_back({member.instance_, member.heartbeatRecord_.isReady_
                                                    && Policy::isAlive(member, now)
                                                    && hasPeerView});
        candidates.back().instance_.isLeaving_ = member.heartbeatRecord_.isLeaving_;
    }
    auto entries = Policy::entriesOfRegion(*query, candidates);
    if (entries.empty())
        co_return Http::refusal({Model::ResultCode::NotReady, ""}, version);
    entries = entriesToList(std::move(entries), now);
    if (entries.size() > maxEntriesListed)
        entries.resize(maxEntriesListed);
    co_return port_.lookupAnswer_(entries, std::min(lookupTtl, port_.terms_.maxLookupTtl_));
}

/// Returns the entries that an answer lists among \a entries, by their sizes where the table has
/// routes with large answers.
std::vector<Model::Instance> Instance::entriesToList(std::vector<Model::Instance> entries,
                                                     SteadyTime now)
{
    const auto &table = parts_->platformState_.table();
    if (!table || !table->routes().hasLargeAnswers())
        return entries;
    std::vector<Policy::SizedEntry> sized;
    std::vector<double> draws;
    std::uniform_real_distribution<double> draw(0, 1);
    for (const auto &entry : entries) {
        const auto &use = parts_->peers_.members().at(entry.id_).heartbeatRecord_.usePercent_;
        constexpr double percent = 100;
        sized.push_back({entry.size_, use ? std::optional<double>(*use / percent) : std::nullopt});
        draws.push_back(draw(random_));
    }
    const auto isWide = Policy::wideEntries(sized);
    Policy::updateNarrowWeight(narrowWeight_, sized, isWide, now);
    noteListed(static_cast<std::size_t>(std::count(isWide.begin(), isWide.end(), true)),
               entries.size());
    std::vector<Model::Instance> listed;
    for (const std::size_t i : Policy::entriesToList(isWide, narrowWeight_, draws))
        listed.push_back(entries[i]);
    listedEntries_ = listed.size();
    return listed;
}

void Instance::noteListed(std::size_t wide, std::size_t candidates)
{
    if (listedWide_ == wide)
        return;
    listedWide_ = wide;
    log_.line(Event::LookupListChanged)
        .add("wide", static_cast<std::int64_t>(wide))
        .add("entries", static_cast<std::int64_t>(candidates))
        .add("narrow_percent", static_cast<std::int64_t>(narrowWeight_.weight_ * 100));
}

Task<Http::Response> Instance::answerReady(Http::IncomingRequest request)
{
    const unsigned version = request.message_.version();
    if (!port_.isReadinessProbe_(request.message_)) {
        co_return Http::textAnswer(http::status::not_found, "text/plain", "", version);
    }
    const auto status = isReady_ ? http::status::ok : http::status::service_unavailable;
    co_return Http::textAnswer(status, "text/plain", isReady_ ? "ready\n" : "not ready\n", version);
}

Task<Http::Response> Instance::answerAdmin(Http::IncomingRequest request)
{
    const unsigned version = request.message_.version();
    if (request.message_.target().starts_with(
            Http::beast::string_view(quarantinesPath.data(), quarantinesPath.size())))
        co_return answerQuarantines(request.message_);
    if (request.message_.target() != "/metrics") {
        co_return Http::textAnswer(http::status::not_found, "text/plain",
                                   "known here: /metrics /quarantines\n", version);
    }
    co_return Http::textAnswer(http::status::ok, "text/plain; version=0.0.4", metricsText(),
                               version);
}

/// GET lists the quarantines; DELETE of /quarantines/FINGERPRINT releases one here and, by gossip,
/// on all instances.
Http::Response Instance::answerQuarantines(const Http::Request &request)
{
    const auto now = steadyNow();
    const std::string target(request.target());
    if (target == quarantinesPath && request.method() == http::verb::get) {
        return Http::textAnswer(http::status::ok, "application/json", parts_->guard_.listText(now),
                                request.version());
    }
    if (request.method() != http::verb::delete_ || target.size() <= quarantinesPath.size())
        return Http::refusal({Model::ResultCode::MalformedRequest, ""}, request.version());
    const auto fingerprint
        = Policy::fingerprintFromText(std::string_view(target).substr(quarantinesPath.size() + 1));
    if (!fingerprint || !parts_->guard_.lift(*fingerprint, now))
        return Http::refusal(Model::lastReason(), request.version());
    return Http::textAnswer(http::status::ok, "application/json", parts_->guard_.listText(now),
                            request.version());
}

} // namespace Steering
