#pragma once

#include "Types.h"

#include <functional>
#include <memory>

namespace Http {

/// What a server takes from one connection.
struct ServerLimits
{
    std::size_t headBytes_ = 16 * 1024;
    std::size_t bodyBytes_ = 1024 * 1024;
    /// Longest rest between two requests.
    Model::Milliseconds idle_{60000};
    /// Longest time from the first byte of a request to its last.
    Model::Milliseconds request_{10000};
    /// Requests of one connection that are worked on at the same time; their answers go out in the
    /// order in which the requests came.
    std::size_t pipelineDepth_ = 1;
};

/// A whole request as it came from a connection.
struct IncomingRequest
{
    Request message_;
    /// The IP number of the other end.
    std::string remoteHost_;
    Model::SteadyTime arrivedAt_;
    /// Tells whether the other end has closed its sending side, which cancels the request for peers
    /// that never half-close. Valid until the answer is returned.
    std::function<bool()> isGone_;
};

/// Answers one request. It must not throw. An answer that says so ends its connection.
using Handler = std::function<Task<Response>(IncomingRequest)>;

/// Takes HTTP/1.1 requests on one thread's io_context.
///
/// Every method runs on that thread. Several servers may listen on one address, one on each thread;
/// the kernel spreads connections over them.
class Server
{
public:
    Server(asio::io_context &context, ServerLimits limits, Handler handler);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Begins to take connections. Returns false if the address cannot be listened on, with
    /// BadValue as the last reason.
    bool listen(const Model::Address &address);

    /// Sets the limits for what is read from now on. Buffers of open connections keep their size.
    void setLimits(const ServerLimits &limits) { limits_ = limits; }

    /// From now on each answer tells the other end to use another connection next time.
    void beginLeaving() { isLeaving_ = true; }

    /// Takes the connections that wait already, and none after that.
    void stopAccepting();

    /// Ends the connections that are between two requests.
    void closeIdle();

    std::size_t openSessions() const { return openSessions_; }
    std::size_t requestsInProgress() const { return inProgress_; }

private:
    struct Session;
    struct Pending;
    class ReadLimit;

    Task<void> acceptLoop(std::shared_ptr<tcp::acceptor> acceptor);
    Task<void> serve(std::shared_ptr<Session> session);
    Task<void> waitForChange(Session &session);
    Task<bool> awaitFirstByte(std::shared_ptr<Session> kept);
    void limitIdle(const std::shared_ptr<Session> &session);
    Task<bool> readOne(std::shared_ptr<Session> kept);
    Task<Model::ResultCode> readRequest(Session &session, Request &request);
    Task<void> answerOne(std::shared_ptr<Session> session, std::shared_ptr<Pending> pending,
                         IncomingRequest incoming);
    Task<void> deliver(std::shared_ptr<Session> kept);
    Task<bool> write(Session &session, Pending &pending);
    void dropPending(Session &session);
    Task<void> closeGently(Session &session);
    void startSession(tcp::socket socket);

    asio::io_context &context_;
    ServerLimits limits_;
    Handler handler_;
    std::vector<std::shared_ptr<tcp::acceptor>> acceptors_;
    std::vector<std::weak_ptr<Session>> sessions_;
    std::size_t openSessions_ = 0;
    std::size_t inProgress_ = 0;
    bool isLeaving_ = false;
};

} // namespace Http
