// Stand-ins for the platform's store, the workers and the clients, and the processes under test.
// They follow the users' PROTOCOL.md and DEPLOY.md; only what the cases need is implemented.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point startedAt = Clock::now();

inline long long nowMs()
{
    return std::chrono::duration_cast<Ms>(Clock::now() - startedAt).count();
}

inline void sleepMs(long long ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

/// Writes record.txt: one line an event, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(std::fopen(path.c_str(), "w"))
    {
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard lock(mutex_);
        if (!file_)
            return;
        std::fprintf(file_, "%7lld ", nowMs());
        va_list args;
        va_start(args, format);
        std::vfprintf(file_, format, args);
        va_end(args);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    FILE *file_;
};

// --- sockets and HTTP ---

/// Returns a free port below the range from which the system takes those of outgoing connections.
inline int freePort()
{
    static std::mutex mutex;
    static int next = 15000 + static_cast<int>(getpid() * 37 % 12000);
    std::lock_guard lock(mutex);
    for (int tries = 0; tries < 5000; ++tries) {
        const int port = next++;
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(fd);
        if (isFree)
            return port;
    }
    return 0;
}

inline int listenOn(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 1024) != 0)
        return -1;
    return fd;
}

/// Returns a connected socket, or -1. A \a receiveBuffer above zero bounds the receive window, and
/// the segments are then those of an Ethernet: the loopback's 64 kB make the sender's buffer larger
/// than any answer.
inline int connectTo(int port, int receiveBuffer = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        const int segment = 1448;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

struct Message
{
    std::string first_;
    std::map<std::string, std::string> fields_; // lower-case names
    std::string body_;
    std::string field(const std::string &name) const
    {
        const auto found = fields_.find(name);
        return found == fields_.end() ? "" : found->second;
    }
    int status() const { return first_.size() > 12 ? std::atoi(first_.c_str() + 9) : 0; }
    std::string method() const { return first_.substr(0, first_.find(' ')); }
    std::string target() const
    {
        const auto from = first_.find(' ') + 1;
        return first_.substr(from, first_.find(' ', from) - from);
    }
};

enum class Read { Ok, Closed, Reset, TimedOut, Garbled };

/// Reads HTTP messages from a connection. After each received piece it waits paceMs_, if set.
class Reader
{
public:
    explicit Reader(int fd)
        : fd_(fd)
    {
    }

    Read read(Message &message, Clock::time_point until)
    {
        std::size_t headEnd;
        while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
            const Read more = fill(until);
            if (more != Read::Ok)
                return more;
        }
        message = Message();
        std::istringstream head(buffer_.substr(0, headEnd));
        std::getline(head, message.first_);
        if (!message.first_.empty() && message.first_.back() == '\r')
            message.first_.pop_back();
        for (std::string line; std::getline(head, line);) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                return Read::Garbled;
            std::string name = line.substr(0, colon);
            for (char &c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            const auto from = line.find_first_not_of(' ', colon + 1);
            message.fields_[name] = from == std::string::npos ? "" : line.substr(from);
        }
        buffer_.erase(0, headEnd + 4);
        if (message.status() == 100)
            return Read::Ok;
        const auto length = static_cast<std::size_t>(
            std::strtoull(message.field("content-length").c_str(), nullptr, 10));
        while (buffer_.size() < length) {
            const Read more = fill(until);
            if (more != Read::Ok)
                return more;
        }
        message.body_ = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return Read::Ok;
    }

    /// Waits until bytes of a message have arrived.
    Read waitForBytes(Clock::time_point until) { return buffer_.empty() ? fill(until) : Read::Ok; }

    int paceMs_ = 0;
    std::size_t pieceBytes_ = 65536;

private:
    Read fill(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        pollfd waiting{fd_, POLLIN, 0};
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return Read::TimedOut;
        std::vector<char> piece(pieceBytes_);
        const auto n = recv(fd_, piece.data(), piece.size(), 0);
        if (n == 0)
            return Read::Closed;
        if (n < 0)
            return Read::Reset;
        buffer_.append(piece.data(), static_cast<std::size_t>(n));
        if (paceMs_ > 0)
            sleepMs(paceMs_);
        return Read::Ok;
    }

    int fd_;
    std::string buffer_;
};

inline const char *nameOf(Read read)
{
    switch (read) {
    case Read::Ok:
        return "ok";
    case Read::Closed:
        return "closed";
    case Read::Reset:
        return "reset";
    case Read::TimedOut:
        return "timed out";
    case Read::Garbled:
        break;
    }
    return "garbled";
}

