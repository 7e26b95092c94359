#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the models need.
set -euo pipefail

packages=(
    build-essential clang clang-format clang-tidy cmake ninja-build ccache
    libboost1.81-dev
    flatbuffers-compiler libflatbuffers-dev
    prometheus-cpp-dev
    libabsl-dev
    libeasyloggingpp-dev
    libssl-dev
    libopentracing-dev
    libvalijson-dev
    catch2 librapidcheck-dev libbenchmark-dev libxxhash-dev
    spin rumur
    curl python3
)

export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${packages[@]}" >/dev/null
