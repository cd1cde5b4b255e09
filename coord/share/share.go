// Package share decides what part of a service's engine time each team should get while the
// engines are contended.
//
// Rule: engine time is shared max-min by the teams' weights. A team that asks for less than its
// share gets all it asks for; the rest goes to the teams that ask for more, in proportion to their
// weights. Standing compares what a team was given with its share. Callers use it to order the
// requests of a tier and to decide whom to refuse (package admission).
// Inputs: the engine time given and refused to each team, of all entries; the teams' weights.
// Units: milliseconds of one engine, decayed; a request counts with the time that its prefill and
// its output take, since a long prompt costs as much as a hundred short ones.
// Where many teams ask for more than their share, the shortage is general: no team's excess is its
// cause, and moving the work of many behind that of others costs the engines more than it gives. All
// teams are then treated alike.
// Never: a standing orders requests of different tiers; a team is above its share while the service
// is not contended (contention.go), or before this process has received updates for decayTime.
//
// The load it answers: one team sends many times its usual while the engines are short, and each
// team is refused as often as that one.
package share

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// decayTime is the time constant of the engine time given and refused. It is as long as
	// callers wait for most answers, so that a burst counts while its requests run.
	decayTime = 3 * time.Second
	// idleTime is the time without requests after which a team is removed. Its engine time has
	// then decayed to less than a hundredth.
	idleTime = 5 * decayTime
	// maxTeams bounds the teams of a service. It exceeds the 40,000 teams of the largest known
	// fleet; further ones have no standing.
	maxTeams = 1 << 16
	// levelInterval is the shortest time between two computations of a service's fair level.
	levelInterval = 200 * time.Millisecond
	// sweepInterval is the shortest time between two removals of idle teams.
	sweepInterval = decayTime
	// maxLevelSteps bounds the steps towards the fair level, each of which satisfies at least one
	// more team. Few are needed, since the first steps satisfy most teams.
	maxLevelSteps = 32
	// maxUnsatisfiedShare is the share of the teams that ask for more than their share beyond which
	// the shortage is general, and resumedUnsatisfiedShare that from which it no longer is.
	maxUnsatisfiedShare     = 1.0 / 8
	resumedUnsatisfiedShare = 1.0 / 12
	// minUnsatisfied is the number of such teams that never make the shortage general.
	minUnsatisfied = 2
)

// Standing is the engine time that a team was given recently, as a multiple of its max-min fair
// share: below 1 while the team is below its share. It is 0 while the service is not contended or
// the shortage is general, and for a team of which nothing is known.
type Standing float64

// Above reports whether the team was given more than its share.
func (s Standing) Above() bool { return s > 1 }

// Team identifies a team by a hash of its name. Two teams of the same hash share one share.
// 0 stands for no team.
type Team uint32

