#include <LibPeers/Generated/cassiacrank.grpc.pb.h>
#include <LibPeers/LibPeers.h>
#include <Support/Property.h>
#include <future>
#include <grpcpp/grpcpp.h>

namespace {

using Model::Milliseconds;

constexpr Milliseconds timeout{10000};

/// A peer whose answer holds a table of at least the given size.
class PeerWithTable : public cassiacrank::Peers::Service
{
public:
    explicit PeerWithTable(std::size_t tableBytes)
        : tableBytes_(tableBytes)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port_);
        builder.RegisterService(this);
        server_ = builder.BuildAndStart();
    }
    ~PeerWithTable() override { server_->Shutdown(); }
    PeerWithTable(const PeerWithTable &) = delete;
    PeerWithTable &operator=(const PeerWithTable &) = delete;

    Model::Address address() const { return {"127.0.0.1", static_cast<std::uint16_t>(port_)}; }

    // The method's name is given by the generated gRPC code.
    // NOLINTNEXTLINE(readability-identifier-naming)
    grpc::Status Pull(grpc::ServerContext *, const cassiacrank::PullRequest *,
                      cassiacrank::PullAnswer *answer) override
    {
        while (answer->ByteSizeLong() < tableBytes_) {
            for (int i = 0; i < 1000; ++i) {
                auto *cell = answer->mutable_delta()->add_rows()->add_cells();
                cell->set_column("prefix");
                cell->set_value(std::string(200, 'p'));
            }
        }
        return grpc::Status::OK;
    }

private:
    std::size_t tableBytes_;
    int port_ = 0;
    std::unique_ptr<grpc::Server> server_;
};

class TestPeerClient : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPeerClient);
    CPPUNIT_TEST(longTableOfAPeerArrives);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a table that never reaches a peer, and with it its heartbeat, because it is
    // longer than the messages that gRPC accepts by default.
    void longTableOfAPeerArrives()
    {
        constexpr std::size_t tableBytes = 12'000'000;
        const PeerWithTable peer(tableBytes);
        Peers::PeerClient client;
        std::promise<std::size_t> received;
        client.pull(peer.address(), {}, timeout, [&](const cassiacrank::PullAnswer *answer) {
            received.set_value(answer ? answer->ByteSizeLong() : 0);
        });
        CPPUNIT_ASSERT(received.get_future().get() >= tableBytes);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPeerClient);
