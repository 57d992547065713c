#pragma once

#include "Codec.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace Peers {

/// The client with which entryd and lookupd follow the control process of the local instance.
///
/// Thread safety: start() and stop() belong to one thread; report() may be called from any.
class ControlClient
{
public:
    /// Called with each snapshot on the thread that start() creates.
    using OnSnapshot = std::function<void(const cassiacrank::Snapshot &)>;

    ControlClient(Model::Address address, std::string role);
    ~ControlClient();
    ControlClient(const ControlClient &) = delete;
    ControlClient &operator=(const ControlClient &) = delete;

    /// Subscribes to the control process until stop(), reconnecting whenever the stream ends.
    void start(OnSnapshot onSnapshot);
    void stop();

    /// Sends \a report and waits briefly for the answer. Returns whether it was accepted.
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
