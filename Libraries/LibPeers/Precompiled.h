#pragma once

#include <LibPeers/Generated/cassiacrank.grpc.pb.h>
#include <LibPlatform/LibPlatform.h>
#include <grpcpp/grpcpp.h>
