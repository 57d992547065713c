// Layout of a site: its loopback net, targets, instances, proxy forwarding rules and settings.

#include "Site.h"

#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Harness {

using Model::Milliseconds;

namespace {

constexpr int firstNet = 30;
constexpr int lastNet = 250;
constexpr std::uint16_t lockPort = 6999;
constexpr std::uint16_t proxyPort = 7900;
constexpr int instancesOfDomain = 2;
constexpr Milliseconds startTimeout{30000};

/// Reserves a loopback net by binding a port in it. Returns the socket, or -1 if the net is in use.
int tryReserve(int net)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(lockPort);
    address.sin_addr.s_addr = htonl((127u << 24) | (static_cast<unsigned>(net) << 16) | 1);
    if (bind(handle, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0)
        return handle;
    close(handle);
    return -1;
}

} // namespace

void Site::reserveNet()
{
    const int span = lastNet - firstNet;
    for (int i = 0; i < span; ++i) {
        net_ = firstNet + (getpid() + i) % span;
        netLock_ = tryReserve(net_);
        if (netLock_ >= 0)
            return;
    }
    throw std::runtime_error("no free loopback net");
}

std::vector<Model::Row> Site::aliasesOf(const Model::Row &target)
{
    constexpr std::uint16_t firstAliasPort = 20000;
    const auto address = *Model::addressFromText(target.cells_.at("address"));
    const auto count = options_.aliasesPerTarget_.find(target.cells_.at("domain"));
    if (count == options_.aliasesPerTarget_.end())
        return {};
    std::vector<Model::Row> rows;
    for (std::size_t i = 0; i < count->second; ++i) {
        Model::Row row = target;
        row.key_.name_ += "-" + std::to_string(i);
        const Model::Address alias{address.host_, static_cast<std::uint16_t>(firstAliasPort + i)};
        row.cells_["address"] = toText(alias);
        aliases_[alias] = address;
        rows.push_back(std::move(row));
    }
    return rows;
}

std::string Site::exampleText()
{
    std::ifstream file(std::string(CASSIACRANK_EXAMPLES) + "/" + options_.example_ + ".table");
    std::ostringstream text;
    text << file.rdbuf();
    auto rows = Model::rowsFromText(text.str());
    if (!rows)
        throw std::runtime_error(toText(Model::lastReason()));
    for (auto &row : *rows) {
        const auto wanted = options_.cells_.find(Model::toText(row.key_));
        if (wanted != options_.cells_.end()) {
            for (const auto &[column, value] : wanted->second)
                row.cells_[column] = value;
        }
        if (row.key_.kind_ != Model::RowKind::Target)
            continue;
        std::string &address = row.cells_["address"];
        const auto second = address.find('.', 4);
        address = "127." + std::to_string(net_) + address.substr(second);
    }
    std::vector<Model::Row> aliases;
    for (const auto &row : *rows) {
        if (row.key_.kind_ != Model::RowKind::Target)
            continue;
        const auto some = aliasesOf(row);
        aliases.insert(aliases.end(), some.begin(), some.end());
    }
    rows->insert(rows->end(), aliases.begin(), aliases.end());
    return Model::toText(*rows);
}

void Site::makeTargets()
{
    auto rows = Model::rowsFromText(exampleText());
    table_ = Model::Table::build(Model::TableVersion(1), *rows, {});
    if (!table_)
        throw std::runtime_error(toText(Model::lastReason()));
    int seed = 0;
    for (const auto &row : table_->targets()) {
        if (aliases_.contains(row.address_))
            continue;
        const auto mean = options_.meanMs_.find(row.service_.value());
        const double meanMs = mean == options_.meanMs_.end() ? 10 : mean->second;
        std::vector<std::string> command
            = {binary("WorkerStandIn"),
               "--address=" + toText(row.address_),
               "--slots=" + std::to_string(row.slots_.value()),
               "--mean_ms=" + std::to_string(meanMs),
               std::string("--exponential=") + (options_.hasExponentialTimes_ ? "true" : "false"),
               "--cold_factor=" + std::to_string(options_.coldFactor_),
               "--end_under=" + options_.crashPath_,
               "--seed=" + std::to_string(++seed)};
        targets_.push_back({row, makeProcess(row.id_.value(), std::move(command))});
    }
}

void Site::makeInstances()
{
    std::map<std::string, int> domainNumbers;
    for (const auto &target : table_->targets()) {
        const std::string &host = target.address_.host_;
        const auto second = host.find('.', 4) + 1;
        domainNumbers[target.domain_.value()] = std::stoi(host.substr(second));
    }
    for (int number = 1; number <= instancesOfDomain; ++number) {
        for (const auto &domain : table_->domains()) {
            if (instances_.size() >= options_.instances_)
                return;
            SiteInstance instance;
            instance.host_ = "127." + std::to_string(net_) + "."
                             + std::to_string(domainNumbers[domain.id_.value()]) + "."
                             + std::to_string(number);
            Model::Instance &row = instance.row_;
            row.id_ = Model::InstanceId(domain.id_.value() + "-" + std::to_string(number));
            row.region_ = domain.region_;
            row.domain_ = domain.id_;
            row.addresses_ = {{instance.host_, 7001},
                              {instance.host_, 7002},
                              {instance.host_, 7003},
                              {instance.host_, 7004},
                              {instance.host_, 7008}};
            instances_.push_back(std::move(instance));
        }
    }
}

