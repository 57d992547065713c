#pragma once

#include "Server.h"

#include <functional>
#include <thread>

namespace Http {

/// The pages that a daemon serves on its admin address.
struct AdminPages
{
    /// Returns the metrics in Prometheus text format. Called on the admin thread.
    std::function<std::string()> metrics_;
    /// Returns the JSON of /status. Called on the admin thread.
    std::function<std::string()> status_;
    /// Returns the JSON of any other path, if set; the argument is the path with its query.
    std::function<std::optional<std::string>(const std::string &)> fallback_;
    /// Handles DELETE of a path, if set; returns false, with the last reason set, on failure.
    std::function<bool(const std::string &)> remove_;
};

/// Serves a daemon's admin pages on a separate thread, so that they never delay a request.
///
/// Thread safety: start() and the destructor belong to one thread.
class AdminServer
{
public:
    explicit AdminServer(AdminPages pages);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Starts listening. Returns false, with the last reason set, on failure.
    bool start(const Model::Address &address);

private:
    Task<Response> answer(IncomingRequest request);

    AdminPages pages_;
    asio::io_context context_{1};
    Server server_;
    std::thread thread_;
};

} // namespace Http
