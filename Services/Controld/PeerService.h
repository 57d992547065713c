#pragma once

#include "ControlState.h"

#include <LibPeers/Generated/cassiacrank.grpc.pb.h>
#include <grpcpp/grpcpp.h>

namespace Controld {

/// Answers pull requests from the control processes of other instances.
///
/// Thread safety: called by gRPC on any of its threads.
class PeerService final : public cassiacrank::Peers::Service
{
public:
    explicit PeerService(ControlState &state)
        : state_(state)
    {
    }

    grpc::Status Pull(grpc::ServerContext *context, const cassiacrank::PullRequest *request,
                      cassiacrank::PullAnswer *answer) override;

private:
    ControlState &state_;
};

/// Serves the processes of the local instance. It listens on a separate address, so that no other
/// instance can send reports on behalf of these processes.
///
/// Thread safety: called by gRPC on any of its threads.
class LocalService final : public cassiacrank::Control::Service
{
public:
    explicit LocalService(ControlState &state)
        : state_(state)
    {
    }

    grpc::Status Subscribe(grpc::ServerContext *context,
                           const cassiacrank::SubscribeRequest *request,
                           grpc::ServerWriter<cassiacrank::Snapshot> *writer) override;
    grpc::Status Report(grpc::ServerContext *context, const cassiacrank::ProcessReport *report,
                        cassiacrank::ReportAck *ack) override;

private:
    ControlState &state_;
};

} // namespace Controld