/// Calls \a serve in a thread of its own for each connection to \a port.
inline void serveOn(int port, std::function<void(int)> serve)
{
    const int listener = listenOn(port);
    std::thread([listener, serve] {
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, serve] {
                serve(fd);
                close(fd);
            }).detach();
        }
    }).detach();
}

// --- the platform's store ---

inline std::string encodeBase64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned long chunk = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            chunk <<= 8U;
            chunk |= i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U;
        }
        for (std::size_t j = 0; j < 4; ++j) {
            const bool isPadding = i + j > text.size();
            out += isPadding ? '=' : digits[(chunk >> (18 - 6 * j)) & 63U];
        }
    }
    return out;
}

/// The store of PROTOCOL.md with the calls rows-get, rows-feed and rows-tx.
class Store
{
public:
    Store()
        : port_(freePort())
    {
        serveOn(port_, [this](int fd) {
            serve(fd);
        });
    }
    int port() const { return port_; }

    void put(const std::string &table, const std::string &key, const std::string &text)
    {
        std::lock_guard lock(mutex_);
        tables_[table][key] = {encodeBase64(text), ++version_, false};
        changed_.notify_all();
    }

private:
    struct Row
    {
        std::string value_;
        std::uint64_t version_ = 0;
        bool isRemoved_ = false;
    };

