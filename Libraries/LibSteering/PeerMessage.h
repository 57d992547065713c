#pragma once

#include "RemovalAges.h"

#include <LibPolicy/LibPolicy.h>

#include <optional>
#include <string>

namespace Steering {

/// A gossip message: the sender's record and its updates on other members, on loads, on crashes, on
/// removed registrations, on targets' rate limits and on its demand. Request and answer have the
/// same form.
struct PeerMessage
{
    Policy::Member sender_;
    Policy::PeerUpdate update_;
    std::vector<Policy::TargetLoad> loads_;
    Policy::CrashUpdate crashes_;
    RemovalAges removals_;
    std::vector<Policy::TargetLimitReport> limits_;
    /// All services and ranks for which the sender has requests; std::nullopt if it does not tell.
    std::optional<std::vector<Policy::DemandItem>> demand_;
};

/// Encodes \a message as MessagePack: a full member record takes 150 bytes and a heartbeat record
/// 40, where JSON with names takes 250 for either. Thread safety: any thread.
std::string toBytes(const PeerMessage &message);

/// Decodes a message of toBytes() that arrived at \a now. Returns std::nullopt, with
/// PeerMessageUnreadable as the last reason, for anything else. Thread safety: any thread.
std::optional<PeerMessage> peerMessageFromBytes(const std::string &bytes, Model::SteadyTime now);

/// The same for one member, as JSON text: the record that an instance writes to the store.
std::string toText(const Policy::Member &member);
std::optional<Policy::Member> memberFromText(const std::string &text, Model::SteadyTime now);

} // namespace Steering
