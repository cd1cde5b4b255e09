package process

import (
	"context"
	"sync/atomic"

	"foxcross.dev/coord/duty"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/duties"
	"foxcross.dev/foxcross/internal/direct/gateway"
	"foxcross.dev/foxcross/internal/direct/peers"

	"github.com/uber-go/tally/v4"
)

// usageDuty lets the gateway and the group of entries, which are made before, tell the
// duties of requests and counts. The zero value, and one of a platform that asks for no
// reports of usage, takes nothing in.
type usageDuty struct{ duties atomic.Pointer[duties.Duties] }

// start begins the duties, if the platform asks for reports of usage.
func (u *usageDuty) start(ctx context.Context, reporter driver.Reporter, records driver.Records, p driver.Process, g *gateway.Gateway, group *peers.Group, scope tally.Scope) {
	if !p.Duties.Usage || p.Duties.Address == "" {
		return
	}
	d := duties.New(duties.Options{
		Name:     p.Name,
		Owner:    g.Owner(),
		Terms:    p.Duties,
		Group:    group,
		Store:    g.Directory(),
		Records:  records,
		Reporter: reporter,
		Metrics:  scope,
	})
	u.duties.Store(d)
	go d.Run(ctx)
}

// count takes in a request of a team that an endpoint began to run.
func (u *usageDuty) count(team string) {
	if d := u.duties.Load(); d != nil {
		d.Count(team)
	}
}

// take takes in what another entry counted.
func (u *usageDuty) take(s duty.Statement) {
	if d := u.duties.Load(); d != nil {
		d.TakeStatement(s)
	}
}

// resign hands the duties over.
func (u *usageDuty) resign() {
	if d := u.duties.Load(); d != nil {
		d.Resign()
	}
}

// tellLast tells what was counted until the end.
func (u *usageDuty) tellLast() {
	if d := u.duties.Load(); d != nil {
		d.TellLast()
	}
}
