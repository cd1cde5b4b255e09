// Package replication decides which runs have their memory copied to a second engine, which
// engine holds the copy, and whether a run continues there after its engine has crashed.
package replication

// Replica is the copy of a run's memory at a second engine. The zero value is no copy.
type Replica struct {
	Endpoint string // incarnation of the engine that holds the copy
	Address  string // of that engine
}
