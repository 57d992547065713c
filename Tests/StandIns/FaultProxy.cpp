// A TCP and UDP proxy that injects network faults: delay, resets, loss in one direction, and
// connections that hang forever while new ones work.
//
// Its configuration file has one line for each forwarding rule: "LISTEN TARGET DELAY_US GROUP".
// POST /standin/switch
// {"group": G, "mode": M} sets the mode of every rule of a group: "pass", "cut" (closes
// connections, also new ones), "freeze" (drops all data of the connections that are open at this
// time, not of new ones), "black-hole" (drops all data, also of new connections), "lose-answers"
// (drops answers only).

#include "StandInMain.h"

#include <boost/asio/ip/udp.hpp>
#include <deque>
#include <fstream>
#include <list>
#include <sstream>

DEFINE_string(address, "127.0.0.1:7900", "address of the control server");
DEFINE_string(ways, "", "path of the file of forwarding rules");

namespace {

using boost::asio::ip::udp;
using Http::ErrorCode;
using Http::Task;
using Http::tcp;
using Model::Milliseconds;

constexpr std::size_t chunkBytes = 64 * 1024;
/// Fewer closed links than this are kept.
constexpr std::size_t minPurgeSize = 1024;

struct Group
{
    std::string mode_ = "pass";
    /// Drops the data of connections with a lower number.
    std::uint64_t frozenBelow_ = 0;
};

struct ForwardingRule
{
    Model::Address listen_;
    Model::Address target_;
    Model::Microseconds delay_{0};
    std::string group_;
};

/// Bytes in transit in one direction, each chunk with its arrival time.
struct Pipe
{
    explicit Pipe(Http::asio::io_context &context)
        : changed_(context)
    {
        changed_.expires_at(Model::SteadyTime::max());
    }

    std::deque<std::pair<Model::SteadyTime, std::string>> chunks_;
    bool isEnded_ = false;
    Http::asio::steady_timer changed_;
};

struct Link
{
    Link(Http::asio::io_context &context, tcp::socket client)
        : client_(std::move(client))
        , server_(context)
        , toServer_(context)
        , toClient_(context)
    {
    }

    tcp::socket client_;
    tcp::socket server_;
    Pipe toServer_;
    Pipe toClient_;
    std::uint64_t number_ = 0;
};

class Proxy
{
public:
    explicit Proxy(Http::asio::io_context &context)
        : context_(context)
    {
    }

    bool addForwardingRule(const ForwardingRule &rule)
    {
        auto acceptor = std::make_shared<tcp::acceptor>(context_);
        ErrorCode error;
        const auto endpoint = Http::endpointOf(rule.listen_);
        acceptor->open(endpoint.protocol(), error);
        acceptor->set_option(Http::asio::socket_base::reuse_address(true), error);
        acceptor->bind(endpoint, error);
        if (!error)
            acceptor->listen(Http::asio::socket_base::max_listen_connections, error);
        if (error)
            return false;
        groups_[rule.group_];
        Http::asio::co_spawn(context_, acceptLoop(acceptor, rule), Http::asio::detached);
        auto socket = std::make_shared<udp::socket>(context_, udpEndpoint(rule.listen_));
        Http::asio::co_spawn(context_, datagramLoop(socket, rule), Http::asio::detached);
        return true;
    }

    Http::Response control(const std::string &body)
    {
        const auto wanted = nlohmann::json::parse(body);
        const std::string name = wanted.at("group").get<std::string>();
        for (auto &[groupName, group] : groups_) {
            if (groupName != name && name != "*")
                continue;
            group.mode_ = wanted.at("mode").get<std::string>();
            if (group.mode_ == "freeze")
                group.frozenBelow_ = nextLink_;
        }
        if (wanted.at("mode") == "cut")
            cutLinks(name);
        return StandIns::jsonAnswer(nlohmann::json::object());
    }

private:
    static udp::endpoint udpEndpoint(const Model::Address &address)
    {
        const auto endpoint = Http::endpointOf(address);
        return {endpoint.address(), endpoint.port()};
    }

    /// Forwards datagrams in one direction; any mode other than "pass" drops them.
    Task<void> datagramLoop(std::shared_ptr<udp::socket> socket, ForwardingRule rule)
    {
        std::string bytes(chunkBytes, '\0');
        while (true) {
            udp::endpoint sender;
            ErrorCode error;
            const std::size_t received = co_await socket->async_receive_from(
                Http::asio::buffer(bytes), sender,
                Http::asio::redirect_error(Http::asio::use_awaitable, error));
            if (error || groups_[rule.group_].mode_ != "pass")
                continue;
            spawn(sendLater(socket, bytes.substr(0, received), rule));
        }
    }

    Task<void> sendLater(std::shared_ptr<udp::socket> socket, std::string bytes,
                         ForwardingRule rule)
    {
        const Model::SteadyTime arrival = std::chrono::steady_clock::now() + rule.delay_;
        co_await Http::sleepUntil(arrival);
        ErrorCode ignored;
        socket->send_to(Http::asio::buffer(bytes), udpEndpoint(rule.target_), 0, ignored);
    }

