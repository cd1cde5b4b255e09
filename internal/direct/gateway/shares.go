package gateway

import (
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/coord/share"
	"foxcross.dev/foxcross/internal/steady"
)

// teamOf returns the team whose share of the engine time a request counts against, 0 where the
// service does not share it.
func teamOf(s settings.Snapshot, service, team string) uint32 {
	if info, _ := s.ServiceNamed(service); !info.TeamShares {
		return 0
	}
	return uint32(share.TeamOf(team))
}

// teamWeights returns the weights of the teams that differ from 1.
func teamWeights(s settings.Snapshot) map[share.Team]int {
	weights := map[share.Team]int{}
	for t := range s.Teams() {
		if t.Weight != 1 {
			weights[share.TeamOf(t.Name)] = t.Weight
		}
	}
	return weights
}

// applyStanding determines the standing of the request's team, and its priority at engines. A
// request of the least urgent tier whose team is above its share queues behind the others of its
// tier. More urgent tiers have no priority left between them and the next tier. dispatcher.mu is
// held.
func (d *dispatcher) applyStanding(now time.Time, q *request) {
	q.spec.Priority = q.tierPriority
	if q.spec.Team == 0 {
		return
	}
	q.standing = d.shares.Standing(now, q.spec.Service, share.Team(q.spec.Team))
	lowest := d.table.ServiceSettings(q.spec.Service).LowestPriority
	if q.standing.Above() && q.tierPriority == lowest && lowest < lowestPriority {
		q.spec.Priority = lowest + 1
	}
}

// refusalReason returns why admission refused a request, for the log.
func refusalReason(q *request) string {
	if q.standing.Above() {
		return "prompts wait too long, and the team is above its share"
	}
	return "prompts wait too long"
}

// recordGiven records the engine time of an attempt, of this or another entry. dispatcher.mu is
// held.
func (d *dispatcher) recordGiven(now time.Time, id placement.AttemptID, r placement.Request) {
	if d.table.ServiceSettings(r.Service).TeamShares {
		d.shares.Give(now, shareWork(r, d.table.AttemptWork(id)))
	}
}

// recordRefused records the engine time that a refused request of this or another entry asked for.
// dispatcher.mu is held.
func (d *dispatcher) recordRefused(now time.Time, r placement.Request) {
	if d.table.ServiceSettings(r.Service).TeamShares {
		d.shares.Refuse(now, shareWork(r, d.table.RefusedWork(r)))
	}
}

func shareWork(r placement.Request, w placement.Work) share.Work {
	return share.Work{Service: r.Service, Team: share.Team(r.Team), MS: w.MS, Late: w.Late}
}

// shareStates returns the state of the services that share engine time between teams.
func (d *dispatcher) shareStates() []share.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shares.States(steady.Now())
}
