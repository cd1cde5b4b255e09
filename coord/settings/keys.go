// Decides which requests need the key of a team.
//
// Rule: a request of a class that is not public needs a key if the tree has a team, or the group of teams,
// whether or not any key is left. Without both, no request needs one.
// Inputs: the kinds and paths of the tree's nodes, and whether the class is public.
// Never: the keys that exist decide whether one is needed. No key is empty.

package settings

// TeamsPath is the path of the group of teams.
const TeamsPath = "teams"

// RequiresKey reports whether requests of the class need the key of a team.
func (s Snapshot) RequiresKey(c ClassInfo) bool { return s.keysRequired && !c.Route.Public }

// KeysRequired reports whether requests of classes that are not public need the key of a team.
func (s Snapshot) KeysRequired() bool { return s.keysRequired }

// Team returns the team of a bearer key.
func (s Snapshot) Team(key string) (TeamInfo, bool) {
	if key == "" {
		return TeamInfo{}, false
	}
	t, ok := s.teams[HashKey(key)]
	return t, ok
}

// requiresKeys reports whether the tree has a team or the group of teams.
func (t Tree) requiresKeys() bool {
	if _, ok := t.nodes[TeamsPath]; ok {
		return true
	}
	for _, n := range t.nodes {
		if n.Kind == Team {
			return true
		}
	}
	return false
}
