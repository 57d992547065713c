#pragma once

#include "Codec.h"

namespace Peers {

/// Everything that an instance's control process knows and passes on.
///
/// Thread safety: none; its owner guards it.
struct GossipState
{
    InstanceRecord self_;
    Members members_;
    Platform::TableMirror table_;
    Policy::CrashBook crashes_;
};

/// Returns the request that asks a peer for what \a state lacks. A peer of another region is told
/// only of the table, the summaries and itself. Thread safety: none.
cassiacrank::PullRequest makePull(const GossipState &state, bool isSameRegion,
                                  Model::SteadyTime now);

/// Takes in what the request tells of its sender and returns what the sender lacks.
///
/// Thread safety: none.
cassiacrank::PullAnswer answerPull(GossipState &state, const cassiacrank::PullRequest &request,
                                   Model::SteadyTime now);

/// What an answer brought.
struct PullResult
{
    bool tableChanged_ = false;
    bool liveChanged_ = false;
    /// The answer had a fresh summary of the asker's own region.
    bool localRegionHasSummary_ = false;
    /// Who answered; nothing if the answer could not be read.
    std::optional<Model::Instance> responder_;
    bool responderIsReady_ = false;
    Model::TableVersion responderVersion_;
};

/// Takes in a peer's answer. A part that breaks a rule is dropped whole, the rest is kept.
///
/// Thread safety: none.
PullResult takeInAnswer(GossipState &state, const cassiacrank::PullAnswer &answer,
                      Model::SteadyTime now);

} // namespace Peers
