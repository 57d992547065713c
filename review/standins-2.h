// Stand-ins for the platform's store, for workers and for clients, and a runner for the project's
// own instanced. Plain blocking sockets, one thread a connection. Loopback addresses only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Exit codes of a case.
enum Verdict { ruleHeld = 0, ruleBroken = 1, couldNotRun = 2 };

inline Clock::time_point startedAt = Clock::now();

inline double secondsNow()
{
    return std::chrono::duration<double>(Clock::now() - startedAt).count();
}

inline void pause(int ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

/// The file in which a case records what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", secondsNow());
        file_ << time << text << '\n' << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct Message
{
    /// The request line or the status line.
    std::string start_;
    /// Names in lower case.
    std::multimap<std::string, std::string> fields_;
    std::string body_;

    std::string field(const std::string &name) const
    {
        const auto found = fields_.find(name);
        return found == fields_.end() ? "" : found->second;
    }
    int status() const { return start_.size() > 12 ? std::atoi(start_.c_str() + 9) : 0; }
    std::string method() const { return start_.substr(0, start_.find(' ')); }
    std::string target() const
    {
        const auto first = start_.find(' ');
        const auto last = start_.rfind(' ');
        return start_.substr(first + 1, last - first - 1);
    }
};

/// One TCP connection with a read buffer.
class Link
{
public:
    explicit Link(int socket)
        : socket_(socket)
    {
        const int on = 1;
        setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Link() { close(); }
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    void close()
    {
        if (socket_ >= 0)
            ::close(socket_);
        socket_ = -1;
    }
    int socket() const { return socket_; }

    bool send(const std::string &bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto count
                = ::send(socket_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads a whole message. Returns false if the connection ends or \a until has passed.
    bool read(Message &message, Clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until))
                return false;
        }
        parseHead(message, buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        if (message.field("transfer-encoding") == "chunked")
            return readChunks(message, until);
        const auto length = static_cast<std::size_t>(std::atoll(message.field("content-length").c_str()));
        while (buffer_.size() < length) {
            if (!more(until))
                return false;
        }
        message.body_ = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }

private:
    static void parseHead(Message &message, const std::string &head)
    {
        message = Message();
        std::size_t at = head.find("\r\n");
        message.start_ = head.substr(0, at);
        while (at != std::string::npos) {
            const auto next = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                const auto first = line.find_first_not_of(' ', colon + 1);
                message.fields_.emplace(name, first == std::string::npos ? "" : line.substr(first));
            }
            at = next;
        }
    }

    bool readChunks(Message &message, Clock::time_point until)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!more(until))
                    return false;
            }
            const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
            buffer_.erase(0, end + 2);
            while (buffer_.size() < size + 2) {
                if (!more(until))
                    return false;
            }
            message.body_ += buffer_.substr(0, size);
            buffer_.erase(0, size + 2);
            if (size == 0)
                return true;
        }
    }

    bool more(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        pollfd entry{socket_, POLLIN, 0};
        if (left <= 0 || poll(&entry, 1, static_cast<int>(std::min<long long>(left, 600000))) <= 0)
            return false;
        char bytes[16384];
        const auto count = recv(socket_, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int socket_;
    std::string buffer_;
};

inline sockaddr_in addressOf(const std::string &host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

/// Returns a socket that listens at a free port of 127.0.0.1, or -1.
inline int listenAnywhere(int &port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf("127.0.0.1", 0);
    socklen_t size = sizeof address;
    if (bind(socket, reinterpret_cast<sockaddr *>(&address), size) != 0
        || listen(socket, 1024) != 0)
        return -1;
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return socket;
}

inline int freePort()
{
    int port = 0;
    ::close(listenAnywhere(port));
    return port;
}

inline std::unique_ptr<Link> connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf("127.0.0.1", port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<Link>(socket);
}

/// Accepts connections and serves each on a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(Link &)>;

    explicit Listener(Serve serve)
        : serve_(std::move(serve))
    {
        socket_ = listenAnywhere(port_);
        if (socket_ < 0)
            throw std::runtime_error("no free port");
        std::thread([this] {
            while (true) {
                const int socket = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                    return;
                std::thread([this, socket] {
                    Link link(socket);
                    serve_(link);
                }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    Serve serve_;
    int socket_ = -1;
    int port_ = 0;
};

inline std::string base64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8U | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            result += i + j < text.size() + 1 ? digits[value >> (18 - 6 * j) & 63U] : '=';
    }
    return result;
}

/// A sound stand-in for the platform's store: rows, transactions and the feed of changes.
class Store
{
public:
    Store()
        : listener_([this](Link &link) {
            serve(link);
        })
    {
    }
    std::string address() const { return listener_.address(); }
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        tables_[table][key] = {base64(value), ++revision_, false};
        changed_.notify_all();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        tables_[table][key] = {"", ++revision_, true};
        changed_.notify_all();
    }

private:
    struct Row
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        bool isRemoved_ = false;
    };

    static std::string query(const std::string &target, const std::string &name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos)
            return "";
        const auto first = at + name.size() + 1;
        return target.substr(first, target.find('&', first) - first);
    }

    json rowsAfter(const std::string &table, std::uint64_t after, bool withRemoved)
    {
        json rows = json::array();
        for (const auto &[key, row] : tables_[table]) {
            if (row.revision_ <= after || (row.isRemoved_ && !withRemoved))
                continue;
            json item = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.revision_}};
            if (row.isRemoved_) {
                item["tombstone"] = true;
            } else {
                item["value"] = row.value_;
            }
            rows.push_back(item);
        }
        std::sort(rows.begin(), rows.end(), [&](const json &a, const json &b) {
            return withRemoved ? a["ver"] < b["ver"] : a["key"] < b["key"];
        });
        return rows;
    }

    json answer(const Message &request, int &status)
    {
        const std::string target = request.target();
        const auto nowMs = static_cast<long long>(secondsNow() * 1000);
        std::unique_lock lock(mutex_);
        if (target.starts_with("/-/rows-get")) {
            return {{"rows", rowsAfter(query(target, "table"), 0, false)},
                    {"hasMore", false}, {"ver", revision_}, {"nowMs", nowMs}};
        }
        if (target.starts_with("/-/rows-feed")) {
            const auto after = std::stoull(query(target, "after"));
            const auto until = Clock::now() + Ms(std::stoll(query(target, "waitMs")));
            json rows = rowsAfter(query(target, "table"), after, true);
            while (rows.empty() && changed_.wait_until(lock, until) == std::cv_status::no_timeout)
                rows = rowsAfter(query(target, "table"), after, true);
            return {{"rows", rows}, {"ver", revision_}, {"nowMs", nowMs}};
        }
        const json call = json::parse(request.body_);
        ++revision_;
        for (const auto &put : call.value("puts", json::array()))
            tables_[put.at("table")][put.at("key")] = {put.at("value"), revision_, false};
        for (const auto &row : call.value("remove", json::array()))
            tables_[row.at("table")][row.at("key")] = {"", revision_, true};
        changed_.notify_all();
        status = 200;
        return {{"ver", revision_}, {"nowMs", nowMs}};
    }

    void serve(Link &link)
    {
        Message request;
        while (link.read(request, Clock::now() + std::chrono::hours(1))) {
            int status = 200;
            const std::string body = answer(request, status).dump();
            if (!link.send("HTTP/1.1 " + std::to_string(status)
                           + " OK\r\nContent-Type: application/json\r\nContent-Length: "
                           + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Row>> tables_;
    std::uint64_t revision_ = 0;
    Listener listener_;
};

/// Settings of one instance of a small deployment, as the platform fills in deploy/settings.ini.
struct InstanceSetup
{
    std::string name_ = "front-a-1";
    std::string region_ = "region-a";
    std::string zone_ = "zone-a";
    std::string store_;
    std::vector<std::string> seeds_;
    std::string zones_ = "zone-a:region-a";
    std::string bounds_
        = "seedLagS=3,reuseAfterS=2,contactMs=4000,ackMs=5000,catchUpS=4,drainMs=2500,graceS=6,"
          "lossSlackMs=200,configApplyMs=2500,rollbackSlackMs=250,outerMs=6000,budgetRatio=0.2,"
          "budgetWindowS=10,budgetExtra=64,coldMultiplier=1.5,coldSlack=5,evacuateMs=5000,"
          "recoverS=15,ttl_max_s=5,maxShift=0.15";
    int memoryMb_ = 260;
    int descriptors_ = 4100;
    /// Further sections of the settings file.
    std::string more_;
};

/// The project's own program, started with the command of the deploy file.
class Instance
{
public:
    Instance(const InstanceSetup &setup, const std::string &directory)
        : setup_(setup)
        , directory_(directory)
        , front_(freePort())
        , ready_(freePort())
        , control_(freePort())
        , lookup_(freePort())
        , admin_(freePort())
    {
    }
    ~Instance() { kill(); }
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    void start()
    {
        const std::string path = directory_ + "/" + setup_.name_ + ".ini";
        const auto at = [](int port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        std::ofstream file(path);
        std::string seeds;
        for (const auto &seed : setup_.seeds_)
            seeds += (seeds.empty() ? "" : ",") + seed;
        file << "[instance]\nid = " << setup_.name_ << "\nregion = " << setup_.region_
             << "\ndomain = " << setup_.zone_ << "\n\n[listen]\nlookup = " << at(lookup_)
             << "\nentry = " << at(front_) << "\nready = " << at(ready_)
             << "\ncontrol = " << at(control_) << "\nadmin = " << at(admin_)
             << "\n\n[limits]\ncpu_share = 0.2\nmemory_mb = " << setup_.memoryMb_
             << "\ndescriptors = " << setup_.descriptors_
             << "\nlink_mbps = 1000.0\n\n[platform]\naddress = " << setup_.store_
             << "\nterms = " << setup_.bounds_ << "\n\n[peers]\nseeds = " << seeds
             << "\n\n[site]\ndomains = " << setup_.zones_ << "\n" << setup_.more_;
        file.close();
        const std::string log = directory_ + "/" + setup_.name_ + ".log";
        process_ = fork();
        if (process_ != 0)
            return;
        // No instance outlives its case.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, 1);
        dup2(output, 2);
        setenv("CASSIACRANK_SETTINGS", path.c_str(), 1);
        execl("target/bin/instanced", "target/bin/instanced", static_cast<char *>(nullptr));
        _exit(127);
    }

    bool waitUntilReady(int seconds)
    {
        for (int i = 0; i < seconds * 20; ++i) {
            Message answer;
            const auto link = connectTo(ready_);
            if (link && link->send("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                && link->read(answer, Clock::now() + Ms(500)) && answer.status() == 200)
                return true;
            pause(50);
        }
        return false;
    }

    void signal(int number)
    {
        if (process_ > 0)
            ::kill(process_, number);
    }
    void kill()
    {
        if (process_ <= 0)
            return;
        ::kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
        process_ = -1;
    }
    /// Returns whether the process has ended within \a ms; \a status is that of waitpid().
    bool waitUntilEnded(int ms, int &status)
    {
        for (int i = 0; i < ms / 10; ++i) {
            if (process_ <= 0 || waitpid(process_, &status, WNOHANG) == process_) {
                process_ = -1;
                return true;
            }
            pause(10);
        }
        return false;
    }
    bool isRunning()
    {
        int status = 0;
        return process_ > 0 && waitpid(process_, &status, WNOHANG) == 0;
    }

    int front() const { return front_; }
    int ready() const { return ready_; }
    int lookup() const { return lookup_; }
    pid_t process() const { return process_; }
    std::string control() const { return "127.0.0.1:" + std::to_string(control_); }
    void setSeeds(std::vector<std::string> seeds) { setup_.seeds_ = std::move(seeds); }

private:
    InstanceSetup setup_;
    std::string directory_;
    int front_;
    int ready_;
    int control_;
    int lookup_;
    int admin_;
    pid_t process_ = -1;
};

inline std::string registration(const std::string &address, const std::string &service,
                                const std::string &zone, int slots,
                                const std::string &state = "ready", int sequence = 1)
{
    const json entry = {
        {"address", address},
        {"info", {{"service", service}, {"version", "v1"}, {"zone", zone}, {"slots", slots}}},
        {"status", {{"state", state}, {"sequence", sequence}, {"coldLeftMs", 0}}},
    };
    return entry.dump();
}

inline json routeEntry(const std::string &name, const std::string &prefix, const std::string &kind,
                       const std::string &service, int timeoutMs, int latencyMs)
{
    return {{"name", name}, {"prefix", prefix}, {"kind", kind}, {"timeoutMs", timeoutMs},
            {"targetLatencyMs", latencyMs}, {"priority", 0}, {"service", service},
            {"maxAttempts", 2}, {"sticky", false}, {"homeRegions", json::array()}};
}

inline std::string configuration(int version, const json &paths, const std::vector<std::string> &services)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", version);
    json list = json::array();
    for (const auto &service : services) {
        list.push_back({{"name", service}, {"healthPath", "/health"}, {"maxConns", 390},
                        {"protocol", "h1"}, {"tls", false}, {"coldStartS", 3.0},
                        {"coldPerS", 11.0}});
    }
    const json config = {
        {"version", text},
        {"services", list},
        {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 67108864},
                    {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
        {"hosts", json::array({{{"host", "site.example"}, {"paths", paths}}})},
    };
    return config.dump();
}

} // namespace review
