#include "CallerRequest.h"

#include <algorithm>
#include <charconv>

namespace Entryd {

using Model::Milliseconds;
using Model::ResultCode;
namespace http = Http::http;

namespace {

constexpr std::size_t maxKeyLength = 200;
constexpr std::size_t maxCallerNameLength = 200;
constexpr long long maxDeadlineMs = 600000;
constexpr double defaultClassWeight = 10;

Http::beast::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string header(const Http::Request &message, std::string_view name)
{
    const auto value = message[viewOf(name)];
    return {value.data(), value.size()};
}

bool isInternal(Http::beast::string_view name)
{
    const auto &prefix = Http::internalPrefix;
    return name.size() >= prefix.size()
           && Http::beast::iequals(name.substr(0, prefix.size()), viewOf(prefix));
}

/// Removes hop-by-hop and internal headers.
template <typename Message>
void strip(Message &message)
{
    Http::stripConnectionFields(message);
    std::vector<std::string> names;
    for (const auto &field : message) {
        if (isInternal(field.name_string()))
            names.emplace_back(field.name_string().data(), field.name_string().size());
    }
    for (const auto &name : names)
        message.erase(viewOf(name));
}

std::optional<Milliseconds> millisecondsFromText(const std::string &text)
{
    long long value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value <= 0
        || value > maxDeadlineMs)
        return Model::fail(ResultCode::BadDeadline, "'" + text + "'");
    return Milliseconds(value);
}

std::string serviceInPath(const Http::Request &message)
{
    const std::string target(message.target());
    if (target.empty() || target.front() != '/')
        return "";
    const auto end = target.find_first_of("/?", 1);
    return target.substr(1, end == std::string::npos ? end : end - 1);
}

bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return character > ' ' && character < 127;
    });
}

Model::CallerClass classFor(const Model::Table &table, const Model::CallerId &caller)
{
    if (const auto *found = table.classOf(caller))
        return *found;
    Model::CallerClass other;
    other.id_ = Model::CallerClassId("other");
    other.weight_ = Model::Weight(defaultClassWeight);
    other.useLimit_ = Model::Share(1);
    return other;
}

/// Parses what requests of both ports have in common.
std::optional<CallerRequest> readCommon(const EntrySnapshot &snapshot,
                                        Http::IncomingRequest incoming)
{
    CallerRequest request;
    request.message_ = std::move(incoming.message_);
    request.arrivedAt_ = incoming.arrivedAt_;
    request.service_ = Model::ServiceId(serviceInPath(request.message_));
    const auto index = snapshot.serviceIndex_.find(request.service_);
    if (index == snapshot.serviceIndex_.end())
        return Model::fail(ResultCode::UnknownService, "'" + request.service_.value() + "'");
    request.serviceIndex_ = index->second;
    const Model::Service &service = snapshot.table_->services()[index->second];
    request.queueTimeLeft_ = service.queueLimit_;
    const auto method = request.message_.method();
    const bool isSafe
        = method == http::verb::get || method == http::verb::head || method == http::verb::options;
    request.isIdempotent_ = isSafe || service.isIdempotent_;

    const std::string deadline = header(request.message_, Http::callerDeadlineHeader);
    Milliseconds timeout = service.timeout_;
    if (!deadline.empty()) {
        const auto parsed = millisecondsFromText(deadline);
        if (!parsed)
            return std::nullopt;
        timeout = *parsed;
    }
    request.deadline_ = request.arrivedAt_ + timeout;
    return request;
}

/// Finds the workspace by the caller's key, and removes the key. Returns false, with
/// UnknownCallerKey as the last reason, if a key is needed and missing or unknown.
bool identifyWorkspace(const Model::WorkspaceIndex &workspaces, CallerRequest &request)
{
    const auto name = viewOf(Http::callerKeyHeader);
    const bool isOneKey = request.message_.count(name) == 1;
    const std::string key = isOneKey ? header(request.message_, Http::callerKeyHeader) : "";
    request.message_.erase(name);
    const auto workspace = Policy::workspaceOfCaller(workspaces, Policy::KeyUse::Required, key);
    if (!workspace)
        return false;
    if (*workspace)
        request.workspace_ = (*workspace)->id_;
    return true;
}

