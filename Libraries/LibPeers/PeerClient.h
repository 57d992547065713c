#pragma once

#include "Gossip.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace Peers {

/// Sends pull requests to the control processes of other instances, over one connection per peer.
///
/// Thread safety: any thread.
class PeerClient
{
public:
    /// Called on a gRPC thread with the answer, or with nullptr if the call failed or timed out.
    using Done = std::function<void(const cassiacrank::PullAnswer *)>;

    PeerClient();
    /// Cancels all calls in progress and waits until each has completed.
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Sends \a request to \a address without blocking.
    void pull(const Model::Address &address, const cassiacrank::PullRequest &request,
              Model::Milliseconds timeout, Done done);

    /// Message bytes sent and received, for the metrics.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace Peers
