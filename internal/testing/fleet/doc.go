// Package fleet tests what several entries that tell each other of their attempts do together:
// with requests that bring down the endpoints that run them, and with endpoints that name a limit
// of their own. All is in one process, over loopback.
package fleet
