// Package fleet tests several entries that exchange events about their attempts: with requests that
// crash the endpoints that run them, and with endpoints that advertise a limit, ask for a backoff or drain.
// All run in one process, over loopback.
package fleet
