#!/bin/sh
# Builds the stand-ins of the cases into target/review, with the toolchain alone and without the network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand review/stand/stand.rs