    static std::string query(const std::string &target, const std::string &name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos)
            return "";
        const auto from = at + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }

    json rowsAfter(const std::string &table, std::uint64_t after, bool isFeed)
    {
        std::vector<std::pair<std::uint64_t, json>> found;
        for (const auto &[key, row] : tables_[table]) {
            if (row.version_ <= after || (row.isRemoved_ && !isFeed))
                continue;
            json item = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version_}};
            if (row.isRemoved_) {
                item["tombstone"] = true;
            } else {
                item["value"] = row.value_;
            }
            found.emplace_back(isFeed ? row.version_ : 0, std::move(item));
        }
        if (isFeed)
            std::sort(found.begin(), found.end(), [](const auto &a, const auto &b) {
                return a.first < b.first;
            });
        json rows = json::array();
        for (auto &[version, item] : found)
            rows.push_back(std::move(item));
        return rows;
    }

    std::string answer(const Message &message, int &status)
    {
        std::unique_lock lock(mutex_);
        const std::string target = message.target();
        json body = json::object();
        if (target.starts_with("/-/rows-get")) {
            body["rows"] = rowsAfter(query(target, "table"), 0, false);
            body["hasMore"] = false;
        } else if (target.starts_with("/-/rows-feed")) {
            const auto table = query(target, "table");
            const auto after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
            const auto wait = std::atoll(query(target, "waitMs").c_str());
            changed_.wait_for(lock, Ms(wait), [&] {
                return !rowsAfter(table, after, true).empty();
            });
            body["rows"] = rowsAfter(table, after, true);
        } else if (target.starts_with("/-/rows-tx")) {
            const json call = json::parse(message.body_);
            ++version_;
            for (const auto &row : call.value("puts", json::array()))
                tables_[row.at("table")][row.at("key")]
                    = {row.at("value").get<std::string>(), version_, false};
            for (const auto &row : call.value("remove", json::array()))
                tables_[row.at("table")][row.at("key")] = {"", version_, true};
            changed_.notify_all();
        } else {
            status = 404;
        }
        body["ver"] = version_;
        body["nowMs"] = nowMs();
        return body.dump();
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message message;
        while (reader.read(message, Clock::now() + Ms(120000)) == Read::Ok) {
            int status = 200;
            const std::string body = answer(message, status);
            sleepMs(4);
            if (!sendAll(fd, "HTTP/1.1 " + std::to_string(status)
                                 + " OK\r\nContent-Type: application/json\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    int port_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::map<std::string, Row>> tables_;
};

// --- workers ---

/// What a worker does with a request: how long it works, and the size of its answer.
struct Work
{
    int ms_ = 100;
    std::size_t answerBytes_ = 600;
    /// A fourth figure in the load report, for deployments whose workers tell their pace.
    bool tellsPace_ = false;
};

/// The runs that workers began, by request id.
class Runs
{
public:
    void began(const std::string &id, const std::string &worker)
    {
        std::lock_guard lock(mutex_);
        ++begun_[id];
        worker_[id] = worker;
    }
    /// Returns the worker that began the last run of \a id.
    std::string worker(const std::string &id)
    {
        std::lock_guard lock(mutex_);
        return worker_[id];
    }
    void ended(const std::string &id)
    {
        std::lock_guard lock(mutex_);
        ++ended_[id];
    }
    int begun(const std::string &id)
    {
        std::lock_guard lock(mutex_);
        return begun_[id];
    }
    int finished(const std::string &id)
    {
        std::lock_guard lock(mutex_);
        return ended_[id];
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> begun_;
    std::map<std::string, int> ended_;
    std::map<std::string, std::string> worker_;
};

class Worker
{
public:
    Worker(Store &store, Runs &runs, Record &record, std::string id, std::string service,
           std::string zone, int slots, std::function<Work(const Message &)> work)
        : runs_(runs)
        , record_(record)
        , id_(std::move(id))
        , slots_(slots)
        , work_(std::move(work))
        , port_(freePort())
    {
        serveOn(port_, [this](int fd) {
            serve(fd);
        });
        const json entry = {
            {"address", "127.0.0.1:" + std::to_string(port_)},
            {"info", {{"service", service}, {"version", "v1"}, {"zone", zone}, {"slots", slots}}},
            {"status", {{"state", "ready"}, {"sequence", 4}, {"coldLeftMs", 0}}}};
        store.put("servers", id_, entry.dump());
    }

private:
    static bool hasClosed(int fd)
    {
        pollfd waiting{fd, POLLRDHUP, 0};
        return poll(&waiting, 1, 0) > 0;
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message message;
        while (reader.read(message, Clock::now() + Ms(60000)) == Read::Ok) {
            const std::string id = message.field("x-cassiacrank-request-id");
            std::string head = "X-Cassiacrank-Request-Id: " + id + "\r\n";
            if (message.field("x-cassiacrank-expect-instance") != id_) {
                if (!sendAll(fd, "HTTP/1.1 421 Misdirected Request\r\n" + head
                                     + "X-Cassiacrank-Instance-Id: " + id_
                                     + "\r\nContent-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            if (running_ >= slots_) {
                if (!sendAll(fd, "HTTP/1.1 503 Service Unavailable\r\n" + head
                                     + "X-Cassiacrank-Not-Executed: 1\r\n"
                                       "Content-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            ++running_;
            runs_.began(id, id_);
            const Work work = work_(message);
            record_.line("worker %s runs %s (%s %s, body %zu)", id_.c_str(), id.c_str(),
                         message.method().c_str(), message.target().c_str(), message.body_.size());
            const auto endAt = Clock::now() + Ms(work.ms_);
            bool isDropped = false;
            while (Clock::now() < endAt && !isDropped) {
                sleepMs(5);
                isDropped = hasClosed(fd);
            }
            const int running = running_--;
            if (isDropped) {
                record_.line("worker %s drops %s: its connection closed", id_.c_str(), id.c_str());
                return;
            }
            runs_.ended(id);
            record_.line("worker %s answers %s", id_.c_str(), id.c_str());
            head += "X-Cassiacrank-Server-Stamp: " + id_ + "." + id + "\r\n";
            head += "X-Cassiacrank-Server-Load: " + std::to_string(running) + ",0,"
                    + std::to_string(slots_) + (work.tellsPace_ ? ",100" : "") + "\r\n";
            if (!sendAll(fd, "HTTP/1.1 200 OK\r\n" + head
                                 + "Content-Length: " + std::to_string(work.answerBytes_)
                                 + "\r\n\r\n" + std::string(work.answerBytes_, 'x')))
                return;
        }
    }

    Runs &runs_;
    Record &record_;
    const std::string id_;
    const int slots_;
    const std::function<Work(const Message &)> work_;
    const int port_;
    std::atomic<int> running_ = 0;
};

// --- the processes under test ---

struct Place
{
    std::string zone_;
    std::string region_;
};

struct Limits
{
    double cpuShare_ = 0.2;
    int memoryMb_ = 260;
    int maxFds_ = 4100;
    double linkMbps_ = 1000;
};

/// One process of the deploy file, with settings from its template.
class Node
{
public:
    Node(const std::string &folder, const std::string &name, const Place &place,
         const std::vector<Place> &zones, int storePort, const std::string &bounds,
         const Limits &limits = {})
        : folder_(folder)
        , name_(name)
        , entry_(freePort())
        , ready_(freePort())
        , control_(freePort())
        , lookup_(freePort())
        , admin_(freePort())
        , place_(place)
        , zones_(zones)
        , storePort_(storePort)
        , bounds_(bounds)
        , limits_(limits)
    {
    }

    /// Requests of this machine that the case counts as LOST.
    std::atomic<int> lost_ = 0;

    /// Returns whether the process has run for all of \a contactMs before \a atMs.
    bool wasInTouch(long long atMs, long long contactMs) const
    {
        return atMs - startedAtMs_ >= contactMs;
    }

    int entry() const { return entry_; }
    int control() const { return control_; }
    pid_t pid() const { return pid_; }
    const std::string &name() const { return name_; }
    std::string logPath() const { return folder_ + "/" + name_ + ".log"; }

    /// Starts the command of the deploy file. Returns false if it is missing.
    bool start(const std::vector<int> &seeds)
    {
        std::string seedText;
        for (const int seed : seeds)
            seedText += (seedText.empty() ? "" : ",") + at(seed);
        std::string zoneText;
        for (const auto &zone : zones_)
            zoneText += (zoneText.empty() ? "" : ",") + zone.zone_ + ":" + zone.region_;
        std::ifstream file("deploy/settings.ini");
        std::string text((std::istreambuf_iterator<char>(file)), {});
        const std::vector<std::pair<std::string, std::string>> values
            = {{"{{node}}", name_},
               {"{{region}}", place_.region_},
               {"{{zone}}", place_.zone_},
               {"{{listen.directory}}", at(lookup_)},
               {"{{listen.front}}", at(entry_)},
               {"{{listen.ready}}", at(ready_)},
               {"{{listen.control}}", at(control_)},
               {"{{ip}}:{{innerPortRange.0}}", at(admin_)},
               {"{{limits.cpuShare}}", std::to_string(limits_.cpuShare_)},
               {"{{limits.memoryMb}}", std::to_string(limits_.memoryMb_)},
               {"{{limits.maxFds}}", std::to_string(limits_.maxFds_)},
               {"{{limits.linkMbps}}", std::to_string(limits_.linkMbps_)},
               {"{{platform.address}}", at(storePort_)},
               {"{{bounds}}", bounds_},
               {"{{seeds}}", seedText},
               {"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", zoneText}};
        for (const auto &[name, value] : values) {
            const auto found = text.find(name);
            if (found == std::string::npos)
                return false;
            text.replace(found, name.size(), value);
        }
        const std::string settings = folder_ + "/" + name_ + ".ini";
        std::ofstream(settings) << text;
        const char *program = "target/bin/instanced";
        if (text.find("{{") != std::string::npos || access(program, X_OK) != 0)
            return false;
        startedAtMs_ = nowMs();
        pid_ = fork();
        if (pid_ == 0) {
            const int log
                = open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            setenv("CASSIACRANK_SETTINGS", settings.c_str(), 1);
            execl(program, program, static_cast<char *>(nullptr));
            _exit(127);
        }
        isRunning_ = true;
        return pid_ > 0;
    }

    bool waitUntilReady(int ms) const
    {
        const auto until = Clock::now() + Ms(ms);
        while (Clock::now() < until) {
            const int fd = connectTo(ready_);
            if (fd >= 0) {
                Reader reader(fd);
                Message answer;
                const bool isReady = sendAll(fd, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                                     && reader.read(answer, Clock::now() + Ms(1000)) == Read::Ok
                                     && answer.status() == 200;
                close(fd);
                if (isReady)
                    return true;
            }
            sleepMs(100);
        }
        return false;
    }

    void signal(int number) const
    {
        if (isRunning_)
            kill(pid_, number);
    }

    /// Returns how the process ended, once it has; std::nullopt while it runs.
    std::optional<int> ended()
    {
        if (!isRunning_)
            return status_;
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) != pid_)
            return std::nullopt;
        isRunning_ = false;
        status_ = status;
        return status_;
    }

    /// Returns the resident memory of the process; 0 if it does not run.
    int residentMb() const
    {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:"))
                return std::atoi(line.c_str() + 6) / 1024;
        }
        return 0;
    }

    std::string lastLogLine() const
    {
        std::ifstream log(logPath());
        std::string last;
        for (std::string line; std::getline(log, line);)
            last = line;
        return last;
    }

    void stop()
    {
        if (!isRunning_)
            return;
        kill(pid_, SIGKILL);
        int status = 0;
        waitpid(pid_, &status, 0);
        isRunning_ = false;
    }

private:
    static std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }

    std::string folder_;
    std::string name_;
    int entry_;
    int ready_;
    int control_;
    int lookup_;
    int admin_;
    Place place_;
    std::vector<Place> zones_;
    int storePort_;
    std::string bounds_;
    Limits limits_;
    std::atomic<long long> startedAtMs_ = 0;
    pid_t pid_ = -1;
    bool isRunning_ = false;
    int status_ = 0;
};

inline std::string temporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return mkdtemp(name.data()) ? name : "";
}

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notRun = 2;

} // namespace review
