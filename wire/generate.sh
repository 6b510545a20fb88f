#!/bin/sh
# Generates the Go types of every schema in wire/schema. Run by `go generate ./wire`.
set -eu
cd "$(dirname "$0")"
for f in schema/*.json; do
  p=$(basename "$f" .json)
  mkdir -p "$p"
  go tool go-jsonschema -p "$p" --only-models --tags json -o "$p/$p.go" "$f"
done
