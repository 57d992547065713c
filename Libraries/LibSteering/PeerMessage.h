#pragma once

#include <LibPolicy/LibPolicy.h>

#include <optional>
#include <string>

namespace Steering {

/// What an instance says when it asks a peer: who it is, and what it knows of others. The peer
/// answers with itself and its news.
struct PeerMessage
{
    Policy::Member sender_;
    Policy::PeerNews news_;
    std::vector<Policy::TargetLoad> loads_;
    Policy::CrashNews crashes_;
};

/// Returns \a message in MessagePack: a record of an instance is 150 bytes there and a pulse 40,
/// where JSON with names takes 250 for either. Thread safety: any thread.
std::string toBytes(const PeerMessage &message);

/// Reads what toBytes() wrote at \a now. Nothing, with PeerMessageUnreadable as the last reason,
/// if it is anything else. Thread safety: any thread.
std::optional<PeerMessage> peerMessageFromBytes(const std::string &bytes, Model::SteadyTime now);

/// The same for one member alone, as text: what an instance writes of itself to the store.
std::string toText(const Policy::Member &member);
std::optional<Policy::Member> memberFromText(const std::string &text, Model::SteadyTime now);

} // namespace Steering
