#!/bin/sh
# Builds the stand-ins of the cases: review/bin/reviewcase. Needs only Go, and no network.
set -eu
cd "$(dirname "$0")/_stand"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local GOPROXY=off go build -o ../bin/reviewcase .
