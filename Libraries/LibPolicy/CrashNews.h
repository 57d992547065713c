#pragma once

#include "CrashEvidence.h"

namespace Policy {

/// A run that ended, as instances tell each other.
struct ToldRun
{
    RunKey run_;
    /// How long ago it ended.
    Model::Milliseconds age_{0};
    std::vector<Suspect> suspects_;
};

/// A verdict, as instances tell each other.
struct ToldQuarantine
{
    RequestPrint print_;
    std::uint32_t generation_ = 1;
    std::uint32_t lifted_ = 0;
    /// How long ago it was made.
    Model::Milliseconds age_{0};
};

struct CrashNews
{
    std::vector<ToldRun> runs_;
    std::vector<ToldQuarantine> quarantines_;

    bool isEmpty() const { return runs_.empty() && quarantines_.empty(); }
};

/// What one message holds at the most.
constexpr std::size_t mostRunsTold = 24;
constexpr std::size_t mostQuarantinesTold = 64;
/// What is new of a run is told for so long; all instances have heard it by then. Quarantines are
/// told for as long as they are known, so whoever starts or was cut off hears of them.
constexpr Model::Milliseconds runTellTime{6000};

/// Returns what others should hear of \a book. Thread safety: any thread.
CrashNews newsOf(const CrashBook &book, Model::SteadyTime now);

/// Takes in what another instance told; more than one message may hold is ignored. What was told
/// twice, or in another order, makes no difference. Returns whether anything was new.
/// Thread safety: \a book belongs to the calling thread.
bool takeIn(CrashBook &book, const CrashNews &news, Model::SteadyTime now);

} // namespace Policy
