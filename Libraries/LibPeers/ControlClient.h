#pragma once

#include "Codec.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace Peers {

/// How entryd and lookupd follow the control process of their own instance.
///
/// Thread safety: start() and stop() belong to one thread; report() may be called from any.
class ControlClient
{
public:
    /// Called on the client's own thread with each snapshot.
    using OnSnapshot = std::function<void(const cassiacrank::Snapshot &)>;

    ControlClient(Model::Address address, std::string role);
    ~ControlClient();
    ControlClient(const ControlClient &) = delete;
    ControlClient &operator=(const ControlClient &) = delete;

    /// Follows the control process until stop(), connecting again whenever it has gone away.
    void start(OnSnapshot onSnapshot);
    void stop();

    /// Sends \a report and waits shortly. Returns whether it was taken.
    bool report(const cassiacrank::ProcessReport &report);

private:
    struct State;

    void follow();

    Model::Address address_;
    std::string role_;
    OnSnapshot onSnapshot_;
    std::shared_ptr<State> state_;
    std::thread thread_;
};

} // namespace Peers
