package directory

import (
	"slices"
	"strings"

	"foxcross.dev/coord/settings"
)

const (
	// maxVersions bounds the versions whose changes are kept. It covers a version every 0.3 s
	// for about twenty seconds.
	maxVersions = 64
	// maxVersionNodes bounds the changed nodes that are kept. It is twice the size of settings
	// with 10,000 routes.
	maxVersionNodes = 20_000
)

// settingsHistory holds the latest changes of the settings, for peers that lack only these.
// The zero value is empty.
type settingsHistory struct {
	transitions []transition // oldest first; each starts at the version at which the previous one ends
	nodes       int          // changed nodes of all transitions
}

// transition is the change from one active version to the next.
type transition struct {
	from, to uint64
	changes  []settings.Difference
}

func (h *settingsHistory) add(from, to uint64, changes []settings.Difference) {
	if from == 0 {
		return // a peer without a version gets the whole tree
	}
	h.transitions = append(h.transitions, transition{from: from, to: to, changes: changes})
	h.nodes += len(changes)
	for len(h.transitions) > maxVersions || h.nodes > maxVersionNodes {
		h.nodes -= len(h.transitions[0].changes)
		h.transitions = slices.Delete(h.transitions, 0, 1)
	}
}

// since returns the merged changes from one version to another, sorted by path. It returns
// false if some of them are not kept.
func (h *settingsHistory) since(from, to uint64) ([]settings.Difference, bool) {
	at := slices.IndexFunc(h.transitions, func(t transition) bool { return t.from == from })
	if at < 0 || from == 0 {
		return nil, false
	}
	merged := map[string]settings.Difference{}
	for _, t := range h.transitions[at:] {
		for _, c := range t.changes {
			if earlier, changed := merged[c.Path]; changed {
				c.Before = earlier.Before
			}
			merged[c.Path] = c
		}
		from = t.to
	}
	if from != to {
		return nil, false
	}
	all := make([]settings.Difference, 0, len(merged))
	for _, c := range merged {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b settings.Difference) int { return strings.Compare(a.Path, b.Path) })
	return all, true
}
