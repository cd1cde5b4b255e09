#!/bin/sh
# Runs every check: format, vet, linter, tests under the race detector. Needs
# only Go; the linter's version is pinned in tools/go.mod.
set -eu
cd "$(dirname "$0")"
packages="./... ./coord/..."

echo "== format"
unformatted=$(gofmt -l $(git ls-files '*.go'))
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted"
	exit 1
fi

echo "== vet"
go vet $packages

echo "== lint"
GOWORK=off go -C tools build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
bin/staticcheck $packages

echo "== test"
go test -race -count=1 -timeout 20m $packages
