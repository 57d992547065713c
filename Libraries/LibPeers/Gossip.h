#pragma once

#include "Codec.h"

namespace Peers {

/// The state that an instance's control process holds and exchanges with its peers.
///
/// Thread safety: none; its owner guards it.
struct GossipState
{
    InstanceRecord self_;
    Members members_;
    Platform::TableMirror table_;
    Policy::CrashRecords crashes_;
};

/// Returns a request for the updates that \a state is missing. For a peer in another region it
/// contains only the table version, the summaries, the crash records and the local record.
/// Thread safety: none.
cassiacrank::PullRequest makePull(const GossipState &state, bool isSameRegion,
                                  Model::SteadyTime now);

/// Merges the sender's state from the request and returns the updates that the sender is missing.
///
/// Thread safety: none.
cassiacrank::PullAnswer answerPull(GossipState &state, const cassiacrank::PullRequest &request,
                                   Model::SteadyTime now);

/// What a peer's answer changed.
struct PullResult
{
    bool tableChanged_ = false;
    bool liveChanged_ = false;
    /// The answer had a fresh summary of the requester's region.
    bool localRegionHasSummary_ = false;
    /// The peer that answered; std::nullopt if its record is invalid.
    std::optional<Model::Instance> responder_;
    bool responderIsReady_ = false;
    Model::TableVersion responderVersion_;
};

/// Merges a peer's answer. An invalid part is dropped whole, the rest is kept.
///
/// Thread safety: none.
PullResult mergePullAnswer(GossipState &state, const cassiacrank::PullAnswer &answer,
                           Model::SteadyTime now);

} // namespace Peers
