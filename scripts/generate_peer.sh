#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code of src/peer/peer.proto.
set -euo pipefail
cd "$(dirname "$0")/../src/peer"
mkdir -p generated
protoc --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
