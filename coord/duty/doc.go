// Package duty decides which of many processes performs the duties, the work that one process
// does at a time, and which usage of teams it reports.
//
// lease.go defines how long a holder may act, election.go which process tries to become the
// holder and when, window.go the time windows and their request counts, tally.go the counting
// at each process, ledger.go the aggregation of all counts at the processes that may become
// the holder.
//
// Nothing here does I/O, starts a goroutine or reads a clock.
package duty