// TeamOf returns the hash of a team's name, 0 for no name.
func TeamOf(name string) Team {
	if name == "" {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return Team(max(h.Sum32(), 1))
}

// Work is the engine time that one request asks for.
type Work struct {
	Service string
	Team    Team
	MS      float64 // of one engine
	Late    bool    // it was refused, or its first event is expected after its target
}

// Table holds the engine time given and refused to the teams of each service. The zero value is
// empty. A Table is not safe for concurrent use.
type Table struct {
	StartedAt time.Time // from when this process receives updates of other entries; the zero value is long ago

	services map[string]*service
	weights  map[Team]int
}

// service is the engine time of one service. The times of all teams decay alike, so that they are
// stored multiplied by exp(age of epoch / decayTime) and need no update while they decay.
type service struct {
	contention
	epoch    time.Time
	index    map[Team]int32 // of rows
	rows     []row
	level    float64 // fair level for a weight of 1, scaled as the rows
	levelAt  time.Time
	sweptAt  time.Time
	computed bool // the level is known
	general  bool // the shortage is general
}

// row is the engine time of one team.
type row struct {
	given, refused float64
	askedAt        time.Duration // since the service's epoch
	team           Team
	weight         int32
}

// asked returns the team's demand.
func (r *row) asked() float64 { return r.given + r.refused }

// SetWeights replaces the teams' weights. Teams that are not included have a weight of 1.
func (t *Table) SetWeights(weights map[Team]int) {
	t.weights = weights
	for _, s := range t.services {
		for n := range s.rows {
			s.rows[n].weight = t.weight(s.rows[n].team)
		}
		s.computed = false
	}
}

func (t *Table) weight(team Team) int32 {
	if w := t.weights[team]; w > 0 {
		return int32(min(w, math.MaxInt32))
	}
	return 1
}

// Give records that a request was sent to an engine.
func (t *Table) Give(now time.Time, w Work) {
	s := t.service(now, w.Service)
	s.observe(now, w)
	if r := t.row(now, s, w.Team); r != nil {
		r.given += w.MS * s.scale(now)
	}
}

// Refuse records that a request was refused.
func (t *Table) Refuse(now time.Time, w Work) {
	w.Late = true
	s := t.service(now, w.Service)
	s.observe(now, w)
	if r := t.row(now, s, w.Team); r != nil {
		r.refused += w.MS * s.scale(now)
	}
}

// Standing returns the standing of a team.
func (t *Table) Standing(now time.Time, name string, team Team) Standing {
	s := t.services[name]
	if s == nil || now.Sub(t.StartedAt) < decayTime || !s.contended(now) {
		return 0
	}
	n, known := s.index[team]
	if !known {
		return 0
	}
	s.updateLevel(now)
	if s.general {
		return 0
	}
	return s.standing(&s.rows[n])
}

// standing returns the standing of a team at the current level.
func (s *service) standing(r *row) Standing {
	if s.level <= 0 {
		return 0
	}
	return Standing(r.given / (float64(r.weight) * s.level))
}

func (t *Table) service(now time.Time, name string) *service {
	if t.services == nil {
		t.services = map[string]*service{}
	}
	s := t.services[name]
	if s == nil {
		s = &service{epoch: now, sweptAt: now, index: map[Team]int32{}}
		t.services[name] = s
	}
	if now.Sub(s.sweptAt) >= sweepInterval {
		s.sweep(now)
	}
	return s
}

// row returns the row of a team that asks now. It returns nil for no team, and if there are too many.
func (t *Table) row(now time.Time, s *service, team Team) *row {
	if team == 0 {
		return nil
	}
	n, known := s.index[team]
	if !known {
		if len(s.rows) >= maxTeams {
			return nil
		}
		n = int32(len(s.rows))
		s.index[team] = n
		s.rows = append(s.rows, row{team: team, weight: t.weight(team)})
	}
	r := &s.rows[n]
	r.askedAt = max(r.askedAt, now.Sub(s.epoch))
	return r
}

// scale returns the factor by which an amount of now is stored. Events of other entries may lie
// slightly in the past.
func (s *service) scale(now time.Time) float64 {
	return math.Exp(float64(now.Sub(s.epoch)) / float64(decayTime))
}

// sweep removes the teams that have not asked within idleTime, and moves the epoch to now.
func (s *service) sweep(now time.Time) {
	scale := s.scale(now)
	passed := now.Sub(s.epoch)
	kept := s.rows[:0]
	clear(s.index)
	for _, r := range s.rows {
		r.askedAt -= passed
		if r.askedAt < -idleTime {
			continue
		}
		r.given /= scale
		r.refused /= scale
		s.index[r.team] = int32(len(kept))
		kept = append(kept, r)
	}
	s.rows = kept
	s.level /= scale
	s.epoch = now
	s.sweptAt = now
}

// updateLevel computes the fair level unless that was done within levelInterval.
func (s *service) updateLevel(now time.Time) {
	if s.computed && now.Sub(s.levelAt) < levelInterval {
		return
	}
	s.computed = true
	s.levelAt = now
	s.level = fairLevel(s.rows)
	s.general = s.isGeneral()
}

// isGeneral reports whether the shortage is general.
func (s *service) isGeneral() bool {
	unsatisfied := 0
	for n := range s.rows {
		if r := &s.rows[n]; r.asked() > float64(r.weight)*s.level {
			unsatisfied++
		}
	}
	most := maxUnsatisfiedShare
	if s.general {
		most = resumedUnsatisfiedShare
	}
	return unsatisfied > max(int(most*float64(len(s.rows))), minUnsatisfied)
}

// fairLevel returns the engine time per weight that divides what was given to all teams max-min
// fairly. It rises from the equal division: each step gives what satisfied teams leave to the others.
func fairLevel(rows []row) float64 {
	given, weights := 0.0, 0.0
	for n := range rows {
		given += rows[n].given
		weights += float64(rows[n].weight)
	}
	if weights == 0 {
		return 0
	}
	level := given / weights
	for range maxLevelSteps {
		left, open := given, 0.0
		for n := range rows {
			r := &rows[n]
			if r.asked() < float64(r.weight)*level {
				left -= r.asked()
				continue
			}
			open += float64(r.weight)
		}
		if open == 0 || left/open <= level {
			return level
		}
		level = left / open
	}
	return level
}

// State is the state of a service, for operators. The JSON names are those of the state dump.
type State struct {
	Service   string  `json:"service"`
	Contended bool    `json:"contended"`
	General   bool    `json:"general"`     // many teams ask for more than their share: all are treated alike
	LateShare float64 `json:"late_share"`  // of the engine time asked for, decayed
	Teams     int     `json:"teams"`       // that have asked recently
	Above     int     `json:"teams_above"` // teams that were given more than their share
}

// States returns the state of each service, sorted by name.
func (t *Table) States(now time.Time) []State {
	all := make([]State, 0, len(t.services))
	for name, s := range t.services {
		x := State{Service: name, Contended: s.contended(now), LateShare: s.lateShare(now), Teams: len(s.rows)}
		if x.Contended {
			s.updateLevel(now)
			x.General = s.general
			x.Above = s.above()
		}
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// above returns the number of teams above their share at the current level.
func (s *service) above() int {
	n := 0
	for i := range s.rows {
		if s.standing(&s.rows[i]).Above() {
			n++
		}
	}
	return n
}
