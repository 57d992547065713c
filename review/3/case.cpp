// A large safe request at a worker that has turned slow.
//
// Two instances of 260 MB, twenty workers that report their pace, 24 callers with kept connections
// at each instance. On each instance one more caller sends safe requests with a body of 67 MB, one
// after the other. Two fifths of the workers work twelve times as long for 9 s, three times; with
// TROUBLE=0 none does. The platform stand-in kills a process whose resident memory exceeds its
// memoryMb.
#include "../standins.h"

using namespace review;

namespace {

constexpr int callersOfEach = 24;
constexpr int memoryMb = 260;
/// Just below maxBodyBytes.
constexpr std::size_t largeBody = 67'000'000;
/// The largest dose of srv_slow in the site files: share 0.4, x 12, for 9 s.
constexpr int slowness = 12;
constexpr int slowForMs = 9000;
constexpr int pauseMs = 5000;
constexpr int slowPhases = 3;
constexpr long long contactMs = 4000;
constexpr const char *host = "ficu95.example";
constexpr const char *bounds
    = "seedLagS=3,reuseAfterS=2,contactMs=4000,ackMs=6000,catchUpS=6,drainMs=4000,graceS=6,"
      "lossSlackMs=200,configApplyMs=4000,rollbackSlackMs=250,outerMs=6000,budgetRatio=0.2,"
      "budgetWindowS=10,budgetExtra=216,coldMultiplier=1.5,coldSlack=8,evacuateMs=5000,"
      "recoverS=15,ttl_max_s=5,maxShift=0.15";

const json config
    = {{"version", "00000007"},
       {"services", json::array({{{"name", "saldos"},
                                  {"healthPath", "/health"},
                                  {"maxConns", 1770},
                                  {"protocol", "h1"},
                                  {"tls", false},
                                  {"coldStartS", 3.0},
                                  {"coldPerS", 11.0}}})},
       {"limits",
        {{"maxHeaderBytes", 16384},
         {"maxBodyBytes", 67108864},
         {"headerTimeoutMs", 3000},
         {"idleTimeoutMs", 15000}}},
       {"hosts", json::array({{{"host", host},
                               {"paths", json::array({{{"name", "r-saldo"},
                                                       {"prefix", "/saldo/"},
                                                       {"kind", "safe"},
                                                       {"timeoutMs", 10000},
                                                       {"targetLatencyMs", 4000},
                                                       {"priority", 2},
                                                       {"service", "saldos"},
                                                       {"maxAttempts", 2},
                                                       {"sticky", false},
                                                       {"homeRegions", json::array()}},
                                                      {{"name", "r-pago"},
                                                       {"prefix", "/pago/"},
                                                       {"kind", "unsafe"},
                                                       {"timeoutMs", 10000},
                                                       {"targetLatencyMs", 4000},
                                                       {"priority", 1},
                                                       {"service", "saldos"},
                                                       {"maxAttempts", 2},
                                                       {"sticky", false},
                                                       {"homeRegions", json::array()}}})}}})}};

std::string requestText(const std::string &first, const std::string &id, int deadlineMs,
                        const std::string &more)
{
    return first + " HTTP/1.1\r\nHost: " + host + "\r\nX-Cassiacrank-Request-Id: " + id
           + "\r\nX-Cassiacrank-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + more
           + "\r\n";
}

bool turnsSlow(int worker)
{
    return worker % 5 < 2;
}

std::atomic<bool> isOver = false;
std::atomic<int> answered = 0;
std::atomic<int> nextId = 1;

std::string newId()
{
    char text[32];
    std::snprintf(text, sizeof text, "%016x", nextId++);
    return text;
}

/// Sends payouts on a kept connection, one after the other.
void callerLoop(Node &node, Runs &runs, Record &record)
{
    while (!isOver) {
        const int fd = connectTo(node.entry());
        if (fd < 0) {
            sleepMs(100);
            continue;
        }
        Reader reader(fd);
        bool isOpen = true;
        bool isKept = false;
        while (isOpen && !isOver) {
            const std::string id = newId();
            record.line("caller sends %s to %s", id.c_str(), node.name().c_str());
            const auto sentAt = nowMs();
            Message answer;
            Read read = Read::Reset;
            if (sendAll(fd,
                        requestText("POST /pago/7", id, 10000, "Content-Length: 4\r\n") + "body"))
                read = reader.read(answer, Clock::now() + Ms(11000));
            if (read == Read::Ok) {
                record.line("caller gets %d for %s", answer.status(), id.c_str());
                ++answered;
                isKept = true;
                isOpen = answer.field("connection") != "close";
                if (answer.status() != 200)
                    sleepMs(300);
                continue;
            }
            isOpen = false;
            // Only workers that never turn slow count as sound.
            const std::string worker = runs.worker(id);
            const bool wasPassedOn = !worker.empty() && !turnsSlow(worker.back() - '0');
            // As the rule says: on a kept connection, by a machine in touch, and closed.
            const bool isLost = wasPassedOn && isKept && node.wasInTouch(sentAt, contactMs)
                                && (read == Read::Closed || read == Read::Reset);
            node.lost_ += isLost ? 1 : 0;
            record.line("caller's connection ends (%s) without an answer to %s, %s", nameOf(read),
                        id.c_str(),
                        isLost        ? "LOST"
                        : wasPassedOn ? "passed on, not counted"
                                      : "not passed on to a sound worker");
        }
        close(fd);
        sleepMs(100);
    }
}

/// Sends one large safe request. Returns its status; 0 if its connection ended.
int sendLarge(Node &node, Record &record)
{
    const int fd = connectTo(node.entry());
    if (fd < 0)
        return 0;
    const std::string id = newId();
    record.line("large %s to %s", id.c_str(), node.name().c_str());
    static const std::string body(largeBody, 'b');
    Reader reader(fd);
    Message answer;
    int status = 0;
    if (sendAll(fd, requestText("POST /saldo/1", id, 10000,
                                "Content-Length: " + std::to_string(largeBody) + "\r\n"))
        && sendAll(fd, body) && reader.read(answer, Clock::now() + Ms(11000)) == Read::Ok)
        status = answer.status();
    record.line("large %s: status %d", id.c_str(), status);
    close(fd);
    return status;
}

} // namespace

