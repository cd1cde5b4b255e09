package settings_test

import (
	"flag"
	"testing"

	"foxcross.dev/coord/settings"

	"pgregory.net/rapid"
)

const (
	unknownKey = "unknown"
	routeHost  = "h"
)

// drawTree returns a tree with a public and a private route and random teams, of which some have keys.
func drawTree(t *rapid.T, keys []string) settings.Tree {
	service, public, private := "pool", true, false
	match := func(prefix string) *[]settings.Match { return &[]settings.Match{{Host: routeHost, Prefix: prefix}} }
	nodes := map[string]settings.Node{
		"":                {},
		"routes":          {},
		"routes/public":   {Kind: settings.Class, Set: settings.Fields{Service: &service, Match: match("/p/"), Public: &public}},
		"routes/private":  {Kind: settings.Class, Set: settings.Fields{Service: &service, Match: match("/r/"), Public: &private}},
		"customers":       {},
		"customers/first": {Kind: settings.Team},
	}
	free := keys
	for _, name := range []string{"customers/second", "customers/third"} {
		if !rapid.Bool().Draw(t, name) {
			continue
		}
		count := rapid.IntRange(0, len(free)).Draw(t, "keys of "+name)
		hashes := []string{}
		for _, key := range free[:count] {
			hashes = append(hashes, settings.HashKey(key))
		}
		free = free[count:]
		nodes[name] = settings.Node{Kind: settings.Team, Set: settings.Fields{KeyHashes: &hashes}}
	}
	return settings.NewTree(nodes)
}

// TestUnknownKeyIsDeniedWhateverOthersExist guards against a key that opens a route by being taken away.
func TestUnknownKeyIsDeniedWhateverOthersExist(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		s, err := settings.Compile(drawTree(t, []string{"a", "b", "c"}))
		if err != nil {
			t.Fatal(err)
		}
		private, _ := s.Route(routeHost, "/r/")
		public, _ := s.Route(routeHost, "/p/")
		_, known := s.Team(unknownKey)
		_, empty := s.Team("")
		if !s.RequiresKey(private) || known || empty {
			t.Errorf("a request with an unknown key is served: required %t, known %t, empty %t", s.RequiresKey(private), known, empty)
		}
		if s.RequiresKey(public) {
			t.Error("a public route requires a key")
		}
	})
}

// TestKeysAlongVersions guards against a decision that follows from an earlier version of the tree.
func TestKeysAlongVersions(t *testing.T) {
	service := "pool"
	base := settings.NewTree(map[string]settings.Node{
		"": {}, "routes": {},
		"routes/r": {Kind: settings.Class, Set: settings.Fields{Service: &service, Match: &[]settings.Match{{Host: routeHost, Prefix: "/r/"}}}},
	})
	teams := base.With(settings.TeamsPath, settings.Node{})
	withKeys := func(hashes ...string) settings.Tree {
		return teams.With(settings.TeamsPath+"/a", settings.Node{Kind: settings.Team, Set: settings.Fields{KeyHashes: &hashes}})
	}
	var s settings.Snapshot
	for n, v := range []struct {
		tree     settings.Tree
		required bool
		valid    bool // the key "k"
	}{
		{withKeys(settings.HashKey("k")), true, true},
		{withKeys(), true, false},
		{teams, true, false},
		{withKeys(settings.HashKey("k")), true, true},
		{base, false, false},
		{withKeys(), true, false},
		{withKeys(settings.HashKey("other")), true, false},
	} {
		recompiled, err := s.Recompile(v.tree)
		if err != nil {
			t.Fatal(err)
		}
		compiled, err := settings.Compile(v.tree)
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range []settings.Snapshot{recompiled, compiled} {
			class, _ := x.Route(routeHost, "/r/")
			if _, valid := x.Team("k"); x.RequiresKey(class) != v.required || valid != v.valid {
				t.Errorf("version %d: required %t, valid %t", n, x.RequiresKey(class), valid)
			}
		}
		s = recompiled
	}
}
