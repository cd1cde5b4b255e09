// Package bench holds the cost benchmarks; docs/MEASURING.md says how to run
// them and docs/CAPACITY.md what follows from them.
package bench
