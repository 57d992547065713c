#pragma once

#include "Address.h"
#include "Identifiers.h"
#include "Units.h"

namespace Model {

/// The registration of one incarnation of a target that registers itself.
///
/// Another target at the same address has a different id. A restarted target may keep its id and
/// then has a later incarnation.
struct TargetRecord
{
    TargetId id_;
    ServiceId service_;
    FailureDomainId domain_;
    Address address_;
    Slots slots_;
    /// Whether the target is leaving: it accepts work only for a short time and gets no new work.
    bool isLeaving_ = false;
    /// Start time of this incarnation; a later incarnation of the same id has a higher one. Zero if
    /// the target does not report it.
    Incarnation incarnation_;
    /// Number of reports that this incarnation has made so far.
    std::uint64_t reportCount_ = 0;
    /// Remaining time, from receipt of this record, in which the target is slow and can take only a
    /// limited rate.
    Milliseconds remainingColdTime_{0};

    bool operator==(const TargetRecord &) const = default;
};

} // namespace Model
