// One machine of a large deployment gets SIGTERM. Requests that it still accepts and passes on are
// cut off long before its grace time is over.
#include "../standins-2.h"

using namespace review;

namespace {

/// The bounds of koper-tanks-large, as the platform fills them into deploy/settings.ini.
constexpr const char *bounds
    = R"({"seedLagS":3,"reuseAfterS":2,"contactMs":5000,"ackMs":8000,"catchUpS":6,"drainMs":4000,)"
      R"("graceS":10,"lossSlackMs":200,"configApplyMs":4000,"rollbackSlackMs":250,"outerMs":8000,)"
      R"("budgetRatio":0.2,"budgetWindowS":10,"budgetExtra":430,"coldMultiplier":1.5,"coldSlack":10,)"
      R"("evacuateMs":5000,"recoverS":15,"ttl_max_s":5,"maxShift":0.15})";
constexpr double graceS = 10;
constexpr double lastSixthS = graceS * 5 / 6;
/// custody-post of that site: work of 2,880 ms in the mean and 8,640 ms at most, a time-out of
/// 4,000 ms, a deadline of 12,000 ms.
constexpr int workMs = 3700;
constexpr int timeoutMs = 4000;
constexpr int deadlineMs = 12000;
constexpr int workerCount = 4;
constexpr int requests = 24;

struct Request
{
    double sentS_ = 0;
    double endS_ = 0;
    int status_ = 0;
};

struct Runs
{
    std::mutex mutex_;
    /// When each request began and was finished.
    std::map<std::string, std::pair<double, double>> times_;
};

class Worker
{
public:
    Worker(std::string id, Runs &runs, Record &record)
        : id_(std::move(id))
        , runs_(runs)
        , record_(record)
        , listener_([this](Link &link) {
            serve(link);
        })
    {
    }
    const std::string &id() const { return id_; }
    std::string address() const { return listener_.address(); }

private:
    void serve(Link &link)
    {
        Message request;
        while (link.read(request, Clock::now() + std::chrono::seconds(15))) {
            const std::string id = request.field("x-cassiacrank-request-id");
            const std::string common = "X-Cassiacrank-Request-Id: " + id + "\r\n";
            if (request.field("x-cassiacrank-expect-instance") != id_) {
                link.send("HTTP/1.1 421 Misdirected Request\r\n" + common + "Content-Length: 0\r\n\r\n");
                continue;
            }
            record_.line(id_ + " runs " + id);
            {
                const std::lock_guard lock(runs_.mutex_);
                runs_.times_[id] = {secondsNow(), 0};
            }
            pause(workMs);
            {
                const std::lock_guard lock(runs_.mutex_);
                runs_.times_[id].second = secondsNow();
            }
            record_.line(id_ + " has finished " + id);
            if (!link.send("HTTP/1.1 200 OK\r\n" + common + "X-Cassiacrank-Server-Stamp: stamp-" + id_
                           + "\r\nX-Cassiacrank-Server-Load: 1,0,6\r\nContent-Length: 4\r\n\r\ndone"))
                return;
        }
    }

