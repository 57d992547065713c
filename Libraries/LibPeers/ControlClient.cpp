#include "ControlClient.h"

#include <LibObserve/LibObserve.h>
#include <LibPeers/Generated/cassiacrank.grpc.pb.h>
#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <mutex>

namespace Peers {

namespace {

constexpr Model::Milliseconds reconnectDelay{100};
constexpr Model::Milliseconds reportTimeout{500};

std::shared_ptr<grpc::Channel> makeChannel(const Model::Address &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 10000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 2000);
    arguments.SetMaxReceiveMessageSize(maxMessageBytes);
    return grpc::CreateCustomChannel(Model::toText(address), grpc::InsecureChannelCredentials(),
                                     arguments);
}

} // namespace

struct ControlClient::State
{
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopping_ = false;
    grpc::ClientContext *current_ = nullptr;
    std::unique_ptr<cassiacrank::Control::Stub> stub_;
};

ControlClient::ControlClient(Model::Address address, std::string role)
    : address_(std::move(address))
    , role_(std::move(role))
    , state_(std::make_shared<State>())
{
    state_->stub_ = cassiacrank::Control::NewStub(makeChannel(address_));
}

ControlClient::~ControlClient()
{
    stop();
}

void ControlClient::start(OnSnapshot onSnapshot)
{
    onSnapshot_ = std::move(onSnapshot);
    thread_ = std::thread([this] {
        follow();
    });
}

void ControlClient::stop()
{
    {
        const std::lock_guard lock(state_->mutex_);
        state_->isStopping_ = true;
        if (state_->current_)
            state_->current_->TryCancel();
        state_->changed_.notify_all();
    }
    if (thread_.joinable())
        thread_.join();
}

void ControlClient::follow()
{
    bool wasConnected = false;
    while (true) {
        grpc::ClientContext context;
        // After a call that fails at once, no thread polls the sockets: gRPC notices a connection
        // made between two such calls only in its own poll every 5 s, and the entry starts to serve
        // that much later. A call that waits for the connection polls continuously.
        context.set_wait_for_ready(true);
        {
            const std::lock_guard lock(state_->mutex_);
            if (state_->isStopping_)
                return;
            state_->current_ = &context;
        }
        cassiacrank::SubscribeRequest request;
        request.set_role(role_);
        auto stream = state_->stub_->Subscribe(&context, request);
        cassiacrank::Snapshot snapshot;
        while (stream->Read(&snapshot)) {
            if (!wasConnected)
                Observe::logEvent(Observe::Event::ControlBack);
            wasConnected = true;
            onSnapshot_(snapshot);
        }
        stream->Finish();

        std::unique_lock lock(state_->mutex_);
        state_->current_ = nullptr;
        if (state_->isStopping_)
            return;
        if (wasConnected)
            Observe::logEvent(Observe::Event::ControlLost);
        wasConnected = false;
        state_->changed_.wait_for(lock, reconnectDelay, [this] {
            return state_->isStopping_;
        });
    }
}

bool ControlClient::report(const cassiacrank::ProcessReport &report)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + reportTimeout);
    cassiacrank::ReportAck ack;
    return state_->stub_->Report(&context, report, &ack).ok();
}

} // namespace Peers
