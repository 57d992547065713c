#pragma once

#include "Address.h"
#include "Identifiers.h"
#include "Units.h"

namespace Model {

/// What a target that registers itself says of one of its runs.
///
/// The id belongs to that run alone: another run, or another target at the same address, has
/// another id.
struct TargetRecord
{
    TargetId id_;
    ServiceId service_;
    FailureDomainId domain_;
    Address address_;
    Slots slots_;
    /// It takes work for a short while only, and gets no new work.
    bool isLeaving_ = false;
    /// How much longer it works slowly and bears only a limited rate, from when this was learned.
    Milliseconds coldFor_{0};

    bool operator==(const TargetRecord &) const = default;
};

} // namespace Model
