#pragma once

/// LibPeers: the state exchange between instances and between the processes of one instance.
/// This is the library's only public header; services also include the generated gRPC code.

#include "Codec.h"
#include "ControlClient.h"
#include "Gossip.h"
#include "InstanceView.h"
#include "Members.h"
#include "PeerClient.h"
#include "ShareRamps.h"