    void cutLinks(const std::string &name)
    {
        ErrorCode ignored;
        for (const auto &[link, group] : links_) {
            const auto activeLink = link.lock();
            if (!activeLink || (group != name && name != "*"))
                continue;
            activeLink->client_.close(ignored);
            activeLink->server_.close(ignored);
        }
    }

    Task<void> acceptLoop(std::shared_ptr<tcp::acceptor> acceptor, ForwardingRule rule)
    {
        while (true) {
            ErrorCode error;
            tcp::socket socket = co_await acceptor->async_accept(
                Http::asio::redirect_error(Http::asio::use_awaitable, error));
            if (error || groups_[rule.group_].mode_ == "cut")
                continue;
            auto link = std::make_shared<Link>(context_, std::move(socket));
            link->number_ = nextLink_++;
            if (links_.size() >= purgeSize_) {
                links_.remove_if([](const auto &entry) {
                    return entry.first.expired();
                });
                purgeSize_ = 2 * links_.size() + minPurgeSize;
            }
            links_.emplace_back(link, rule.group_);
            Http::asio::co_spawn(context_, forward(link, rule), Http::asio::detached);
        }
    }

    Task<void> forward(std::shared_ptr<Link> link, ForwardingRule rule)
    {
        ErrorCode error;
        co_await link->server_.async_connect(
            Http::endpointOf(rule.target_),
            Http::asio::redirect_error(Http::asio::use_awaitable, error));
        if (error)
            co_return;
        Http::tuneSocket(link->client_);
        Http::tuneSocket(link->server_);
        spawn(readLoop(link, &link->client_, &link->toServer_, rule, false));
        spawn(writeLoop(link, &link->server_, &link->toServer_));
        spawn(readLoop(link, &link->server_, &link->toClient_, rule, true));
        spawn(writeLoop(link, &link->client_, &link->toClient_));
    }

    void spawn(Task<void> task)
    {
        Http::asio::co_spawn(context_, std::move(task), Http::asio::detached);
    }

    bool dropsData(const Link &link, const ForwardingRule &rule, bool isAnswer)
    {
        const Group &group = groups_[rule.group_];
        if (link.number_ < group.frozenBelow_ || group.mode_ == "black-hole")
            return true;
        return group.mode_ == "lose-answers" && isAnswer;
    }

    Task<void> readLoop(std::shared_ptr<Link> link, tcp::socket *from, Pipe *pipe,
                        ForwardingRule rule, bool isAnswer)
    {
        std::string chunk(chunkBytes, '\0');
        ErrorCode error;
        while (!error) {
            const std::size_t received = co_await from->async_read_some(
                Http::asio::buffer(chunk),
                Http::asio::redirect_error(Http::asio::use_awaitable, error));
            // A hung connection does not forward the close of the other end either.
            if (dropsData(*link, rule, isAnswer))
                continue;
            const auto arrival = std::chrono::steady_clock::now() + rule.delay_;
            if (error) {
                pipe->isEnded_ = true;
            } else {
                pipe->chunks_.emplace_back(arrival, chunk.substr(0, received));
            }
            pipe->changed_.cancel();
        }
    }

    Task<void> writeLoop(std::shared_ptr<Link> link, tcp::socket *to, Pipe *pipe)
    {
        const std::shared_ptr<Link> kept = std::move(link);
        ErrorCode error;
        while (!error) {
            if (pipe->chunks_.empty()) {
                if (pipe->isEnded_)
                    break;
                ErrorCode ignored;
                co_await pipe->changed_.async_wait(
                    Http::asio::redirect_error(Http::asio::use_awaitable, ignored));
                continue;
            }
            auto [arrival, bytes] = std::move(pipe->chunks_.front());
            pipe->chunks_.pop_front();
            co_await Http::sleepUntil(arrival);
            co_await Http::asio::async_write(
                *to, Http::asio::buffer(bytes),
                Http::asio::redirect_error(Http::asio::use_awaitable, error));
        }
        ErrorCode ignored;
        to->shutdown(tcp::socket::shutdown_send, ignored);
    }

    Http::asio::io_context &context_;
    std::map<std::string, Group> groups_;
    std::list<std::pair<std::weak_ptr<Link>, std::string>> links_;
    /// Closed links are forgotten when there are this many.
    std::size_t purgeSize_ = minPurgeSize;
    std::uint64_t nextLink_ = 1;
};

bool addForwardingRules(Proxy &proxy)
{
    std::ifstream file(FLAGS_ways);
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string listen;
        std::string target;
        long long delay = 0;
        std::string group;
        words >> listen >> target >> delay >> group;
        const auto listenAddress = Model::addressFromText(listen);
        const auto targetAddress = Model::addressFromText(target);
        if (!listenAddress || !targetAddress)
            return false;
        if (!proxy.addForwardingRule(
                {*listenAddress, *targetAddress, Model::Microseconds(delay), group}))
            return false;
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("A TCP and UDP proxy that injects faults, for tests.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Http::asio::io_context context(1);
    Proxy proxy(context);
    if (!addForwardingRules(proxy)) {
        std::cerr << "cannot set up the forwarding rules\n";
        return 4;
    }
    return StandIns::serveUntilStopped(
        context, FLAGS_address, [&](Http::IncomingRequest request) -> Http::Task<Http::Response> {
            co_return proxy.control(request.message_.body());
        });
}
