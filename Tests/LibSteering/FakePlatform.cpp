#include "FakePlatform.h"

#include <fcntl.h>
#include <sstream>

namespace Fakes {

namespace {

std::optional<Steering::OperatorRows> decodeOperators(const std::vector<Platform::StoredRow> &rows)
{
    Steering::OperatorRows result;
    bool hasTable = false;
    for (const auto &row : rows) {
        if (row.key_.starts_with("drain "))
            continue;
        std::istringstream text(*row.value_);
        std::string word;
        std::uint64_t version = 0;
        if (!(text >> word >> version))
            return Model::fail(Model::ResultCode::PlatformBadAnswer, "no version");
        std::string rest(std::istreambuf_iterator<char>(text), {});
        const auto parsed = Model::rowsFromText(rest);
        if (!parsed)
            return std::nullopt;
        result.version_ = Model::TableVersion(version);
        result.rows_ = *parsed;
        hasTable = true;
    }
    if (!hasTable)
        return Model::fail(Model::ResultCode::PlatformBadAnswer, "no table");
    return result;
}

std::set<Model::FailureDomainId> decodeDrains(const std::vector<Platform::StoredRow> &rows)
{
    std::set<Model::FailureDomainId> drained;
    for (const auto &row : rows) {
        if (row.key_.starts_with("drain "))
            drained.insert(Model::FailureDomainId(row.key_.substr(6)));
    }
    return drained;
}

std::optional<Model::TargetRecord> decodeTarget(const Platform::StoredRow &row)
{
    std::istringstream text(*row.value_);
    std::string service;
    std::string domain;
    std::string address;
    std::string state;
    std::int64_t slots = 0;
    std::int64_t coldMs = 0;
    if (!(text >> service >> domain >> address >> slots >> state >> coldMs))
        return Model::fail(Model::ResultCode::PlatformBadAnswer, row.key_);
    Model::TargetRecord record;
    record.id_ = Model::TargetId(row.key_);
    record.service_ = Model::ServiceId(service);
    record.domain_ = Model::FailureDomainId(domain);
    record.address_ = *Model::addressFromText(address);
    record.slots_ = Model::Slots(slots);
    record.isLeaving_ = state == "draining";
    record.remainingColdTime_ = Model::Milliseconds(coldMs);
    std::uint64_t startedAt = 0;
    if (text >> startedAt >> record.reportCount_)
        record.incarnation_ = Model::Incarnation(startedAt);
    return record;
}

} // namespace

Steering::PlatformPort port()
{
    Steering::PlatformPort port;
    port.decodeOperators_ = decodeOperators;
    port.decodeDrains_ = decodeDrains;
    port.decodeTarget_ = decodeTarget;
    port.parseLoad_ = [](const Http::Response &) {
        return std::optional<Steering::LoadReport>();
    };
    port.headers_ = {"Id", "Left", "Key", "Expect", "Not-Run"};
    port.terms_.regionShiftCap_ = Model::SharePerSecond(0.075);
    return port;
}

Observe::Settings settings(const std::string &domain)
{
    Observe::Settings settings;
    settings.instance_ = Model::InstanceId("i-" + domain);
    for (const char *region : {"r", "s", "t"}) {
        for (const char *part : {"a", "b"}) {
            const std::string name = std::string(region) + "-" + part;
            settings.domains_.emplace_back(Model::FailureDomainId(name), Model::RegionId(region));
        }
    }
    settings.domain_ = Model::FailureDomainId(domain);
    settings.region_ = Model::RegionId(domain.substr(0, 1));
    return settings;
}

std::string operatorsText(int version)
{
    return "version " + std::to_string(version)
           + "\n[service gauging]\ncold_rps = 11\n[service transfers]\ncold_rps = 11\n"
             "[route read]\nhost = h\nprefix = /read/\nservices = gauging\nidempotent = yes\n"
             "timeout_ms = 1200\nlatency_goal_ms = 400\npriority = 2\nattempts = 2\n"
             "affinity = yes\n"
             "[route order]\nhost = h\nprefix = /order/\nservices = transfers\nidempotent = no\n"
             "timeout_ms = 1000\nlatency_goal_ms = 300\npriority = 0\nattempts = 2\n"
             "affinity = yes\n";
}

Platform::StoredRow row(const std::string &key, const std::string &value, std::uint64_t revision)
{
    return {key, value, Platform::Revision(revision)};
}

Platform::StoredRows rows(std::uint64_t revision, std::vector<Platform::StoredRow> list)
{
    return {Platform::Revision(revision), std::move(list)};
}

std::string addressOf(const std::string &id)
{
    const auto seed = Policy::seedOf(id);
    const auto byteAt = [&](unsigned shift) {
        return std::to_string((seed >> shift) & 0xffU);
    };
    return "127." + byteAt(0) + "." + byteAt(8) + "." + byteAt(16) + ":9";
}

Platform::StoredRow target(const std::string &id, const std::string &service,
                           const std::string &domain, std::uint64_t revision,
                           const std::string &state, int coldMs, int slots)
{
    return row(id,
               service + " " + domain + " " + addressOf(id) + " " + std::to_string(slots) + " "
                   + state + " " + std::to_string(coldMs),
               revision);
}

InstanceFixture::InstanceFixture(const std::string &domain)
    : settings_(settings(domain))
    , port_(port())
    , log_(open("/dev/null", O_WRONLY | O_CLOEXEC))
    , platformState_(port_, settings_, log_)
    , targetRegistry_(port_, platformState_, log_)
    , placementEngine_(settings_, platformState_, targetRegistry_)
    , reach_(platformState_, targetRegistry_, log_)
{
}

void InstanceFixture::setOperatorRows(int version, std::uint64_t revision,
                                      const std::vector<std::string> &drained)
{
    std::vector<Platform::StoredRow> list = {row("table", operatorsText(version), revision)};
    for (const auto &domain : drained)
        list.push_back(row("drain " + domain, "", revision));
    platformState_.replace(Steering::StoreTable::Operators, rows(revision, list), "test");
    update();
}

void InstanceFixture::setTable(const std::string &text, std::uint64_t revision)
{
    platformState_.replace(Steering::StoreTable::Operators,
                           rows(revision, {row("table", text, revision)}), "test");
    update();
}

void InstanceFixture::setTargetRows(std::uint64_t revision, std::vector<Platform::StoredRow> list)
{
    platformState_.replace(Steering::StoreTable::Targets, rows(revision, std::move(list)), "test");
    if (evidence_.own_.contact_ == Policy::StoreContact::Reached)
        evidence_.own_.targetsRead_ = revision;
    update();
}

void InstanceFixture::reconnectStore()
{
    evidence_.own_.contact_ = Policy::StoreContact::Reached;
    evidence_.own_.answeredSince_ = now_;
    evidence_.own_.recoveredAt_ = now_;
}

void InstanceFixture::update()
{
    placementEngine_.tableChanged();
    targetRegistry_.update(now_, evidence_);
}

Steering::RequestContext requestContext(const InstanceFixture &instance, const std::string &route,
                                        std::uint64_t object)
{
    Steering::RequestContext requestContext;
    requestContext.incoming_ = std::make_shared<const Http::IncomingRequest>();
    requestContext.table_ = instance.platformState_.table();
    requestContext.route_ = requestContext.table_->routes().find("h", "/" + route + "/x");
    requestContext.service_ = requestContext.route_->splits_.front().service_;
    requestContext.object_ = object;
    requestContext.hasObject_ = true;
    requestContext.arrivedAt_ = instance.now_;
    requestContext.deadline_ = instance.now_ + requestContext.route_->timeout_;
    return requestContext;
}

} // namespace Fakes
