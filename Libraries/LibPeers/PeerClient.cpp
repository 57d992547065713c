#include "PeerClient.h"

#include <LibPeers/Generated/cassiacrank.grpc.pb.h>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <grpcpp/grpcpp.h>

namespace Peers {

namespace {

constexpr int maxReconnectBackoffMs = 500;

std::unique_ptr<cassiacrank::Peers::Stub> makeStub(const Model::Address &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs / 5);
    // Without a subchannel pool of its own, a new channel reuses the old connection, which may be
    // the unresponsive one.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(maxMessageBytes);
    const auto channel = grpc::CreateCustomChannel(Model::toText(address),
                                                   grpc::InsecureChannelCredentials(), arguments);
    return cassiacrank::Peers::NewStub(channel);
}

struct Call
{
    grpc::ClientContext context_;
    cassiacrank::PullRequest request_;
    cassiacrank::PullAnswer answer_;
    std::shared_ptr<cassiacrank::Peers::Stub> stub_;
    Model::SteadyTime finishedAt_;
};

/// gRPC uses a call for a short time after its completion callback, and destroying the call or its
/// channel on the callback's thread fails an assertion in gRPC.
constexpr Model::Milliseconds finishedCallLifetime{1000};

} // namespace

struct PeerClient::State
{
    std::mutex mutex_;
    std::condition_variable idle_;
    std::map<Model::Address, std::shared_ptr<cassiacrank::Peers::Stub>> stubs_;
    std::map<Call *, std::unique_ptr<Call>> calls_;
    std::deque<std::unique_ptr<Call>> finished_;
    std::atomic<std::uint64_t> sent_{0};
    std::atomic<std::uint64_t> received_{0};
};

namespace {

void dropFinished(std::deque<std::unique_ptr<Call>> &finished)
{
    const auto oldest = std::chrono::steady_clock::now() - finishedCallLifetime;
    while (!finished.empty() && finished.front()->finishedAt_ < oldest)
        finished.pop_front();
}

} // namespace

PeerClient::PeerClient()
    : state_(std::make_shared<State>())
{
}

PeerClient::~PeerClient()
{
    std::unique_lock lock(state_->mutex_);
    for (const auto &[pointer, call] : state_->calls_)
        call->context_.TryCancel();
    state_->idle_.wait(lock, [this] {
        return state_->calls_.empty();
    });
}

void PeerClient::pull(const Model::Address &address, const cassiacrank::PullRequest &request,
                      Model::Milliseconds timeout, Done done)
{
    auto owned = std::make_unique<Call>();
    Call *call = owned.get();
    call->request_ = request;
    call->context_.set_deadline(std::chrono::system_clock::now() + timeout);
    {
        const std::lock_guard lock(state_->mutex_);
        dropFinished(state_->finished_);
        auto &stub = state_->stubs_[address];
        if (!stub)
            stub = makeStub(address);
        call->stub_ = stub;
        state_->calls_[call] = std::move(owned);
    }
    state_->sent_ += request.ByteSizeLong();

    const auto finish
        = [state = state_, call, address, done = std::move(done)](const grpc::Status &status) {
              if (status.ok())
                  state->received_ += call->answer_.ByteSizeLong();
              done(status.ok() ? &call->answer_ : nullptr);
              const std::lock_guard lock(state->mutex_);
              // A permanently unresponsive connection looks like a slow peer. Only a new
              // connection distinguishes the two, so this one is not reused.
              if (!status.ok() && state->stubs_[address] == call->stub_)
                  state->stubs_.erase(address);
              call->finishedAt_ = std::chrono::steady_clock::now();
              const auto found = state->calls_.find(call);
              state->finished_.push_back(std::move(found->second));
              state->calls_.erase(found);
              state->idle_.notify_all();
          };
    call->stub_->async()->Pull(&call->context_, &call->request_, &call->answer_, finish);
}

std::uint64_t PeerClient::bytesSent() const
{
    return state_->sent_;
}

std::uint64_t PeerClient::bytesReceived() const
{
    return state_->received_;
}

} // namespace Peers
