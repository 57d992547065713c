// Measures how the cost of each part grows with the fleet's size; docs/CAPACITY.md quotes the
// figures.

#include "LargeSite.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <memory>

namespace {

using Slopes::FleetSize;

constexpr int maxBlocks = 550000;
constexpr int entriesInRegion = 220;
constexpr int maxFleetMembers = 3300;

const FleetSize &sizeOf(const benchmark::State &state)
{
    switch (state.range(0)) {
    case 42:
        return Slopes::today;
    case 240:
        return Slopes::between;
    default:
        return Slopes::planned;
    }
}

void sites(benchmark::internal::Benchmark *benchmark)
{
    benchmark->ArgName("sites")->Arg(42)->Arg(240)->Arg(880);
}

void blocks(benchmark::internal::Benchmark *benchmark)
{
    benchmark->ArgName("blocks")->Arg(1000)->Arg(55000)->Arg(maxBlocks);
}

void members(benchmark::internal::Benchmark *benchmark)
{
    benchmark->ArgName("members")->Arg(4)->Arg(55)->Arg(entriesInRegion);
}

Model::Table tableOf(const FleetSize &size)
{
    return *Platform::buildTable(Slopes::replicaOf(size));
}

/// Times single look-ups, so that the median is reported besides the mean.
void findBlock(benchmark::State &state)
{
    const auto count = static_cast<int>(state.range(0));
    const auto map = Model::ClientBlocks::build(Slopes::blocksText(count, Slopes::planned));
    std::mt19937 random(1);
    std::vector<std::string> hosts;
    for (int i = 0; i < 4096; ++i)
        hosts.push_back(Slopes::randomHost(random, count));
    std::vector<double> nanoseconds;
    std::size_t next = 0;
    for (auto _ : state) {
        const auto start = std::chrono::steady_clock::now();
        benchmark::DoNotOptimize(map->locationOf(hosts[next++ % hosts.size()]));
        const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
        state.SetIterationTime(taken.count());
        if (nanoseconds.size() < 100000)
            nanoseconds.push_back(taken.count() * 1e9);
    }
    std::sort(nanoseconds.begin(), nanoseconds.end());
    state.counters["p50_ns"] = nanoseconds[nanoseconds.size() / 2];
    state.counters["p99_ns"] = nanoseconds[nanoseconds.size() * 99 / 100];
}
BENCHMARK(findBlock)->Apply(blocks)->UseManualTime();

void buildBlocks(benchmark::State &state)
{
    const auto text = Slopes::blocksText(static_cast<int>(state.range(0)), Slopes::planned);
    double bytes = 0;
    for (auto _ : state) {
        const double before = Slopes::allocatedBytes();
        const auto map = Model::ClientBlocks::build(text);
        bytes = Slopes::allocatedBytes() - before;
        benchmark::DoNotOptimize(map);
    }
    state.counters["text_bytes"] = static_cast<double>(text.size());
    state.counters["held_bytes"] = bytes;
}
BENCHMARK(buildBlocks)->Apply(blocks)->Unit(benchmark::kMillisecond);

/// The part of a look-up after finding the block.
void rankEntries(benchmark::State &state)
{
    const auto gossip = Slopes::stateOf(Slopes::planned, static_cast<int>(state.range(0)));
    std::vector<Policy::EntryCandidate> candidates;
    for (const auto &[id, member] : gossip.members_.members_)
        candidates.push_back({member.record_.instance_, true});
    for (const auto &[region, summary] : gossip.members_.summaries_) {
        for (const auto &contact : summary.contacts_)
            candidates.push_back({contact, true});
    }
    const Policy::LookupQuery query{Model::CallerId("pilot-7"), Model::RegionId("region-0"), {}};
    for (auto _ : state)
        benchmark::DoNotOptimize(Policy::rankEntries(query, candidates, 4));
}
BENCHMARK(rankEntries)->Apply(members);

void buildTable(benchmark::State &state)
{
    const auto replica = Slopes::replicaOf(sizeOf(state));
    double bytes = 0;
    for (auto _ : state) {
        const double before = Slopes::allocatedBytes();
        const auto table = Platform::buildTable(replica);
        bytes = Slopes::allocatedBytes() - before;
        benchmark::DoNotOptimize(table);
    }
    state.counters["rows"] = static_cast<double>(replica.rows_.size());
    state.counters["held_bytes"] = bytes;
}
BENCHMARK(buildTable)->Apply(sites)->Unit(benchmark::kMicrosecond);

/// Plans the shares of every service and origin, as an entry does in each ramp step.
void planShares(benchmark::State &state)
{
    const auto table = tableOf(sizeOf(state));
    const Model::WallTime now(Model::Milliseconds(1764700000000));
    for (auto _ : state) {
        for (const auto &service : table.services()) {
            for (const auto &region : table.regions()) {
                benchmark::DoNotOptimize(
                    Policy::plannedShares(table, service.id_, region.id_, now));
            }
        }
    }
    state.counters["pairs"] = static_cast<double>(table.services().size() * table.regions().size());
}
BENCHMARK(planShares)->Apply(sites)->Unit(benchmark::kMicrosecond);

/// Serializes and applies a snapshot of the whole table for an instance's processes.
void applySnapshot(benchmark::State &state)
{
    const auto replica = Slopes::replicaOf(sizeOf(state));
    const auto whole = Platform::deltaSince(replica, Model::TableVersion(0));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string wire = Peers::toMessage(whole).SerializeAsString();
        cassiacrank::TableDelta message;
        message.ParseFromString(wire);
        Platform::TableMirror copy;
        Platform::applyDelta(copy, *Peers::fromMessage(message));
        benchmark::DoNotOptimize(Platform::buildTable(copy));
        bytes = wire.size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(applySnapshot)->Apply(sites)->Unit(benchmark::kMicrosecond);

/// One exchange between two instances of a region whose states differ in heartbeats only.
void gossipExchange(benchmark::State &state)
{
    const auto count = static_cast<int>(state.range(0));
    auto asker = Slopes::stateOf(Slopes::planned, count);
    auto asked = asker;
    asked.self_.instance_.id_ = Model::InstanceId("instance-1");
    std::size_t bytes = 0;
    for (auto _ : state) {
        // Half of the records have a newer heartbeat.
        int number = 0;
        for (auto &[id, member] : asked.members_.members_)
            member.record_.heartbeat_ += static_cast<std::uint64_t>(number++ % 2);
        const auto request = Peers::makePull(asker, true, {});
        const auto answer = Peers::answerPull(asked, request, {});
        Peers::mergePullAnswer(asker, answer, {});
        bytes = request.ByteSizeLong() + answer.ByteSizeLong();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(gossipExchange)->Apply(members)->Unit(benchmark::kMicrosecond);

/// An exchange with another region: the table's version, the summaries and the two members'
/// records.
void gossipAcrossRegions(benchmark::State &state)
{
    auto asker = Slopes::stateOf(sizeOf(state), 4);
    auto asked = asker;
    asked.self_.instance_.region_ = Model::RegionId("region-1");
    std::size_t bytes = 0;
    for (auto _ : state) {
        for (auto &[region, summary] : asked.members_.summaries_)
            summary.madeAt_ += Model::Milliseconds(1);
        const auto request = Peers::makePull(asker, false, {});
        const auto answer = Peers::answerPull(asked, request, {});
        Peers::mergePullAnswer(asker, answer, {});
        bytes = request.ByteSizeLong() + answer.ByteSizeLong();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(gossipAcrossRegions)->Apply(sites)->Unit(benchmark::kMicrosecond);

/// Bytes on the wire of a table edit: the changed rows, compared with the whole table.
void deltaBytes(benchmark::State &state)
{
    const auto replica
        = Slopes::changed(Slopes::replicaOf(Slopes::planned), static_cast<int>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto delta = Platform::deltaSince(replica, Model::TableVersion(1));
        bytes = Peers::toMessage(delta).ByteSizeLong();
    }
    const auto whole = Platform::deltaSince(replica, Model::TableVersion(0));
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["whole_bytes"] = static_cast<double>(Peers::toMessage(whole).ByteSizeLong());
}
BENCHMARK(deltaBytes)->ArgName("rows")->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMicrosecond);

/// Rounds until each member has a new version, where each queries one member of its region and one
/// of any region per round and 10% of the exchanges are lost. Peer selection is the real one; an
/// exchange is reduced to whether the queried member has the version.
void roundsToAll(benchmark::State &state)
{
    constexpr std::size_t inRegion = entriesInRegion;
    const auto count = static_cast<std::size_t>(state.range(0));
    std::mt19937_64 random(1);
    int maxRounds = 0;
    double sum = 0;
    int runs = 0;
    for (auto _ : state) {
        std::vector<char> knows(count, 0);
        knows[0] = 1;
        int rounds = 0;
        while (std::count(knows.begin(), knows.end(), 0) > 0) {
            ++rounds;
            std::vector<char> next = knows;
            for (std::size_t i = 0; i < count; ++i) {
                const std::size_t first = i / inRegion * inRegion;
                const std::size_t regionMembers = std::min(inRegion, count - first);
                const std::size_t asked[] = {
                    first + Policy::choosePeers(regionMembers, 1, {random()}).front(),
                    Policy::choosePeers(count, 1, {random()}).front(),
                };
                for (const std::size_t other : asked) {
                    if (random() % 10 != 0 && knows[other])
                        next[i] = 1;
                }
            }
            knows = std::move(next);
        }
        maxRounds = std::max(maxRounds, rounds);
        sum += rounds;
        ++runs;
    }
    state.counters["rounds_mean"] = sum / runs;
    state.counters["rounds_most"] = maxRounds;
}
BENCHMARK(roundsToAll)
    ->ArgName("members")
    ->Arg(12)
    ->Arg(220)
    ->Arg(maxFleetMembers)
    ->Iterations(30)
    ->Unit(benchmark::kMillisecond);

/// Returns crash records of \a runs crashed incarnations, each with different suspects, and a few
/// quarantine decisions.
Policy::CrashRecords crashRecordsOf(std::size_t runs)
{
    Policy::CrashRecords crashRecords;
    const Model::SteadyTime now{std::chrono::hours(1)};
    for (std::uint64_t i = 0; i < runs; ++i) {
        std::vector<Policy::RequestFingerprint> fingerprints;
        for (std::uint32_t j = 1; j <= Policy::maxSuspectsPerCrash; ++j)
            fingerprints.push_back({Policy::ownerScore(i, j), j});
        Policy::noteEnded(crashRecords, Policy::TargetIncarnationKey(i), fingerprints, now);
    }
    return crashRecords;
}

void crashRuns(benchmark::internal::Benchmark *benchmark)
{
    benchmark->ArgName("runs")->Arg(1)->Arg(16)->Arg(Policy::maxCrashedIncarnations);
}

/// The cost of checking a request that is no suspect while crashes are on record.
void checkRequest(benchmark::State &state)
{
    const Model::SteadyTime now{std::chrono::hours(1)};
    const auto view = Policy::viewOf(crashRecordsOf(static_cast<std::size_t>(state.range(0))), now);
    const Policy::RequestText text{"GET", "host.example", "/gauging/tank/7?unit=m3", "", "pilot-1"};
    for (auto _ : state)
        benchmark::DoNotOptimize(view.mayHold(Policy::fingerprintPrefixOf(text)));
}
BENCHMARK(checkRequest)->Apply(crashRuns);

/// The cost for a request whose fingerprint prefix matches a suspect: its body is hashed too.
void printRequest(benchmark::State &state)
{
    const std::string body(static_cast<std::size_t>(state.range(0)), 'x');
    const Policy::RequestText text{"POST", "host.example", "/transfers/order", body, "customs-1"};
    for (auto _ : state)
        benchmark::DoNotOptimize(Policy::fingerprintOf(text));
}
BENCHMARK(printRequest)->ArgName("body_bytes")->Arg(0)->Arg(1024)->Arg(1024 * 1024);

/// The evaluation that an instance runs ten times a second while crash reports arrive.
void judgeCrashes(benchmark::State &state)
{
    auto crashRecords = crashRecordsOf(static_cast<std::size_t>(state.range(0)));
    const Model::SteadyTime now{std::chrono::hours(1)};
    for (auto _ : state) {
        benchmark::DoNotOptimize(Policy::judge(crashRecords, now));
        benchmark::DoNotOptimize(Policy::viewOf(crashRecords, now));
    }
}
BENCHMARK(judgeCrashes)->Apply(crashRuns)->Unit(benchmark::kMicrosecond);

/// The crash records in one message between instances.
void tellCrashes(benchmark::State &state)
{
    const auto crashRecords = crashRecordsOf(static_cast<std::size_t>(state.range(0)));
    const Model::SteadyTime now{std::chrono::hours(1)};
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto message
            = Peers::toMessage(Policy::crashUpdateFrom(crashRecords, now)).SerializeAsString();
        bytes = message.size();
        benchmark::DoNotOptimize(message);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(tellCrashes)->Apply(crashRuns)->Unit(benchmark::kMicrosecond);

void workspaces(benchmark::internal::Benchmark *benchmark)
{
    benchmark->ArgName("workspaces")->Arg(73)->Arg(600)->Arg(5000);
}

Model::WorkspaceIndex workspacesWithTwoKeys(std::int64_t count)
{
    Model::WorkspaceIndex index;
    for (std::int64_t i = 0; i < count; ++i) {
        Model::Workspace workspace;
        const std::string name = "w" + std::to_string(i);
        workspace.id_ = Model::WorkspaceId(name);
        workspace.keys_ = {Model::digestOf(name + "-a"), Model::digestOf(name + "-b")};
        workspace.limit_ = Model::RequestsPerSecond(50);
        workspace.burst_ = 50;
        index.add(std::move(workspace));
    }
    return index;
}

void findWorkspace(benchmark::State &state)
{
    const auto index = workspacesWithTwoKeys(state.range(0));
    std::int64_t i = 0;
    for (auto _ : state) {
        const std::string key = "w" + std::to_string(i++ % state.range(0)) + "-b";
        benchmark::DoNotOptimize(Policy::workspaceOfCaller(index, Policy::KeyUse::Required, key));
    }
}
BENCHMARK(findWorkspace)->Apply(workspaces);

void admitByQuota(benchmark::State &state)
{
    const auto workspace = workspacesWithTwoKeys(1).all().front();
    std::vector<Policy::QuotaGate> gates(static_cast<std::size_t>(state.range(0)));
    Model::SteadyTime now{std::chrono::seconds(1)};
    std::size_t i = 0;
    for (auto _ : state) {
        now += Model::Microseconds(100);
        benchmark::DoNotOptimize(Policy::admitByFraction(gates[i % gates.size()], workspace,
                                                         static_cast<int>(i % 3), now));
        ++i;
    }
}
BENCHMARK(admitByQuota)->Apply(workspaces);

/// One update of every pool, as the root of the quota tree does when a report arrives.
void updateQuotaPools(benchmark::State &state)
{
    const auto index = workspacesWithTwoKeys(state.range(0));
    std::vector<Policy::QuotaPool> pools(index.all().size());
    Model::SteadyTime now{std::chrono::seconds(1)};
    for (auto _ : state) {
        now += Model::Milliseconds(200);
        for (std::size_t i = 0; i < pools.size(); ++i) {
            benchmark::DoNotOptimize(
                Policy::updateQuotaPool(pools[i], index.all()[i], 1, {10, 10}, now));
        }
    }
}
BENCHMARK(updateQuotaPools)->Apply(workspaces)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
