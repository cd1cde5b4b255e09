// Package bench holds the cost benchmarks. docs/MEASURING.md describes how to run
// them and docs/CAPACITY.md their results.
package bench
