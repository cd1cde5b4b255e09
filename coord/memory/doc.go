// Package memory estimates which parts of prompts engines cache, and decides whether an engine
// fetches missing parts from another engine or computes them.
//
//   - prompt.go: prompts and their parts, which requests may share;
//   - cache.go: the parts that an engine is estimated to cache;
//   - transfer.go: the duration of transfers between engines, with other transfers in progress;
//   - fetch.go: whether an engine fetches missing parts, and from which engine;
//   - missrate.go: how often a source had evicted the parts that it was estimated to cache.
//
// Nothing here does I/O, starts a goroutine or reads a clock.
package memory
