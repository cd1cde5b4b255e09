package process

import (
	"context"
	"sync/atomic"

	"foxcross.dev/coord/duty"
	"foxcross.dev/foxcross/internal/direct/duties"
)

// usageDuty lets the gateway and the group of entries, which are made before, tell the
// duties of requests and counts. The zero value, and one of a platform that asks for no
// reports of usage, takes nothing in.
type usageDuty struct{ duties atomic.Pointer[duties.Duties] }

// start begins the duties, if the platform asks for reports of usage.
func (u *usageDuty) start(ctx context.Context, o duties.Options) {
	if !o.Terms.Usage || o.Terms.Address == "" {
		return
	}
	d := duties.New(o)
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
