#pragma once

#include "CallerKey.h"
#include "Identifiers.h"
#include "Units.h"

#include <optional>
#include <vector>

namespace Model {

/// A group of callers that share keys, a quota and home regions.
struct Workspace
{
    WorkspaceId id_;
    /// The keys that identify its callers.
    std::vector<CallerKeyDigest> keys_;
    /// Rank of its requests while slots are short; goes before the route's.
    std::optional<int> priority_;
    /// Quota over all instances; zero means no limit.
    RequestsPerSecond limit_;
    /// Requests that may exceed the quota at once.
    double burst_ = 0;
    /// Regions in which its requests must stay; empty allows all regions.
    std::vector<RegionId> allowedRegions_;

    bool isLimited() const { return limit_.value() > 0; }
};

} // namespace Model
