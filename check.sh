#!/bin/sh
# Runs every check: format, vet, linter, dropped errors, dead code, tests under
# the race detector. Needs only Go; the tools' versions are pinned in tools/go.mod.
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
mkdir -p bin
GOWORK=off go -C tools build -o ../bin/ tool
bin/staticcheck $packages

# An error may be dropped only where the line says why.
echo "== dropped errors"
dropped=$(bin/errcheck -blank -ignoretests -exclude tools/errcheck-exclude.txt $packages |
	while IFS=: read -r file line rest; do
		sed -n "${line}p" "$file" | grep -q '_ :*= .*// ' || echo "$file:$line:$rest"
	done)
if [ -n "$dropped" ]; then
	echo "errors dropped without a reason:"
	echo "$dropped"
	exit 1
fi

# From the programs, so that nothing that only tests call stands beside what runs
# in production; then from the tests, so that nobody keeps unused test support.
echo "== dead code"
dead=$(bin/deadcode ./cmd/... && bin/deadcode -test $packages)
if [ -n "$dead" ]; then
	echo "$dead"
	exit 1
fi

echo "== test"
go test -race -count=1 -timeout 20m $packages
