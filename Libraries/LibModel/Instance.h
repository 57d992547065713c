#pragma once

#include "Address.h"
#include "Identifiers.h"
#include "Units.h"

namespace Model {

/// Where the processes of one instance listen.
struct InstanceAddresses
{
    /// Callers ask for an entry here.
    Address lookup_;
    /// Callers send requests here.
    Address entry_;
    /// Entries of other regions hand requests over here; internal headers are believed only here.
    Address entryPeer_;
    /// Other instances' control processes exchange state here.
    Address control_;
    /// Readout of the control process, for operators.
    Address controlAdmin_;

    bool operator==(const InstanceAddresses &) const = default;
};

/// One of cassiacrank's own instances, as the platform's list or a peer names it.
struct Instance
{
    InstanceId id_;
    RegionId region_;
    FailureDomainId domain_;
    InstanceAddresses addresses_;
    bool isLeaving_ = false;

    bool operator==(const Instance &) const = default;
};

} // namespace Model
