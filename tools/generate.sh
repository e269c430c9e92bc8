#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC sources from proto/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=gen/generated
mkdir -p "$out"
protoc -I proto --cpp_out="$out" proto/*.proto
protoc -I proto --grpc_out="$out" \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
  proto/platform.proto proto/operator.proto proto/peer_service.proto
