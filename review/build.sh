#!/bin/sh
# Builds the stand-ins of the review's cases: one program without dependencies, in review/bin.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/standin .
