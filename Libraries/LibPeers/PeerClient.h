#pragma once

#include "Gossip.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace Peers {

/// Asks other instances' control processes. Keeps one connection to each peer asked lately.
///
/// Thread safety: any thread.
class PeerClient
{
public:
    /// Called on a thread of gRPC with the answer, or with nothing if none came in time.
    using Done = std::function<void(const cassiacrank::PullAnswer *)>;

    PeerClient();
    /// Gives up all calls in progress and waits until each has been reported.
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Sends \a request to \a address without waiting.
    void pull(const Model::Address &address, const cassiacrank::PullRequest &request,
              Model::Milliseconds timeout, Done done);

    /// Bytes sent and received, for the readout.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace Peers
