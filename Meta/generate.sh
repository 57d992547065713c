#!/usr/bin/env bash
# Makes the gRPC code anew from the message definitions. The result is committed.
set -euo pipefail
cd "$(dirname "$0")/../Libraries/LibPeers"
protoc --cpp_out=Generated --grpc_out=Generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" cassiacrank.proto
