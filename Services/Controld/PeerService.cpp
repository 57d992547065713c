#include "PeerService.h"

namespace Controld {

// The method names are given by the generated gRPC code.
// NOLINTBEGIN(readability-identifier-naming)

grpc::Status PeerService::Pull(grpc::ServerContext *, const cassiacrank::PullRequest *request,
                               cassiacrank::PullAnswer *answer)
{
    *answer = state_.answerPull(*request);
    return grpc::Status::OK;
}

grpc::Status LocalService::Subscribe(grpc::ServerContext *context,
                                     const cassiacrank::SubscribeRequest *,
                                     grpc::ServerWriter<cassiacrank::Snapshot> *writer)
{
    state_.onSubscriberConnected();
    SentState sent;
    bool isClosed = false;
    while (!isClosed && !context->IsCancelled()) {
        const cassiacrank::Snapshot snapshot = state_.waitForSnapshot(sent, isClosed);
        if (!writer->Write(snapshot))
            break;
    }
    state_.onSubscriberDisconnected();
    return grpc::Status::OK;
}

grpc::Status LocalService::Report(grpc::ServerContext *, const cassiacrank::ProcessReport *report,
                                  cassiacrank::ReportAck *)
{
    state_.onReport(*report);
    return grpc::Status::OK;
}

// NOLINTEND(readability-identifier-naming)

} // namespace Controld
