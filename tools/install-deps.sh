#!/usr/bin/env bash
# Installs what the build and the tests need on Debian 12; does nothing where
# all of it is there.
set -euo pipefail
packages=(
  build-essential cmake ninja-build pkg-config git
  qt6-base-dev libgrpc++-dev libprotobuf-dev protobuf-compiler
  protobuf-compiler-grpc prometheus-cpp-dev libboost1.81-dev
  libboost-program-options1.81-dev liblog4cxx-dev nlohmann-json3-dev
  libxxhash-dev libzstd-dev libsodium-dev librapidcheck-dev libtins-dev
  libgtest-dev libgmock-dev libbenchmark-dev clang-format clang-tidy
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q "install ok installed" || missing+=("$package")
done
((${#missing[@]})) || exit 0
sudo=""
[[ $(id -u) == 0 ]] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq \
  --no-install-recommends "${missing[@]}"
