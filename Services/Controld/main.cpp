#include "GossipRounds.h"
#include "PeerService.h"
#include "StorePoller.h"

#include <iostream>
#include <thread>

namespace {

using Controld::ControlState;
using Observe::Event;
using Observe::ExitCode;

/// How long a stop waits for entryd and lookupd to disconnect before it proceeds without them.
constexpr Model::Milliseconds disconnectTimeout{30000};
/// Time allowed for the leaving flag to reach the peers.
constexpr Model::Milliseconds leavingPropagationTime{600};

std::unique_ptr<grpc::Server> listen(const Model::Address &address, grpc::Service &service)
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(Model::toText(address), grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&service);
    auto server = builder.BuildAndStart();
    if (!server || port == 0) {
        Observe::logEvent(Event::ListenFailed, {{"address", Model::toText(address)}});
        return nullptr;
    }
    return server;
}

Model::Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<Model::Milliseconds>(now);
    return Model::Incarnation(static_cast<std::uint64_t>(milliseconds.count()));
}

std::string metricsText(const ControlState &state, const Controld::StorePoller &poller,
                        const Peers::PeerClient &client)
{
    Observe::MetricsText text;
    text.add("cassiacrank_control_ready", "Whether the instance may serve.", "gauge",
             state.isReady() ? 1 : 0);
    text.add("cassiacrank_control_store_reads_total", "Reads of the platform's store.", "counter",
             static_cast<double>(poller.reads()));
    text.add("cassiacrank_control_peer_sent_bytes_total", "Message bytes sent to peers.", "counter",
             static_cast<double>(client.bytesSent()));
    text.add("cassiacrank_control_peer_received_bytes_total", "Message bytes from peers.",
             "counter", static_cast<double>(client.bytesReceived()));
    return text.text();
}

ExitCode run(const Observe::Settings &settings)
{
    ControlState state(settings, newIncarnation());
    Controld::PeerService peerService(state);
    Controld::LocalService localService(state);
    const auto peerServer = listen(settings.addresses_.control_, peerService);
    const auto localServer = listen(settings.controlLocal_, localService);
    if (!peerServer || !localServer)
        return ExitCode::ListenFailed;

    Http::asio::io_context context(1);
    Peers::PeerClient client;
    Controld::StorePoller poller(context, settings, state);
    Controld::GossipRounds rounds(context, settings, state, client);
    Http::AdminServer admin({[&] {
                                 return metricsText(state, poller, client);
                             },
                             [&] {
                                 return state.statusText();
                             },
                             {}});
    if (!admin.start(settings.addresses_.controlAdmin_)) {
        Observe::logEvent(Event::ListenFailed, {{"reason", toText(Model::lastReason())}});
        return ExitCode::ListenFailed;
    }
    poller.start();
    rounds.start();
    std::thread timers([&] {
        context.run();
    });
    Observe::logEvent(Event::Started, {{"instance", settings.instance_.value()}});

    Observe::waitForStopSignal();
    Observe::logEvent(Event::StopRequested);
    state.beginLeaving();
    std::this_thread::sleep_for(leavingPropagationTime);
    state.waitForSubscribersToDisconnect(disconnectTimeout);
    state.close();
    context.stop();
    timers.join();
    localServer->Shutdown();
    peerServer->Shutdown();
    Observe::logEvent(Event::Stopped);
    return ExitCode::Ok;
}

} // namespace

int main(int argc, char **argv)
{
    const auto start = Observe::startDaemon(
        argc, argv,
        "controld: follows the platform's table, exchanges state with the other instances and\n"
        "sends snapshots to the entryd and lookupd of the local instance.");
    if (!start.settings_)
        return static_cast<int>(start.exitCode_);
    return static_cast<int>(run(*start.settings_));
}
