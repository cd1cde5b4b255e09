// Package process runs the two programs: it reads their settings, starts their
// components in order, handles signals and stops the components in order.
//
// RunGateway (gateway.go) runs foxcross-entry serve, the entry on the users'
// platform. RunEntry (entry.go) and RunAgent (agent.go) run foxcross-entry run and
// foxcross-agent run, the two processes of relay mode. If a component fails to start,
// the process exits with the error. Once started, it runs until it receives a signal to
// stop; an agent also exits when its listener fails.
package process

import "foxcross.dev/foxcross/internal/logs"

var log = logs.For("process")
