#include "LargeSite.h"

#include <malloc.h>

namespace Slopes {

namespace {

constexpr int firstAddress = 0x0A000000;
constexpr int addressesPerBlock = 2048;
constexpr int blockPrefix = 21;

Model::Row row(Model::RowKind kind, const std::string &name,
               std::map<std::string, std::string> cells)
{
    Model::Row made;
    made.key_ = {kind, name};
    made.cells_ = std::move(cells);
    made.changedAt_ = Model::TableVersion(1);
    return made;
}

std::string regionName(int number)
{
    return "region-" + std::to_string(number);
}

std::string domainName(int number)
{
    return "domain-" + std::to_string(number);
}

std::string serviceName(int number)
{
    return "service-" + std::to_string(number);
}

std::string hostText(int number)
{
    const auto part = [number](int shift) {
        return std::to_string((number >> shift) & 255);
    };
    return part(24) + "." + part(16) + "." + part(8) + "." + part(0);
}

Model::Instance instanceOf(const std::string &id, const std::string &region,
                           const std::string &domain)
{
    Model::Instance instance;
    instance.id_ = Model::InstanceId(id);
    instance.region_ = Model::RegionId(region);
    instance.domain_ = Model::FailureDomainId(domain);
    const Model::Address address{"127.100.100.100", 7001};
    instance.addresses_ = {address, address, address, address, address};
    return instance;
}

/// Returns the loads that an entry reports: each service in each failure domain of its region.
std::vector<Peers::DomainLoad> loadsOf(const FleetSize &size)
{
    std::vector<Peers::DomainLoad> loads;
    const int domains = (size.domains_ + size.regions_ - 1) / size.regions_;
    for (int service = 0; service < size.services_; ++service) {
        for (int domain = 0; domain < domains; ++domain) {
            loads.push_back({Model::ServiceId(serviceName(service)),
                             Model::FailureDomainId(domainName(domain * size.regions_)),
                             Model::Slots(100), Model::Slots(55), 3});
        }
    }
    return loads;
}

Peers::InstanceRecord recordOf(const FleetSize &size, int number)
{
    Peers::InstanceRecord record;
    record.instance_
        = instanceOf("instance-" + std::to_string(number), regionName(0), domainName(0));
    record.incarnation_ = Model::Incarnation(1764700000000);
    record.heartbeat_ = 100000;
    record.isReady_ = true;
    record.loads_ = loadsOf(size);
    return record;
}

} // namespace

std::vector<Model::Row> rowsOf(const FleetSize &size)
{
    using Model::RowKind;
    std::vector<Model::Row> rows;
    for (int i = 0; i < size.regions_; ++i)
        rows.push_back(row(RowKind::Region, regionName(i), {{"weight", "100"}}));
    for (int i = 0; i < size.domains_; ++i) {
        rows.push_back(row(RowKind::Domain, domainName(i),
                           {{"region", regionName(i % size.regions_)}, {"weight", "100"}}));
    }
    for (int i = 0; i < size.services_; ++i) {
        rows.push_back(row(RowKind::Service, serviceName(i),
                           {{"timeout_ms", "2000"},
                            {"queue_ms", "200"},
                            {"shift_cap", "5"},
                            {"region_shift_cap", "5"}}));
    }
    rows.push_back(row(RowKind::Class, "others", {{"callers", "*"}, {"weight", "10"}}));
    for (int i = 0; i < size.sites_; ++i) {
        rows.push_back(row(RowKind::Target, "site-" + std::to_string(i),
                           {{"service", serviceName(i % size.services_)},
                            {"domain", domainName(i % size.domains_)},
                            {"address", "127.10.1." + std::to_string(i % 250 + 1) + ":8000"},
                            {"slots", "6"},
                            {"connections", "400"}}));
    }
    return rows;
}

Platform::TableMirror replicaOf(const FleetSize &size)
{
    Platform::TableMirror replica;
    replica.version_ = Model::TableVersion(1);
    for (auto &made : rowsOf(size))
        replica.rows_[made.key_] = std::move(made);
    return replica;
}

Platform::TableMirror changed(Platform::TableMirror replica, int count)
{
    replica.version_ = Model::TableVersion(2);
    int left = count;
    for (auto &[key, changedRow] : replica.rows_) {
        if (left-- <= 0)
            break;
        changedRow.changedAt_ = replica.version_;
    }
    return replica;
}

std::string blocksText(int count, const FleetSize &size)
{
    std::string text;
    for (int i = 0; i < count; ++i) {
        const int domain = i % size.domains_;
        text += hostText(firstAddress + i * addressesPerBlock) + "/" + std::to_string(blockPrefix)
                + " " + regionName(domain % size.regions_) + " " + domainName(domain) + "\n";
    }
    return text;
}

std::string randomHost(std::mt19937 &random, int blocks)
{
    std::uniform_int_distribution<int> number(0, blocks * addressesPerBlock - 1);
    return hostText(firstAddress + number(random));
}

Peers::GossipState stateOf(const FleetSize &size, int members)
{
    Peers::GossipState state;
    state.self_ = recordOf(size, 0);
    const Model::SteadyTime now;
    for (int i = 1; i <= members; ++i)
        Peers::mergeIfNewer(state.members_, recordOf(size, i), now);
    for (int region = 0; region < size.regions_; ++region) {
        Peers::RegionSummary summary;
        summary.region_ = Model::RegionId(regionName(region));
        summary.madeAt_ = Model::WallTime(Model::Milliseconds(1));
        summary.loads_ = loadsOf(size);
        for (std::size_t i = 0; i < Peers::maxSummaryContacts; ++i) {
            const std::string id = "contact-" + std::to_string(region) + "-" + std::to_string(i);
            summary.contacts_.push_back(instanceOf(id, regionName(region), domainName(region)));
        }
        Peers::mergeIfNewer(state.members_, summary, now);
    }
    state.table_ = replicaOf(size);
    return state;
}

double allocatedBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace Slopes
