#pragma once

/// LibPeers: what instances tell each other, and what the processes of one instance tell each
/// other. This is the library's only public header; services include the generated gRPC code beside
/// it.

#include "Codec.h"
#include "ControlClient.h"
#include "Gossip.h"
#include "InstanceView.h"
#include "Members.h"
#include "PeerClient.h"
#include "ShareWalks.h"
