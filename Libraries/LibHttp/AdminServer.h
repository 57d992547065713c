#pragma once

#include "Server.h"

#include <functional>
#include <thread>

namespace Http {

/// What a daemon shows on its admin address.
struct AdminPages
{
    /// Returns the Prometheus text. Called on the admin thread.
    std::function<std::string()> metrics_;
    /// Returns the JSON of /status. Called on the admin thread.
    std::function<std::string()> status_;
    /// Answers any other path, if set; the argument is the path with its query.
    std::function<std::optional<std::string>(const std::string &)> other_;
    /// Removes what DELETE of a path names, if set; returns false, with the last reason set, if it
    /// cannot.
    std::function<bool(const std::string &)> remove_;
};

/// Serves a daemon's readouts on a thread of its own, so that they never hold up a request.
///
/// Thread safety: start() and the destructor belong to one thread.
class AdminServer
{
public:
    explicit AdminServer(AdminPages pages);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Begins to listen. Returns false if it cannot, with the last reason set.
    bool start(const Model::Address &address);

private:
    Task<Response> answer(IncomingRequest request);

    AdminPages pages_;
    asio::io_context context_{1};
    Server server_;
    std::thread thread_;
};

} // namespace Http
