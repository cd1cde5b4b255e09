// Package replication decides which runs have their memory copied to a second engine, and
// whether a run continues there after its engine has crashed. Which engine holds the copy is
// decided by package placement, which knows the engines.
//
//   - rule.go: which runs get a copy;
//   - crashes.go: the engines of a service that have crashed lately;
//   - run.go: the life of a run, and of its continuation;
//   - events.go: whether an event continues a stream.
//
// The package does no I/O, starts no goroutine and reads no clock.
package replication

// Replica is the copy of a run's memory at a second engine. The zero value is no copy.
type Replica struct {
	Endpoint string // incarnation of the engine that holds the copy
	Address  string // of that engine
}

// Any reports whether there is a copy.
func (r Replica) Any() bool { return r.Endpoint != "" }