    const std::string id_;
    Runs &runs_;
    Record &record_;
    Listener listener_;
};

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
    Runs runs;
    store.put("op", "config",
              configuration(1, json::array({routeEntry("custody-post", "/custody/", "unsafe", "gauging",
                                                       timeoutMs, 1500)}),
                            {"gauging"}));
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 1; i <= workerCount; ++i) {
        workers.push_back(std::make_unique<Worker>("i-" + std::to_string(i), runs, record));
        store.put("servers", workers.back()->id(),
                  registration(workers.back()->address(), "gauging", "zone-a", 6));
    }
    std::vector<std::unique_ptr<Instance>> instances;
    for (int i = 1; i <= 3; ++i) {
        InstanceSetup setup;
        setup.name_ = "front-a-" + std::to_string(i);
        setup.store_ = store.address();
        setup.bounds_ = bounds;
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
    // Traffic starts 10 s after the machines do on that site, and contactMs is 5,000.
    pause(10000);

    Instance &stopped = *instances[1];
    // The clients' look-up, just before the SIGTERM, at another machine.
    Message lookup;
    const auto directory = connectTo(instances[0]->lookup());
    const std::string front = "127.0.0.1:" + std::to_string(stopped.front());
    if (!directory
        || !directory->send("GET /-/resolve?name=site.example&region=region-a&zone=zone-a HTTP/1.1\r\n"
                            "Host: directory\r\n\r\n")
        || !directory->read(lookup, Clock::now() + Ms(1000))
        || lookup.body_.find(front) == std::string::npos) {
        record.line("the look-up does not name front-a-2");
        return couldNotRun;
    }
    record.line("the clients' look-up: " + lookup.body_ + "; front-a-2 is at " + front);
    const double stopS = secondsNow();
    std::atomic<double> endedS{0};
    int exitStatus = 0;
    std::thread watcher;
    if (hasTrouble) {
        record.line("front-a-2 gets SIGTERM");
        stopped.signal(SIGTERM);
        watcher = std::thread([&] {
            if (!stopped.waitUntilEnded(static_cast<int>(graceS * 1000), exitStatus)) {
                record.line("front-a-2 is killed at the end of its grace time");
                stopped.kill();
            } else {
                record.line("front-a-2 has ended by itself");
            }
            endedS = secondsNow();
        });
    }
    // Clients keep the look-up for its ttlS, some of them three times as long (4.5 s), and open new
    // connections to its addresses.
    std::mutex mutex;
    std::map<std::string, Request> sent;
    std::vector<std::thread> threads;
    pause(1800);
    for (int number = 0; number < requests; ++number) {
        threads.emplace_back([&, number] {
            const std::string id = "r-" + std::to_string(number);
            const auto link = connectTo(stopped.front());
            if (!link) {
                record.line("no connection for " + id);
                return;
            }
            Request request;
            request.sentS_ = secondsNow();
            record.line("client sends " + id);
            Message answer;
            const bool isAnswered
                = link->send("POST /custody/7 HTTP/1.1\r\nHost: site.example\r\n"
                             "X-Cassiacrank-Request-Id: " + id + "\r\nX-Cassiacrank-Deadline-Ms: "
                             + std::to_string(deadlineMs) + "\r\nContent-Length: 2\r\n\r\nok")
                  && link->read(answer, Clock::now() + Ms(deadlineMs));
            request.status_ = isAnswered ? answer.status() : 0;
            request.endS_ = secondsNow();
            record.line(isAnswered ? "client gets " + std::to_string(request.status_) + " for " + id
                                   : "the connection of " + id + " ends without an answer");
            const std::lock_guard lock(mutex);
            sent[id] = request;
        });
        pause(25);
    }
    for (auto &thread : threads)
        thread.join();
    if (watcher.joinable())
        watcher.join();
    pause(2000);
    for (const auto &instance : instances)
        instance->kill();

    // LOST around a SIGTERM: passed on to a worker, and the connection ends without an answer.
    // Excused: the route's time-out was reached, or the worker was still at work in the last sixth
    // of graceS.
    int lost = 0;
    int answered = 0;
    const std::lock_guard lock(runs.mutex_);
    for (const auto &[id, request] : sent) {
        answered += request.status_ == 200 ? 1 : 0;
        const auto run = runs.times_.find(id);
        if (request.status_ != 0 || run == runs.times_.end())
            continue;
        const bool isTimedOut = request.endS_ - request.sentS_ >= timeoutMs / 1000.0;
        const double finishedS = run->second.second;
        const bool isLate = finishedS == 0 || finishedS - stopS >= lastSixthS;
        if (isTimedOut || isLate)
            continue;
        ++lost;
        char text[160];
        std::snprintf(text, sizeof text,
                      "LOST: %s, sent %.2f s after the SIGTERM, cut at %.2f s, finished by its worker at %.2f s",
                      id.c_str(), request.sentS_ - stopS, request.endS_ - stopS, finishedS - stopS);
        record.line(text);
    }
    char text[200];
    std::snprintf(text, sizeof text,
                  "sent %zu, answered with 200 %d, lost %d; the stopped process ended after %.2f s of %.0f",
                  sent.size(), answered, lost, hasTrouble ? endedS - stopS : 0.0, graceS);
    record.line(text);
    std::printf("%s\n", text);
    std::fflush(stdout);
    if (sent.size() < requests / 2)
        _exit(couldNotRun);
    _exit(lost > 0 ? ruleBroken : ruleHeld);
}
