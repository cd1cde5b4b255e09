package settings

import (
	"cmp"
	"slices"
)

// urgency orders requests by the class's priority, then by the team's. Teams
// without a priority of their own have the class's.
type urgency struct {
	team, class int
}

func urgencyOf(t TeamInfo, c ClassInfo) urgency {
	if t.Priority == nil {
		return urgency{team: c.Route.Priority, class: c.Route.Priority}
	}
	return urgency{team: *t.Priority, class: c.Route.Priority}
}

// rankUrgencies numbers the urgencies that the tree can give, most urgent
// first, so that they fit into the few priorities of engines.
func (s *Snapshot) rankUrgencies() {
	s.urgency = map[urgency]int{}
	teams := map[int]TeamInfo{} // one team for each own priority of a team
	inheriting := false         // a team has no priority of its own
	for _, t := range s.teams {
		if t.Priority == nil {
			inheriting = true
			continue
		}
		teams[*t.Priority] = t
	}
	seen := map[int]bool{} // priorities of classes
	for _, name := range s.names {
		c := s.classes[name]
		if !c.Route.IsRoute() || seen[c.Route.Priority] {
			continue
		}
		seen[c.Route.Priority] = true
		s.urgency[urgencyOf(TeamInfo{}, *c)] = 0
		for _, t := range teams {
			s.urgency[urgencyOf(t, *c)] = 0
		}
	}
	all := make([]urgency, 0, len(s.urgency))
	for u := range s.urgency {
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b urgency) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.team, b.team))
	})
	for rank, u := range all {
		s.urgency[u] = rank
	}
	s.least = map[int]int{}
	for u, rank := range s.urgency {
		_, own := teams[u.team]
		if own || inheriting && u.team == u.class {
			s.least[u.class] = max(s.least[u.class], rank)
		}
	}
}

// Urgency returns the rank of a team's requests of a class, 0 for the most
// urgent that the tree can give.
func (s Snapshot) Urgency(t TeamInfo, c ClassInfo) int { return s.urgency[urgencyOf(t, c)] }

// LeastUrgency returns the highest rank that requests of a class have: those of any team, or those
// without a team where the class needs none.
func (s Snapshot) LeastUrgency(c ClassInfo) int {
	if !s.RequiresKey(c) {
		return s.Urgency(TeamInfo{}, c)
	}
	return s.least[c.Route.Priority]
}
