#include "RequestForwarder.h"

#include <charconv>

namespace Steering {

using Http::Task;
using Model::Microseconds;
using Model::Milliseconds;
using Model::ResultCode;
using Model::SteadyTime;
using Observe::Event;
using Policy::Outcome;
namespace http = Http::http;

namespace {

/// Header fields between two instances; a caller's fields with these names are overwritten.
constexpr const char *methodField = "Cassiacrank-Method";
constexpr const char *targetField = "Cassiacrank-Request-Target";
constexpr const char *serviceField = "Cassiacrank-Service";
constexpr const char *attemptsField = "Cassiacrank-Attempts";
constexpr const char *callerField = "Cassiacrank-Caller-Host";
constexpr const char *outcomeField = "Cassiacrank-Forwarding-Outcome";
constexpr const char *codeField = "Cassiacrank-Forwarding-Code";
constexpr const char *leavingTargetField = "Cassiacrank-Leaving-Target";

constexpr std::size_t maxConnectionsPerPeer = 64;
/// Below the servers' idle limit.
constexpr Milliseconds maxIdleTime{5000};
/// How long after the deadline a target's own timeout response may still arrive.
constexpr Milliseconds deadlineSlack{200};

Http::beast::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string textOf(Http::beast::string_view text)
{
    return {text.data(), text.size()};
}

int numberIn(Http::beast::string_view text)
{
    int value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::optional<Outcome> outcomeIn(Http::beast::string_view text)
{
    for (const auto outcome : {Outcome::Run, Outcome::NotRun, Outcome::Unknown}) {
        if (text == viewOf(toText(outcome)))
            return outcome;
    }
    return std::nullopt;
}

} // namespace

RequestForwarder::RequestForwarder(Http::asio::io_context &context, const PlatformPort &port,
                                   const PlacementEngine &placementEngine,
                                   const PeerExchange &peers, Observe::DecisionLog &log)
    : port_(port)
    , placementEngine_(placementEngine)
    , peers_(peers)
    , log_(log)
    , pool_(context)
{
}

std::optional<Model::Instance> RequestForwarder::choosePeer(const RequestContext &request,
                                                            SteadyTime now)
{
    if (request.incoming_->message_.body().size() > PeerExchange::maxRequestBytes)
        return std::nullopt;
    const auto &own = peers_.localInstance();
    std::vector<Policy::ForwardingPeer> peers;
    for (const auto &[id, member] : peers_.members()) {
        const auto &record = member.heartbeatRecord_;
        if (id == own.id_ || !record.isReady_ || record.isLeaving_ || record.isPartitioned_
            || !Policy::isAlive(member, now)
            || !Policy::mayRunIn(member.instance_.region_, *request.route_, request.workspace_))
            continue;
        const auto inProgress = inProgress_.find(id);
        peers.push_back({id, placementEngine_.roundTripTo(member.instance_.region_),
                         inProgress == inProgress_.end() ? 0 : inProgress->second});
    }
    const auto chosen
        = Policy::chooseForwardingPeer(state_, request.service_, peers, random_(), now);
    if (!chosen)
        return std::nullopt;
    return peers_.members().at(peers[*chosen].id_).instance_;
}

Http::RequestView RequestForwarder::messageFor(const RequestContext &request,
                                               Microseconds roundTrip, SteadyTime now) const
{
    Http::RequestView message = Http::viewOf(request.incoming_->message_);
    Http::stripConnectionFields(message);
    message.set(methodField, message.method_string());
    message.set(targetField, message.target());
    message.set(serviceField, request.service_.value());
    message.set(attemptsField, std::to_string(request.attempts_));
    message.set(callerField, request.incoming_->remoteHost_);
    const auto left
        = std::chrono::duration_cast<Milliseconds>(request.deadline_ - now - roundTrip / 2);
    message.set(viewOf(port_.headers_.timeLeft_),
                std::to_string(std::max<long long>(1, left.count())));
    message.method(http::verb::post);
    message.target(path);
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

Task<ForwardingResult>
RequestForwarder::forward(RequestContext &request, Model::Instance peer,
                          std::function<bool(std::size_t, Http::AnswerLength)> holdAnswer)
{
    const auto sentAt = std::chrono::steady_clock::now();
    const auto roundTrip = placementEngine_.roundTripTo(peer.region_);
    Http::ExchangeOptions options;
    options.address_ = peers_.addressToDial(peer.addresses_.control_);
    options.deadline_
        = request.deadline_ + deadlineSlack + std::chrono::duration_cast<Milliseconds>(roundTrip);
    options.connectTimeout_ = Policy::connectionTimeout(roundTrip);
    options.maxIdle_ = maxIdleTime;
    options.connectionLimit_ = maxConnectionsPerPeer;
    options.control_ = &request.control_;
    options.holdAnswer_ = std::move(holdAnswer);
    const Http::RequestView message = messageFor(request, roundTrip, sentAt);

    ++inProgress_[peer.id_];
    auto exchanged
        = co_await Http::exchange(pool_, options, message,
                                  [name = viewOf(port_.headers_.requestId_)](
                                      const Http::RequestHead &sent, const Http::Response &answer) {
                                      // An instance that does not take forwarded requests answers
                                      // without the id.
                                      return answer.count(name) == 0 || answer[name] == sent[name];
                                  });
    if (--inProgress_[peer.id_] == 0)
        inProgress_.erase(peer.id_);

    const auto now = std::chrono::steady_clock::now();
    const bool isAnswerNotHeld = exchanged.isAnswerNotHeld_;
    ForwardingResult result = resultOf(std::move(exchanged));
    if (result.outcome_ == Outcome::Run) {
        Policy::noteForwarded(state_, peer.id_, request.service_);
    } else if (!request.control_.isCancelled() && !isAnswerNotHeld) {
        Policy::noteNotForwarded(state_, peer.id_, request.service_, now);
    }
    log_.line(Event::RequestForwarded)
        .add("id", request.id_)
        .add("peer", peer.id_.value())
        .add("service", request.service_.value())
        .add("outcome", toText(result.outcome_))
        .add("code", static_cast<std::int64_t>(Model::number(result.code_)))
        .add("took_ms", std::chrono::duration_cast<Microseconds>(now - sentAt));
    co_return result;
}

ForwardingResult RequestForwarder::resultOf(Http::ExchangeResult exchanged) const
{
    ForwardingResult result;
    if (!exchanged.answer_) {
        if (exchanged.stage_ != Http::ExchangeStage::NotConnected) {
            result.outcome_ = Outcome::Unknown;
            result.code_ = exchanged.code_;
        }
        return result;
    }
    Http::Response &answer = *exchanged.answer_;
    const auto outcome = outcomeIn(answer[outcomeField]);
    if (!outcome) {
        // An instance that does not take forwarded requests answers so, and has run nothing.
        if (answer.result() != http::status::not_found) {
            result.outcome_ = Outcome::Unknown;
            result.code_ = ResultCode::EntryConnectionLost;
        }
        return result;
    }
    result.outcome_ = *outcome;
    result.code_ = static_cast<ResultCode>(numberIn(answer[codeField]));
    if (const auto leaving = textOf(answer[leavingTargetField]); !leaving.empty())
        result.leavingTarget_ = Model::TargetId(leaving);
    if (*outcome == Outcome::Run) {
        answer.erase(outcomeField);
        answer.erase(codeField);
        answer.erase(leavingTargetField);
        result.answer_ = std::move(answer);
    }
    return result;
}

std::optional<ForwardedRequest> forwardedRequestIn(Http::IncomingRequest message)
{
    Http::Request &request = message.message_;
    const auto method = http::string_to_verb(request[methodField]);
    const std::string target = textOf(request[targetField]);
    if (method == http::verb::unknown || target.empty() || request.count(serviceField) != 1)
        return Model::fail(ResultCode::PeerMessageUnreadable, "a forwarded request");
    ForwardedRequest forwarded;
    forwarded.service_ = Model::ServiceId(textOf(request[serviceField]));
    forwarded.attempts_ = numberIn(request[attemptsField]);
    message.remoteHost_ = textOf(request[callerField]);
    request.method(method);
    request.target(target);
    for (const auto *field : {methodField, targetField, serviceField, attemptsField, callerField})
        request.erase(field);
    forwarded.incoming_ = std::move(message);
    return forwarded;
}

void addForwardingOutcome(Http::Response &answer, Outcome outcome, ResultCode code,
                          const std::optional<Model::TargetId> &leavingTarget)
{
    answer.set(outcomeField, viewOf(toText(outcome)));
    answer.set(codeField, std::to_string(Model::number(code)));
    answer.erase(leavingTargetField);
    if (leavingTarget)
        answer.set(leavingTargetField, leavingTarget->value());
}

} // namespace Steering
