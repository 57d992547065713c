#pragma once

#include "Types.h"

#include <functional>
#include <memory>

namespace Http {

/// The limits that a server applies to each connection.
struct ServerLimits
{
    std::size_t headBytes_ = 16 * 1024;
    std::size_t bodyBytes_ = 1024 * 1024;
    /// Maximum idle time between two requests.
    Model::Milliseconds idle_{60000};
    /// Maximum time from the first byte of a request to its last.
    Model::Milliseconds request_{10000};
    /// Maximum number of requests of one connection that are processed concurrently; their answers
    /// are sent in the order of the requests.
    std::size_t pipelineDepth_ = 1;
};

/// Bounds on what a server's sessions hold. By default nothing is bounded.
struct ServerBounds
{
    /// Returns whether that many more bytes of a request may be held. Without it, nothing is
    /// refused for its size, and sessions read on while answers wait.
    std::function<bool(std::size_t)> mayHold_;
    /// Returns whether one more connection may be served.
    std::function<bool()> mayOpen_;
    /// Called for each request and each connection that is refused by one of the two.
    std::function<void(Model::ResultCode)> onRefused_;
    /// A session reads no further request while more bytes of its answers wait to be written.
    std::size_t waitingAnswerBytes_ = 1024 * 1024;
    /// Refused connections that may stay open until the peer has read the refusal; others are
    /// closed at once.
    std::size_t lingeringRefusals_ = 0;
};

/// A complete request with its connection's data.
struct IncomingRequest
{
    Request message_;
    /// The IP address of the peer.
    std::string remoteHost_;
    Model::SteadyTime arrivedAt_;
    /// Returns whether the peer has closed its sending side, which cancels the request for peers
    /// that never half-close. Valid until the answer is returned.
    std::function<bool()> hasPeerClosed_;
    /// Counts the request's bytes as held by the server until its last copy is destroyed.
    std::shared_ptr<const void> heldPart_;
};

/// Answers one request. Must not throw. An answer without keep-alive ends its connection after the
/// answers to the requests that were passed on behind it.
using Handler = std::function<Task<Response>(IncomingRequest)>;

/// Serves HTTP/1.1 requests on one thread's io_context.
///
/// Thread safety: every method runs on that thread. Several servers may listen on one address, one
/// per thread; the kernel distributes connections among them.
class Server
{
public:
    Server(asio::io_context &context, ServerLimits limits, Handler handler);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Starts accepting connections. Returns false, with BadValue as the last reason, if the server
    /// cannot listen on the address.
    bool listen(const Model::Address &address);

    /// Sets the limits for all further reads. Buffers of open connections keep their size.
    void setLimits(const ServerLimits &limits) { limits_ = limits; }

    /// Sets the bounds for all further requests and connections.
    void setBounds(ServerBounds bounds) { bounds_ = std::move(bounds); }

    /// Closes each connection with the answer to its last request in progress, or to the next one
    /// if there is none. That answer announces the close to the peer.
    void beginLeaving() { isLeaving_ = true; }

    /// Accepts the connections that are already queued, then stops listening.
    void stopAccepting();

    /// Closes the connections that are between two requests.
    void closeIdle();

    std::size_t openSessions() const { return openSessions_; }
    std::size_t requestsInProgress() const { return inProgress_; }
    /// Returns the bytes of requests that handlers have not released yet, and of answers that were
    /// not written yet.
    std::size_t heldBytes() const { return *heldBytes_; }

private:
    struct Session;
    struct Pending;
    class HeldPart;
    class ReadLimit;

    Task<void> acceptLoop(std::shared_ptr<tcp::acceptor> acceptor);
    Task<void> serve(std::shared_ptr<Session> session);
    Task<void> waitForChange(Session &session);
    Task<bool> awaitFirstByte(std::shared_ptr<Session> sharedSession);
    void limitIdle(const std::shared_ptr<Session> &session);
    Task<bool> readOne(std::shared_ptr<Session> sharedSession);
    Task<Model::ResultCode> readRequest(Session &session, ReadLimit &limit, Request &request,
                                        HeldPart &held);
    Task<bool> awaitExpectedBody(Session &session, ReadLimit &limit);
    bool holdMore(HeldPart &held, std::size_t bytes) const;
    bool mayRead(const Session &session) const;
    void releaseAnswer(Session &session, Pending &pending);
    Task<void> refuseConnection(std::shared_ptr<Session> session);
    Task<void> answerOne(std::shared_ptr<Session> session, std::shared_ptr<Pending> pending,
                         IncomingRequest incoming);
    Task<void> deliver(std::shared_ptr<Session> sharedSession);
    Task<bool> write(Session &session, Pending &pending);
    void dropPending(Session &session);
    Task<void> lingeringClose(Session &session);
    void startSession(tcp::socket socket);

    asio::io_context &context_;
    ServerLimits limits_;
    Handler handler_;
    std::vector<std::shared_ptr<tcp::acceptor>> acceptors_;
    std::vector<std::weak_ptr<Session>> sessions_;
    std::size_t openSessions_ = 0;
    std::size_t inProgress_ = 0;
    ServerBounds bounds_;
    std::size_t refusalsOpen_ = 0;
    /// Shared with the parts, since a handler may outlive the server.
    std::shared_ptr<std::size_t> heldBytes_ = std::make_shared<std::size_t>(0);
    bool isLeaving_ = false;
};

} // namespace Http
