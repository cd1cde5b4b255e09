package process

import (
	"context"
	"sync/atomic"

	"foxcross.dev/coord/duty"
	"foxcross.dev/foxcross/internal/direct/duties"
)

// usageDuty passes usage from the gateway and the group of entries, which are created
// first, to the duties. Usage is ignored before start, and on a platform that requires
// no usage reports.
type usageDuty struct{ duties atomic.Pointer[duties.Duties] }

// start starts the duties if the platform requires usage reports.
func (u *usageDuty) start(ctx context.Context, o duties.Options) {
	if !o.Terms.Usage || o.Terms.Address == "" {
		return
	}
	d := duties.New(o)
	u.duties.Store(d)
	go d.Run(ctx)
}

// count counts a request of a team that an endpoint has started to run.
func (u *usageDuty) count(team string) {
	if d := u.duties.Load(); d != nil {
		d.Count(team)
	}
}

// addStatement adds the counts of another entry.
func (u *usageDuty) addStatement(s duty.Statement) {
	if d := u.duties.Load(); d != nil {
		d.MergeStatement(s)
	}
}

// resign hands the duties over to another entry.
func (u *usageDuty) resign() {
	if d := u.duties.Load(); d != nil {
		d.Resign()
	}
}

// reportLast sends the last counts to the other entries before the process exits.
func (u *usageDuty) reportLast() {
	if d := u.duties.Load(); d != nil {
		d.SendFinal()
	}
}
