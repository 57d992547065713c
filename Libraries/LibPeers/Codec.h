#pragma once

#include "Members.h"

#include <LibPeers/Generated/cassiacrank.pb.h>
#include <LibPlatform/LibPlatform.h>

#include <optional>

namespace Peers {

/// The limit of a received message, instead of gRPC's default of 4 MB. The map of client blocks of
/// a large fleet takes tens of megabytes, and a table several.
constexpr int maxMessageBytes = 128 * 1024 * 1024;

/// Conversions between the protocol messages and the structs that the rest of the code uses.
///
/// The fromMessage() overloads that return std::optional return std::nullopt, with SnapshotInvalid
/// as the last reason, for an invalid message, so that it is dropped whole.
/// Thread safety: any thread.

cassiacrank::TableDelta toMessage(const Platform::TableDelta &delta);
std::optional<Platform::TableDelta> fromMessage(const cassiacrank::TableDelta &message);

cassiacrank::Instance toMessage(const Model::Instance &instance);
std::optional<Model::Instance> fromMessage(const cassiacrank::Instance &message);

cassiacrank::InstanceRecord toMessage(const InstanceRecord &record);
std::optional<InstanceRecord> fromMessage(const cassiacrank::InstanceRecord &message);

cassiacrank::RegionSummary toMessage(const RegionSummary &summary);
std::optional<RegionSummary> fromMessage(const cassiacrank::RegionSummary &message);

cassiacrank::DomainLoad toMessage(const DomainLoad &load);
DomainLoad fromMessage(const cassiacrank::DomainLoad &message);

cassiacrank::WalkedShares toMessage(const WalkedShares &walked);
WalkedShares fromMessage(const cassiacrank::WalkedShares &message);

cassiacrank::CrashNews toMessage(const Policy::CrashUpdate &update);
Policy::CrashUpdate fromMessage(const cassiacrank::CrashNews &message);

} // namespace Peers
