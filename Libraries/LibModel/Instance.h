#pragma once

#include "Address.h"
#include "Identifiers.h"
#include "InstanceSize.h"
#include "Units.h"

namespace Model {

/// The addresses on which the processes of an instance listen.
struct InstanceAddresses
{
    /// Callers look up an entry here.
    Address lookup_;
    /// Callers send requests here.
    Address entry_;
    /// Entries of other regions forward requests here; internal headers are trusted only here.
    Address entryPeer_;
    /// Other instances' control processes exchange state here.
    Address control_;
    /// Admin endpoint of the control process, for operators.
    Address controlAdmin_;

    bool operator==(const InstanceAddresses &) const = default;
};

/// An instance of cassiacrank, as listed by the platform or reported by a peer.
struct Instance
{
    InstanceId id_;
    RegionId region_;
    FailureDomainId domain_;
    InstanceAddresses addresses_;
    InstanceSize size_;
    bool isLeaving_ = false;

    bool operator==(const Instance &) const = default;
};

} // namespace Model
