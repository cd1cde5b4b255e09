// Package duty decides about work that one process of many does at a time: who does it,
// and what is reported of the usage of teams.
//
// lease.go says how long a holder may act, election.go who tries to become one, window.go
// has windows of time and the counts of requests in them, tally.go counts at each process,
// ledger.go gathers the counts of all at those that may hold the duties.
//
// Nothing here does I/O, starts a goroutine or reads a clock.
package duty