double Site::delayBetween(const Model::Instance &from, const Model::RegionId &region,
                          const Model::FailureDomainId &domain) const
{
    if (from.region_ != region)
        return options_.delayBetweenRegionsMs_;
    return from.domain_ == domain ? 0 : options_.delayBetweenDomainsMs_;
}

void Site::addForwardingRule(SiteInstance &from, const Model::Address &to, double delayMs,
                             const std::string &group)
{
    const int number = lastRule_++;
    const std::string listen = "127." + std::to_string(net_) + ".200."
                               + std::to_string(1 + number / 2000) + ":"
                               + std::to_string(10000 + number % 2000);
    const auto alias = aliases_.find(to);
    const Model::Address &end = alias == aliases_.end() ? to : alias->second;
    forwardingRules_ += listen + " " + toText(end) + " "
                        + std::to_string(static_cast<int>(delayMs * 1000)) + " " + group + "\n";
    dial_[from.row_.id_.value()] += toText(to) + " = " + listen + "\n";
}

void Site::startProxy()
{
    for (auto &from : instances_) {
        for (const auto &to : instances_) {
            if (from.row_.id_ == to.row_.id_)
                continue;
            const double delay = delayBetween(from.row_, to.row_.region_, to.row_.domain_);
            const std::string group
                = from.row_.region_ == to.row_.region_
                      ? "inside-" + from.row_.region_.value()
                      : from.row_.region_.value() + "-" + to.row_.region_.value();
            addForwardingRule(from, to.row_.addresses_.control_, delay, group);
            addForwardingRule(from, to.row_.addresses_.entryPeer_, delay, group);
        }
        const bool isPartitioned = options_.partitionedInstances_.contains(from.row_.id_.value());
        for (const auto &target : table_->targets()) {
            const auto *domain = table_->domain(target.domain_);
            if (domain->region_ == from.row_.region_) {
                addForwardingRule(from, target.address_,
                                  delayBetween(from.row_, domain->region_, domain->id_),
                                  isPartitioned ? "partition" : "target-" + target.id_.value());
            }
        }
        addForwardingRule(from, platform(), 1, "platform-" + from.row_.region_.value());
    }
    const std::string host = "127." + std::to_string(net_) + ".0.2";
    const Model::Address control{host, proxyPort};
    proxy_ = makeProcess("proxy", {binary("FaultProxy"), "--address=" + toText(control),
                                   "--ways=" + write("ways", forwardingRules_)});
    proxy_->start();
    if (!waitUntil(startTimeout, [&] {
            Http::SimpleRequest request;
            request.address_ = control;
            request.method_ = Http::http::verb::post;
            request.body_ = R"({"group":"none","mode":"pass"})";
            return Http::sendAndWait(request).has_value();
        }))
        throw std::runtime_error("proxy did not start: " + proxy_->log());
}

void Site::startPlatform()
{
    platform_
        = makeProcess("platform", {binary("PlatformStandIn"), "--address=" + toText(platform())});
    platform_->start();
    if (!waitUntil(startTimeout, [&] {
            return getJson(platform(), "/standin/x").has_value();
        }))
        throw std::runtime_error("platform stand-in did not start: " + platform_->log());
    std::string blocks;
    for (const auto &region : table_->regions()) {
        const std::string source = callerSource(region.id_.value());
        blocks += source.substr(0, source.rfind('.')) + ".0/24 " + region.id_.value() + "\n";
    }
    Http::SimpleRequest request;
    request.address_ = platform();
    request.method_ = Http::http::verb::put;
    request.target_ = "/v1/objects/client-blocks";
    request.body_ = blocks;
    Http::sendAndWait(request);
    std::string output;
    if (tablectl({"--operator=harness", "apply", write("table", exampleText())}, &output) != 0)
        throw std::runtime_error("table was rejected: " + output);
}

std::string Site::settingsText(const SiteInstance &instance) const
{
    std::string seeds;
    for (const auto &other : instances_) {
        if (seeds.empty() && other.row_.id_ != instance.row_.id_)
            seeds = toText(other.row_.addresses_.control_);
    }
    const std::string &host = instance.host_;
    std::string text
        = "[instance]\nid = " + instance.row_.id_.value() + "\nregion = "
          + instance.row_.region_.value() + "\ndomain = " + instance.row_.domain_.value()
          + "\n[listen]\nlookup = " + host + ":7001\nentry = " + host + ":7002\nentry_peer = "
          + host + ":7003\ncontrol = " + host + ":7004\ncontrol_local = " + host
          + ":7005\nentry_admin = " + host + ":7006\nlookup_admin = " + host
          + ":7007\ncontrol_admin = " + host + ":7008\n[platform]\naddress = " + toText(platform())
          + "\ntimeout_ms = 1000\n[lookup]\nttl_ms = " + std::to_string(options_.lookupTtlMs_)
          + "\n";
    if (!seeds.empty())
        text += "[peers]\nseeds = " + seeds + "\n";
    if (options_.memoryMegabytes_ > 0)
        text += "[limits]\nmemory_mb = " + std::to_string(options_.memoryMegabytes_) + "\n";
    const auto dial = dial_.find(instance.row_.id_.value());
    if (dial != dial_.end())
        text += "[dial]\n" + dial->second;
    return text;
}

} // namespace Harness
