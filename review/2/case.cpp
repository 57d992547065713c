// A planned stop of one machine while callers have sent further safe requests before the first was
// answered.
//
// Two instances, four workers. Thirty callers at the first instance send three safe requests at
// once on a kept connection and wait for the three answers. SIGTERM reaches the instance while the
// workers are at work on them. With TROUBLE=0 there is no SIGTERM.
#include "../standins.h"

using namespace review;

namespace {

constexpr int callersOfEach = 30;
constexpr int requestsAtOnce = 3;
constexpr int workMs = 480;
constexpr int timeoutMs = 2500;
constexpr int stopAfterMs = 200;
constexpr const char *host = "ficu95.example";
constexpr const char *bounds
    = "seedLagS=3,reuseAfterS=2,contactMs=4000,ackMs=5000,catchUpS=4,drainMs=2500,graceS=6,"
      "lossSlackMs=200,configApplyMs=2500,rollbackSlackMs=250,outerMs=6000,budgetRatio=0.2,"
      "budgetWindowS=10,budgetExtra=64,coldMultiplier=1.5,coldSlack=5,evacuateMs=5000,"
      "recoverS=15,ttl_max_s=5,maxShift=0.15";

const json config
    = {{"version", "00000007"},
       {"services", json::array({{{"name", "gauging"},
                                  {"healthPath", "/health"},
                                  {"maxConns", 390},
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
                               {"paths", json::array({{{"name", "r-level"},
                                                       {"prefix", "/level/"},
                                                       {"kind", "safe"},
                                                       {"timeoutMs", timeoutMs},
                                                       {"targetLatencyMs", 400},
                                                       {"priority", 2},
                                                       {"service", "gauging"},
                                                       {"maxAttempts", 2},
                                                       {"sticky", false},
                                                       {"homeRegions", json::array()}}})}}})}};

std::atomic<int> nextId = 1;

std::string newId()
{
    char text[32];
    std::snprintf(text, sizeof text, "%016x", nextId++);
    return text;
}

struct Outcome
{
    int sent_ = 0;
    int answered_ = 0;
    int passedOn_ = 0;
    int lost_ = 0;
};

/// Sends the requests at once and reads their answers.
Outcome sendAtOnce(const Node &node, int fd, Reader &reader, Runs &runs, Record &record)
{
    Outcome outcome;
    std::vector<std::string> ids;
    std::string text;
    for (int i = 0; i < requestsAtOnce; ++i) {
        ids.push_back(newId());
        text += "GET /level/" + std::to_string(i) + " HTTP/1.1\r\nHost: " + host
                + "\r\nX-Cassiacrank-Request-Id: " + ids.back()
                + "\r\nX-Cassiacrank-Deadline-Ms: 2500\r\n\r\n";
    }
    record.line("caller sends %s, %s, %s to %s", ids[0].c_str(), ids[1].c_str(), ids[2].c_str(),
                node.name().c_str());
    const auto sentAt = nowMs();
    outcome.sent_ = requestsAtOnce;
    if (!sendAll(fd, text))
        return outcome;
    const auto until = Clock::now() + Ms(4000);
    Read read = Read::Ok;
    for (const auto &id : ids) {
        Message answer;
        if (read == Read::Ok)
            read = reader.read(answer, until);
        if (read == Read::Ok) {
            const bool isOwn = answer.field("x-cassiacrank-request-id") == id;
            record.line("caller gets %d for %s%s%s", answer.status(), id.c_str(),
                        isOwn ? "" : " of another request",
                        answer.field("connection") == "close" ? ", Connection: close" : "");
            ++outcome.answered_;
            continue;
        }
        const bool wasPassedOn = runs.begun(id) > 0;
        const bool wasFinished = runs.finished(id) > 0;
        outcome.passedOn_ += wasPassedOn ? 1 : 0;
        // As the rule says: the connection has ended, before the route's timeout.
        const bool isLost = wasPassedOn && (read == Read::Closed || read == Read::Reset)
                            && nowMs() - sentAt < timeoutMs;
        outcome.lost_ += isLost ? 1 : 0;
        record.line("connection %s without an answer to %s: %s%s", nameOf(read), id.c_str(),
                    isLost ? "LOST, it was passed on to a worker" : "not counted",
                    wasFinished ? " that has finished it" : "");
    }
    return outcome;
}

} // namespace

int main(int, char **argv)
{
    setpgid(0, 0);
    const std::string folder = temporaryFolder();
    Record record(argv[1]);
    Store store;
    Runs runs;
    std::vector<std::unique_ptr<Worker>> workers;
    const std::vector<Place> zones = {{"koper-a", "primorska"}, {"koper-b", "primorska"}};
    for (int i = 0; i < 28; ++i) {
        char id[16];
        std::snprintf(id, sizeof id, "i-%08d", i);
        workers.push_back(std::make_unique<Worker>(store, runs, record, id, "gauging",
                                                   zones[i % 2].zone_, 6, [](const Message &) {
                                                       return Work{workMs, 600};
                                                   }));
    }
    store.put("op", "config", config.dump());
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<int> seeds;
    for (const auto &zone : zones) {
        nodes.push_back(std::make_unique<Node>(folder, "front-" + zone.zone_ + "-1", zone, zones,
                                               store.port(), bounds));
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
    // The machines are in touch after 4 s without a disruption.
    sleepMs(5000);

    std::mutex mutex;
    Outcome all;
    std::vector<std::thread> callers;
    for (int i = 0; i < callersOfEach; ++i) {
        callers.emplace_back([&, i] {
            sleepMs(i * 5);
            const int fd = connectTo(nodes[0]->entry());
            Reader reader(fd);
            // The first ones are answered before the SIGTERM: the connection is a kept one.
            for (int round = 0; round < 2; ++round) {
                const Outcome outcome = sendAtOnce(*nodes[0], fd, reader, runs, record);
                const std::lock_guard lock(mutex);
                all.sent_ += outcome.sent_;
                all.answered_ += outcome.answered_;
                all.lost_ += outcome.lost_;
                if (outcome.answered_ < requestsAtOnce)
                    break;
            }
            close(fd);
        });
    }
    sleepMs(2 * workMs - 250 + stopAfterMs);
    if (hasTrouble()) {
        record.line("SIGTERM to %s", nodes[0]->name().c_str());
        nodes[0]->signal(SIGTERM);
    }
    for (auto &caller : callers)
        caller.join();
    for (const auto &node : nodes)
        node->stop();
    record.line("sent %d, answered %d, LOST %d (rule: none around a SIGTERM)", all.sent_,
                all.answered_, all.lost_);
    std::filesystem::remove_all(folder);
    std::printf("sent %d, answered %d, LOST %d\n", all.sent_, all.answered_, all.lost_);
    std::fflush(stdout);
    _exit(all.lost_ > 0 ? ruleBroken : ruleHeld);
}
