#pragma once

#include <LibModel/LibModel.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Policy {

/// Identifies a service in messages: the lower 32 bits of seedOf() of its id.
using ServiceKey = Model::StrongNumber<struct ServiceKeyTag, std::uint32_t>;

/// Ranks that are told apart, from 0 (most urgent). The table allows up to 1000; the ranks from the
/// last one on count as one.
constexpr std::size_t rankCount = 10;
using ByRank = std::array<double, rankCount>;

/// Returns the index of \a rank in a ByRank. Thread safety: any thread.
std::size_t rankIndex(int rank);

/// How many requests of a service and a rank arrive at an instance and are admitted there, as
/// exchanged between instances.
struct DemandItem
{
    ServiceKey service_;
    int rank_ = 0;
    Model::RequestsPerSecond arrivals_;
    Model::RequestsPerSecond admitted_;
    /// Time since the sender counted them.
    Model::Milliseconds age_{0};
};

/// Limits the demand in one message to 0.6 kB.
constexpr std::size_t maxDemandPerMessage = 32;
/// A peer's report is discarded when it is older: seven rounds of exchanges, in which a peer of the
/// region sends several.
constexpr Model::Milliseconds demandLifetime{3000};
/// Interval at which requests are counted into rates and the admitted shares are computed.
constexpr Model::Milliseconds demandInterval{100};
/// Time constant of the rates. An instance sees 16 to 27 requests a second; a shorter time makes
/// its rates vary by more than a fifth, a longer one delays the start of a shortage by more than
/// the half second after which it is entered.
constexpr Model::Milliseconds demandSmoothing{1000};

/// A shortage begins when demand is above this part of the capacity for shortageEntryPeriod: at
/// higher use, the wait for a slot exceeds the time of the work, and goals are missed.
constexpr double shortageEntryUse = 0.95;
constexpr Model::Milliseconds shortageEntryPeriod{500};
/// It ends when demand is below this part for shortageExitPeriod. The gap is wider than the
/// variation of the measured demand, so that callers see no alternation.
constexpr double shortageExitUse = 0.8;
constexpr Model::Milliseconds shortageExitPeriod{2000};
/// The part of the capacity that is admitted during a shortage; as for entry.
constexpr double shortageAdmittedUse = shortageEntryUse;
/// No rank and no workspace gets less than this part of the mean admitted share.
constexpr double leastShareOfMean = 0.25;

/// Workspaces with fewer requests a second at this instance are treated as one group. The rate of a
/// workspace with a few requests within demandSmoothing is mostly chance: at 4 requests a second it
/// varies by a third, and the fractions that follow from it admit 8% too many requests.
constexpr double minWorkspaceRate = 8;
/// How fast the admitted rate is corrected for what the varying rates admit too much or too little,
/// and the bounds of the correction. Half of an excess is gone after 1.4 s, which is slower than
/// the rates vary.
constexpr double correctionPerSecond = 0.5;
constexpr double leastCorrection = 0.5;
constexpr double mostCorrection = 1.2;
/// Workspaces below this rate are forgotten: seven seconds after a single request.
constexpr double forgottenWorkspaceRate = 0.001;
/// At most this many workspaces are told apart, which bounds the time of an update; the requests of
/// further ones are treated as the group of small workspaces.
constexpr std::size_t maxWorkspacesCounted = 256;

/// Requests of one rank of a workspace, or of all small workspaces.
struct RankDemand
{
    /// Counted since the last update; late_ are those of arrived_ that would have been late.
    std::uint32_t arrived_ = 0;
    std::uint32_t late_ = 0;
    std::uint32_t admittedCount_ = 0;
    /// Requests a second.
    double arrivals_ = 0;
    double admitted_ = 0;
    /// The fraction that is admitted, and the credit that admits one request of several.
    double fraction_ = 1;
    double credit_ = 0.5;
};

struct WorkspaceDemand
{
    std::array<RankDemand, rankCount> ranks_;
    /// Its rate is too low to have fractions of its own.
    bool isSmall_ = true;
};

/// A peer's latest report on one service.
struct PeerDemand
{
    ByRank arrivals_{};
    ByRank admitted_{};
    Model::SteadyTime countedAt_ = Model::distantPast;
};

/// The inputs of the state that do not come from requests or peers.
struct ShortageCapacity
{
    /// The region's slots of the service.
    double slots_ = 0;
    /// Mean time for which a request occupies a slot; zero if it is not known yet.
    Model::Microseconds meanWork_{0};
    /// Live entries of the region, with this instance.
    std::size_t entries_ = 1;
};

