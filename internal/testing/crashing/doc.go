// Package crashing tests what becomes of requests that bring down the endpoints that run
// them, with several entries that tell each other of their attempts before endpoints that
// crash and come back. All is in one process, over loopback.
package crashing
