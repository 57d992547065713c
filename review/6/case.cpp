// A configuration that the store has accepted moves one route and gives another one a longer
// time-out.
#include "../standins-2.h"

using namespace review;

namespace {

constexpr int workersOfService = 3;
constexpr int clients = 6;
constexpr int configApplyMs = 2500;
constexpr int outerMs = 6000;
/// How long requests are sent after the new version had to be in force.
constexpr int watchMs = 20000;

class Worker
{
public:
    Worker(std::string id, std::string service, Record &record)
        : id_(std::move(id))
        , service_(std::move(service))
        , record_(record)
        , listener_([this](Link &link) {
            serve(link);
        })
    {
    }
    const std::string &id() const { return id_; }
    const std::string &service() const { return service_; }
    std::string address() const { return listener_.address(); }

private:
    void serve(Link &link)
    {
        Message request;
        while (link.read(request, Clock::now() + std::chrono::seconds(10))) {
            const std::string id = request.field("x-cassiacrank-request-id");
            const std::string common = "X-Cassiacrank-Request-Id: " + id + "\r\n";
            if (request.field("x-cassiacrank-expect-instance") != id_) {
                link.send("HTTP/1.1 421 Misdirected Request\r\n" + common + "Content-Length: 0\r\n\r\n");
                continue;
            }
            record_.line(id_ + " of " + service_ + " runs " + id);
            pause(20);
            if (!link.send("HTTP/1.1 200 OK\r\n" + common + "X-Cassiacrank-Server-Stamp: " + service_
                           + "." + id_ + "\r\nX-Cassiacrank-Server-Load: 1,0,6\r\nContent-Length: 4\r\n\r\ndone"))
                return;
        }
    }

    const std::string id_;
    const std::string service_;
    Record &record_;
    Listener listener_;
};

/// Version 1 sends valve-release to gauging. Version 2 moves it to transfers and changes the
/// time-out of the reports.
std::string version(int number, int reportTimeoutMs)
{
    const bool isMoved = number > 1;
    return configuration(number,
                         json::array({routeEntry("valve-release", "/valve/", "unsafe",
                                                 isMoved ? "transfers" : "gauging", 1200, 300),
                                      routeEntry("report", "/report/", "safe", "gauging",
                                                 reportTimeoutMs, 1000)}),
                         {"gauging", "transfers"});
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        return couldNotRun;
    signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    Record record(argv[1]);
    record.line(hasTrouble ? "with the disruption" : "without the disruption");
    Store store;
    store.put("op", "config", version(1, 1200));
    std::vector<std::unique_ptr<Worker>> workers;
    for (const char *service : {"gauging", "transfers"}) {
        for (int i = 1; i <= workersOfService; ++i) {
            workers.push_back(std::make_unique<Worker>(std::string("i-") + service + std::to_string(i),
                                                       service, record));
            store.put("servers", workers.back()->id(),
                      registration(workers.back()->address(), service, "zone-a", 6));
        }
    }
    std::vector<std::unique_ptr<Instance>> instances;
    for (int i = 1; i <= 3; ++i) {
        InstanceSetup setup;
        setup.name_ = "front-a-" + std::to_string(i);
        setup.store_ = store.address();
        if (!instances.empty())
            setup.seeds_ = {instances.front()->control()};
        instances.push_back(std::make_unique<Instance>(setup, argv[2]));
    }
    for (const auto &instance : instances)
        instance->start();
    for (const auto &instance : instances) {
        if (!instance->waitUntilReady(20)) {
            record.line("an instance did not become ready");
            return couldNotRun;
        }
    }
    pause(8000);

    std::mutex mutex;
    std::atomic<bool> isOver{false};
    std::atomic<bool> isBinding{false};
    int before = 0;
    int byOldService = 0;
    int byNewService = 0;
    int others = 0;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            std::unique_ptr<Link> link;
            for (int number = 0; !isOver; ++number) {
                if (!link)
                    link = connectTo(instances[client % instances.size()]->front());
                const std::string id = "r-" + std::to_string(client) + "-" + std::to_string(number);
                const bool isBound = isBinding;
                Message answer;
                const bool isAnswered
                    = link
                      && link->send("PUT /valve/7 HTTP/1.1\r\nHost: site.example\r\n"
                                    "X-Cassiacrank-Request-Id: " + id
                                    + "\r\nX-Cassiacrank-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n")
                      && link->read(answer, Clock::now() + Ms(2000));
                const std::string stamp = answer.field("x-cassiacrank-server-stamp");
                record.line("client sends " + id + ", gets "
                            + std::to_string(isAnswered ? answer.status() : 0) + " " + stamp);
                {
                    const std::lock_guard lock(mutex);
                    if (!isBound)
                        ++before;
                    else if (stamp.starts_with("gauging."))
                        ++byOldService;
                    else if (stamp.starts_with("transfers."))
                        ++byNewService;
                    else
                        ++others;
                }
                if (!isAnswered || answer.field("connection") == "close")
                    link.reset();
                pause(100);
            }
        });
    }
    pause(3000);
    const int timeoutMs = hasTrouble ? 900000 : 600000;
    record.line("the store acknowledges version 2: valve-release goes to transfers, report has a time-out of "
                + std::to_string(timeoutMs) + " ms");
    store.put("op", "config", version(2, timeoutMs));
    // The store is stable throughout; outerMs is added all the same.
    pause(configApplyMs + outerMs);
    record.line("version 2 binds");
    isBinding = true;
    pause(watchMs);
    isOver = true;
    for (auto &thread : threads)
        thread.join();
    // Not part of the verdict: what an instance does that starts again under this configuration.
    instances.front()->kill();
    instances.front()->start();
    const bool isBack = instances.front()->waitUntilReady(15);
    record.line(std::string("an instance that was killed and started again is ready within 15 s: ")
                + (isBack ? "yes" : "no"));
    for (const auto &instance : instances)
        instance->kill();

    const std::string summary
        = "sent before version 2 bound: " + std::to_string(before)
          + "; sent later and run by the old service: " + std::to_string(byOldService)
          + ", by the new one: " + std::to_string(byNewService) + ", not run: "
          + std::to_string(others) + "; ready again after a kill: " + (isBack ? "yes" : "no");
    record.line(summary);
    std::printf("%s\n", summary.c_str());
    std::fflush(stdout);
    if (byOldService + byNewService < 50)
        _exit(couldNotRun);
    _exit(byOldService > 0 ? ruleBroken : ruleHeld);
}
