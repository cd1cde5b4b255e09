// Package process runs the two programs: it reads their settings, starts their
// parts in order, handles signals and stops the parts in order.
//
// RunGateway (gateway.go) runs foxcross-entry serve, the entry on the users'
// platform. RunEntry (entry.go) and RunAgent (agent.go) run foxcross-entry run and
// foxcross-agent run, the two processes of the own interface. What can't start ends
// the process with its error; after that it runs until it is told to stop, an agent
// also until its socket fails.
package process

import "foxcross.dev/foxcross/internal/logs"

var log = logs.For("process")
