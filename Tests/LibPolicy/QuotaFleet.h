#pragma once

#include <LibPolicy/LibPolicy.h>

#include <deque>
#include <random>
#include <vector>

namespace Fleets {

/// Requests per second of one workspace at all instances together, at a time since the start.
using Demand = std::function<double(double seconds)>;

/// Instances that share the quota of one workspace, with the product's own decisions and without a
/// network: reports and answers arrive after a delay, and instances may be cut off from each other.
class QuotaFleet
{
public:
    /// \a perDomain instances in each of six failure domains of three regions.
    QuotaFleet(std::size_t perDomain, const Model::Workspace &workspace, std::uint64_t seed);

    /// Runs for \a seconds of \a demand, spread unevenly over the instances.
    void run(double seconds, const Demand &demand);
    /// Cuts the first \a count instances off from all others, or ends the cut with 0.
    void cutOff(std::size_t count) { cutOff_ = count; }
    /// Ends the root; the others find that it does not answer.
    void killRoot();
    /// The last \a count instances start anew and have lost what they knew.
    void restart(std::size_t count);
    void restartAll() { restart(instances_.size()); }

    /// Returns the largest number of admitted requests in any window of \a seconds.
    std::size_t mostAdmittedIn(double seconds) const;
    /// Returns the fraction of the requests since \a from, of all ranks or of one, that were
    /// admitted.
    double admittedFraction(double from, std::optional<int> rank = std::nullopt) const;
    double seconds() const { return Model::inSeconds(now_ - start); }

private:
    static constexpr Model::SteadyTime start{std::chrono::seconds(1000)};

    struct Instance
    {
        Model::Instance identity_;
        Policy::QuotaLedger ledger_;
        Policy::QuotaPool pool_;
        Policy::QuotaGate gate_;
        Model::SteadyTime fractionAt_ = Model::distantPast;
        Model::SteadyTime reportAt_;
        std::map<Model::InstanceId, Model::SteadyTime> unreachableUntil_;
        Model::InstanceId parent_;
        bool needsWhole_ = true;
        bool isRoot_ = false;
        bool isDead_ = false;
        bool hasReported_ = false;
        std::uint64_t reportsSent_ = 0;
        Model::Incarnation incarnation_;
        Model::SteadyTime startedAt_ = start;
    };

    struct Message
    {
        Model::SteadyTime arrivesAt_;
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        Policy::QuotaReport report_;
        std::optional<Policy::QuotaAnswer> answer_;
        Model::SteadyTime sentAt_;
    };

    struct Arrival
    {
        Model::SteadyTime at_;
        int rank_ = 0;
        bool isAdmitted_ = false;
    };

    Policy::AloneBecause whyAlone(const Instance &instance) const;
    void step(const Demand &demand);
    void arrive(Instance &instance);
    void reportDue(std::size_t index);
    void deliver(Message message);
    void updateRoot(Instance &instance);
    bool areConnected(std::size_t a, std::size_t b) const;
    Model::Milliseconds delayBetween(std::size_t a, std::size_t b) const;

    Model::Workspace workspace_;
    std::uint64_t key_;
    std::mt19937_64 random_;
    std::vector<Instance> instances_;
    Policy::Members members_;
    std::vector<Message> messages_;
    std::vector<Arrival> arrivals_;
    std::discrete_distribution<std::size_t> instanceOfRequest_;
    /// One request in eight has rank 0, four have rank 1, three rank 2.
    std::discrete_distribution<int> rankOfRequest_{1, 4, 3};
    std::size_t cutOff_ = 0;
    bool hasEarlierInstances_ = false;
    Model::SteadyTime now_ = start;
};

} // namespace Fleets