void setCommonHeaders(Http::Request &message, const CallerRequest &request, Model::SteadyTime now)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline_ - now);
    message.set(viewOf(Http::requestIdHeader), request.id_.value());
    if (!request.workspace_.isEmpty())
        message.set(viewOf(Http::workspaceHeader), request.workspace_.value());
    message.set(viewOf(Http::deadlineHeader), std::to_string(std::max<long long>(1, left.count())));
    message.keep_alive(true);
    message.prepare_payload();
}

} // namespace

std::optional<CallerRequest> readCallerRequest(const EntrySnapshot &snapshot,
                                               Http::IncomingRequest incoming, Model::RequestId id)
{
    const std::string remoteHost = incoming.remoteHost_;
    auto request = readCommon(snapshot, std::move(incoming));
    if (!request)
        return std::nullopt;
    strip(request->message_);
    request->id_ = std::move(id);
    request->origin_ = originOf(snapshot, remoteHost);

    std::string caller = header(request->message_, Http::callerNameHeader);
    if (caller.size() > maxCallerNameLength || !isPrintable(caller))
        return Model::fail(ResultCode::MalformedRequest, "Caller name is too long or unprintable");
    request->caller_ = Model::CallerId(caller.empty() ? remoteHost : std::move(caller));
    request->class_ = classFor(*snapshot.table_, request->caller_);
    if (!identifyWorkspace(snapshot.table_->workspaces(), *request))
        return std::nullopt;

    const auto keyName = viewOf(Http::idempotencyKeyHeader);
    if (request->isIdempotent_ || request->message_.count(keyName) == 0)
        return request;
    const std::string key = header(request->message_, Http::idempotencyKeyHeader);
    const bool isOneKey = request->message_.count(keyName) == 1;
    if (key.empty() || key.size() > maxKeyLength || !isPrintable(key) || !isOneKey)
        return Model::fail(ResultCode::BadIdempotencyKey, "");
    request->claimKey_ = "claim/" + request->service_.value() + "/" + key;
    request->requestHash_
        = Policy::requestHash(std::string(request->message_.method_string()),
                              std::string(request->message_.target()), request->message_.body());
    return request;
}

std::optional<CallerRequest> readForwardedRequest(const EntrySnapshot &snapshot,
                                                  Http::IncomingRequest incoming)
{
    const std::string id = header(incoming.message_, Http::requestIdHeader);
    const std::string caller = header(incoming.message_, Http::callerHeader);
    const std::string origin = header(incoming.message_, Http::originHeader);
    const std::string domain = header(incoming.message_, Http::domainHeader);
    const std::string workspace = header(incoming.message_, Http::workspaceHeader);
    const auto left = millisecondsFromText(header(incoming.message_, Http::deadlineHeader));
    auto request = readCommon(snapshot, std::move(incoming));
    if (!request || !left)
        return std::nullopt;
    strip(request->message_);
    request->id_ = Model::RequestId(id);
    request->caller_ = Model::CallerId(caller);
    request->workspace_ = Model::WorkspaceId(workspace);
    request->class_ = classFor(*snapshot.table_, request->caller_);
    request->deadline_ = request->arrivedAt_ + *left;
    const auto region = snapshot.regionIndex_.find(Model::RegionId(origin));
    request->origin_
        = region == snapshot.regionIndex_.end() ? snapshot.localRegion_ : region->second;
    const auto &domains = snapshot.table_->domains();
    for (std::size_t i = 0; i < domains.size(); ++i) {
        if (domains[i].id_.value() == domain)
            request->fixedDomain_ = i;
    }
    if (!request->fixedDomain_)
        return Model::fail(ResultCode::NoTarget, "no failure domain '" + domain + "'");
    return request;
}

Http::Request messageForTarget(const CallerRequest &request, Model::SteadyTime now)
{
    Http::Request message = request.message_;
    setCommonHeaders(message, request, now);
    return message;
}

Http::Request messageForEntry(const CallerRequest &request, const Model::Table &table,
                              std::size_t domain, Model::SteadyTime now)
{
    Http::Request message = request.message_;
    message.set(viewOf(Http::callerHeader), request.caller_.value());
    message.set(viewOf(Http::originHeader), table.regions()[request.origin_].id_.value());
    message.set(viewOf(Http::domainHeader), table.domains()[domain].id_.value());
    setCommonHeaders(message, request, now);
    return message;
}

bool isAnswerTo(const Http::RequestHead &request, const Http::Response &answer)
{
    const auto name = viewOf(Http::requestIdHeader);
    return answer.count(name) == 1 && answer[name] == request[name];
}

void stripAnswer(Http::Response &answer)
{
    strip(answer);
}

} // namespace Entryd
