#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; skips those that are there.
set -euo pipefail
packages=(
    cmake ninja-build g++ pkg-config clang-format clang-tidy curl
    libboost-dev libboost-system-dev libgrpc++-dev libprotobuf-dev protobuf-compiler
    protobuf-compiler-grpc libgflags-dev libgoogle-glog-dev libcppunit-dev librapidcheck-dev
    liburcu-dev libxxhash-dev nettle-dev libzstd-dev nlohmann-json3-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