int main(int, char **argv)
{
    setpgid(0, 0);
    const std::string folder = temporaryFolder();
    Record record(argv[1]);
    Store store;
    Runs runs;
    std::atomic<bool> isSlow = false;
    std::vector<std::unique_ptr<Worker>> workers;
    const std::vector<Place> zones = {{"lima-a", "lima"}, {"lima-b", "lima"}};
    for (int i = 0; i < 20; ++i) {
        const bool isAffected = turnsSlow(i);
        workers.push_back(std::make_unique<Worker>(
            store, runs, record, "i-000000" + std::to_string(i), "saldos", zones[i % 2].zone_, 9,
            [&isSlow, isAffected](const Message &) {
                const int usual = 700;
                return Work{isAffected && isSlow ? usual * slowness : usual, 600, true};
            }));
    }
    store.put("op", "config", config.dump());
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<int> seeds;
    for (const auto &zone : zones) {
        nodes.push_back(std::make_unique<Node>(folder, "front-" + zone.zone_ + "-1", zone, zones,
                                               store.port(), bounds,
                                               Limits{0.2, memoryMb, 4100, 1000}));
        seeds.push_back(nodes.back()->control());
    }
    bool canRun = true;
    for (const auto &node : nodes)
        canRun = canRun && node->start(seeds);
    for (const auto &node : nodes)
        canRun = canRun && node->waitUntilReady(10000);
    if (!canRun) {
        for (const auto &node : nodes)
            node->stop();
        record.line("the processes did not start");
        return notRun;
    }
    record.line("ready; trouble %d", hasTrouble() ? 1 : 0);

    std::vector<std::thread> callers;
    for (const auto &node : nodes) {
        for (int i = 0; i < callersOfEach; ++i)
            callers.emplace_back(callerLoop, std::ref(*node), std::ref(runs), std::ref(record));
    }
    // The machines are in touch after 4 s without a disruption, and have learned the usual times.
    sleepMs(8000);
    std::vector<int> ends(nodes.size(), 0);
    std::vector<int> largeAnswered(nodes.size(), 0);
    std::atomic<int> mostMb = 0;
    std::vector<std::thread> perNode;
    const auto until = Clock::now() + Ms(slowPhases * (pauseMs + slowForMs) + pauseMs);
    perNode.emplace_back([&] {
        for (int phase = 0; phase < slowPhases; ++phase) {
            sleepMs(pauseMs);
            isSlow = hasTrouble();
            record.line("workers are slow: %d", isSlow ? 1 : 0);
            sleepMs(slowForMs);
            isSlow = false;
            record.line("workers are as usual");
        }
    });
    for (std::size_t n = 0; n < nodes.size(); ++n) {
        perNode.emplace_back([&, n] {
            while (Clock::now() < until) {
                const int status = sendLarge(*nodes[n], record);
                largeAnswered[n] += status == 200 ? 1 : 0;
                sleepMs(1000);
            }
        });
        perNode.emplace_back([&, n] {
            Node &node = *nodes[n];
            while (Clock::now() < until) {
                const int mb = node.residentMb();
                mostMb = std::max(mostMb.load(), mb);
                if (mb > memoryMb) {
                    ++ends[n];
                    record.line("%s has %d MB of %d: the platform kills it", node.name().c_str(),
                                mb, memoryMb);
                    node.stop();
                    sleepMs(500);
                    node.start(seeds);
                    node.waitUntilReady(10000);
                }
                sleepMs(5);
            }
        });
    }
    for (auto &thread : perNode)
        thread.join();
    isOver = true;
    for (auto &thread : callers)
        thread.join();
    for (const auto &node : nodes)
        node->stop();

    int machinesWithThreeEnds = 0;
    for (const int count : ends)
        machinesWithThreeEnds += count >= 3 ? 1 : 0;
    // The rule is about a machine.
    const bool isLostBroken = nodes[0]->lost_ > 3 || nodes[1]->lost_ > 3;
    const bool isFaultBroken = machinesWithThreeEnds >= 2;
    char summary[256];
    std::snprintf(
        summary, sizeof summary,
        "answered %d, LOST %d and %d, ends %d and %d, large answers %d and %d, most memory %d "
        "MB of %d",
        answered.load(), nodes[0]->lost_.load(), nodes[1]->lost_.load(), ends[0], ends[1],
        largeAnswered[0], largeAnswered[1], mostMb.load(), memoryMb);
    record.line("%s", summary);
    std::filesystem::remove_all(folder);
    std::puts(summary);
    std::fflush(stdout);
    _exit(isLostBroken || isFaultBroken ? ruleBroken : ruleHeld);
}