/// Demand and shortage of one service as one instance sees them. Not shared between threads.
struct Shortage
{
    std::map<Model::WorkspaceId, WorkspaceDemand> workspaces_;
    /// The group of small workspaces; its fractions hold for workspaces that are not known yet.
    WorkspaceDemand others_;
    std::map<Model::InstanceId, PeerDemand> peers_;
    Model::SteadyTime updatedAt_ = Model::distantPast;

    /// Requests a second at this instance.
    ByRank ownArrivals_{};
    ByRank ownAdmitted_{};
    /// Requests a second that the region's fractions would have admitted here, and the factor that
    /// brings ownAdmitted_ to that.
    double ownTarget_ = 0;
    double correction_ = 1;
    /// Slot seconds a second that the region's requests need, in total and by rank.
    double demand_ = 0;
    ByRank demandByRank_{};
    double slots_ = 0;
    std::size_t freshPeers_ = 0;
    /// The fraction of each rank's requests in the region that is admitted.
    ByRank fractions_ = allAdmitted();

    bool isShort_ = false;
    /// Since when demand is above the entry threshold, or below the exit threshold.
    std::optional<Model::SteadyTime> crossedSince_;
    /// When the present state was entered.
    Model::SteadyTime changedAt_ = Model::distantPast;

    static constexpr ByRank allAdmitted()
    {
        ByRank all{};
        all.fill(1);
        return all;
    }
};

enum class ShortageVerdict {
    Admit,
    /// Its rank or its workspace has had its part of the slots.
    Refuse,
    /// Its answer would arrive after its deadline.
    WouldBeLate,
};

/// One request as the shortage state sees it.
struct ShortageRequest
{
    int rank_ = 0;
    Model::WorkspaceId workspace_;
    /// Time that the work is expected to take, and time until the deadline.
    Model::Microseconds expected_{0};
    Model::Microseconds left_{0};
};

/// Counts \a request and decides whether it is admitted. Outside a shortage, each one is.
///
/// Without it, at four times the capacity the slots go to whichever requests arrive first: rank 0
/// is refused as often as rank 2, and one workspace takes the slots of all others. The decision
/// uses credit counters, so the admitted part is exact over any few requests. Thread safety: \a
/// shortage belongs to the calling thread.
ShortageVerdict admitDuringShortage(Shortage &shortage, const ShortageRequest &request);

/// Updates rates, state and fractions, if demandInterval has passed since the last update. Returns
/// whether the state was entered or left.
///
/// The region's demand is the mean of this instance's and its fresh peers' demand times the live
/// entries, because gossip brings the reports of a part of the peers only; without any report it
/// is this instance's demand times the entries. Thread safety: as above.
bool updateShortage(Shortage &shortage, const ShortageCapacity &capacity, Model::SteadyTime now);

/// Records what \a peer of the same region reported of the service \a key, at \a now. The list is
/// the whole report: a rank that it does not contain has no requests. A report that is older than
/// the known one or than demandLifetime is ignored. Thread safety: as above.
void mergePeerDemand(Shortage &shortage, ServiceKey key, const Model::InstanceId &peer,
                     const std::vector<DemandItem> &items, Model::SteadyTime now);

/// Adds this instance's own demand for the service \a key to \a items, without ranks that have no
/// requests. Thread safety: any thread.
void addDemandItems(std::vector<DemandItem> &items, ServiceKey key, const Shortage &shortage,
                    Model::SteadyTime now);
/// Keeps the items with the most arrivals that fit into one message. Thread safety: any thread.
void keepLargestDemand(std::vector<DemandItem> &items);

/// Returns which fraction of each rank's requests is admitted, where \a demand and \a capacity are
/// in slot seconds a second. The least urgent rank is cut first, and none below leastShareOfMean of
/// the mean. Thread safety: any thread.
ByRank admittedByRank(const ByRank &demand, double capacity);

/// The admitted shares (1 is all) of the workspaces that have the least and the most.
struct WorkspaceShares
{
    double least_ = 1;
    double most_ = 1;
};

/// Returns the shares as measured; small workspaces count as one. Thread safety: any thread.
WorkspaceShares workspaceShares(const Shortage &shortage);

/// Returns which fraction of this instance's arrivals of each rank is admitted as measured; 1 for a
/// rank without requests. Thread safety: any thread.
ByRank measuredShares(const Shortage &shortage);

} // namespace Policy
