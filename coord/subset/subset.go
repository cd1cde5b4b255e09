// Package subset chooses the agents to which an entry keeps connections, so that the number of
// connections of entries and agents does not grow with the deployment. All processes with the same
// agent list compute the same choice, and adding or removing one agent changes few choices.
package subset

import (
	"slices"
	"strings"

	"foxcross.dev/coord/rendezvous"
)

// Default is the most agents of an entry if its settings name no limit.
const Default = 64

// localNumerator and localDenominator give the fraction of the agents that is chosen from the
// entry's own data centre.
const (
	localNumerator   = 3
	localDenominator = 4
)

// Agent is an agent in the member list.
type Agent struct {
	Name       string
	DataCentre string
}

// ranked is an agent and its rank for an entry.
type ranked struct {
	Agent
	rank uint64
}

// Choose returns up to limit agents for an entry: three quarters from its own
// data centre, the others spread over the other data centres. If one of the two groups has too few
// agents, the other group fills the rest.
func Choose(entry, dataCentre string, agents []Agent, limit int) []Agent {
	if len(agents) <= limit {
		return slices.Clone(agents)
	}
	local, remote := split(entry, dataCentre, agents)
	localCount := min(len(local), limit*localNumerator/localDenominator)
	remoteCount := min(len(remote), limit-localCount)
	localCount = min(len(local), limit-remoteCount)
	chosen := make([]Agent, 0, limit)
	for _, r := range local[:localCount] {
		chosen = append(chosen, r.Agent)
	}
	return append(chosen, spread(remote, remoteCount)...)
}

// split returns the agents of the entry's own data centre and those of the others, each by rank.
func split(entry, dataCentre string, agents []Agent) (local, remote []ranked) {
	key := rendezvous.Hash(entry)
	for _, a := range agents {
		r := ranked{Agent: a, rank: rendezvous.Rank(key, rendezvous.Hash(a.Name))}
		if a.DataCentre == dataCentre {
			local = append(local, r)
		} else {
			remote = append(remote, r)
		}
	}
	slices.SortFunc(local, byRank)
	slices.SortFunc(remote, byRank)
	return local, remote
}

func byRank(a, b ranked) int {
	switch {
	case a.rank < b.rank:
		return -1
	case a.rank > b.rank:
		return 1
	default:
		return strings.Compare(a.Name, b.Name)
	}
}

// spread returns count agents in order of rank, one from each data centre per round.
func spread(agents []ranked, count int) []Agent {
	rounds := map[string]int{}
	type roundAgent struct {
		Agent
		round int
	}
	ordered := make([]roundAgent, 0, len(agents))
	for _, r := range agents {
		ordered = append(ordered, roundAgent{r.Agent, rounds[r.DataCentre]})
		rounds[r.DataCentre]++
	}
	slices.SortStableFunc(ordered, func(a, b roundAgent) int { return a.round - b.round })
	chosen := make([]Agent, 0, count)
	for _, t := range ordered[:count] {
		chosen = append(chosen, t.Agent)
	}
	return chosen
}
