#pragma once

#include "Address.h"
#include "Identifiers.h"
#include "Units.h"

namespace Model {

/// What a target that registers itself says of one of its runs.
///
/// Another target at the same address has another id; another run of the same one may have this id
/// too, and then a later incarnation.
struct TargetRecord
{
    TargetId id_;
    ServiceId service_;
    FailureDomainId domain_;
    Address address_;
    Slots slots_;
    /// It takes work for a short while only, and gets no new work.
    bool isLeaving_ = false;
    /// When this run of the target started; a later run of the same id has a higher one. Zero where
    /// the target does not say.
    Incarnation incarnation_;
    /// How many reports this run had made by then.
    std::uint64_t reports_ = 0;
    /// How much longer it works slowly and bears only a limited rate, from when this was learned.
    Milliseconds coldFor_{0};

    bool operator==(const TargetRecord &) const = default;
};

} // namespace Model
