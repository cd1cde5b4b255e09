package settings

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawTree draws a small tree with routes, teams and a group that sets a field for
// all routes.
func drawTree(t *rapid.T, label string) Tree {
	nodes := map[string]Node{"": {}, "routes": {}, "teams": {}}
	if ms := rapid.IntRange(0, 2).Draw(t, label+" give up"); ms > 0 {
		nodes["routes"] = Node{Set: Fields{GiveUpMS: &ms}}
	}
	for n := range rapid.IntRange(0, 6).Draw(t, label+" routes") {
		nodes[fmt.Sprint("routes/r", n)] = routeNode(n, rapid.IntRange(0, 2).Draw(t, label+" priority"))
	}
	for n := range rapid.IntRange(0, 3).Draw(t, label+" teams") {
		hashes := []string{HashKey(fmt.Sprint(n))}
		node := Node{Kind: Team, Set: Fields{KeyHashes: &hashes}}
		if priority := rapid.IntRange(0, 2).Draw(t, label+" team priority"); priority > 0 {
			node.Set.EnginePriority = &priority
		}
		nodes[fmt.Sprint("teams/t", n)] = node
	}
	return NewTree(nodes)
}

func routeNode(n, priority int) Node {
	return Node{Kind: Class, Set: Fields{
		Match:          &[]Match{{Host: "a.example", Prefix: fmt.Sprintf("/%d/", n)}},
		Split:          &[]Share{{Service: "pool", Weight: 1}},
		EnginePriority: &priority,
	}}
}

// TestRecompileEqualsCompile applies the differences of two trees to the first, so that the trees
// share nodes, and compares Recompile of the result with Compile of the second tree.
func TestRecompileEqualsCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawTree(t, "before"), drawTree(t, "after")
		first, err := Compile(before)
		if err != nil {
			t.Fatal(err)
		}
		changes := Diff(before, after)
		shared := before.Apply(changes)
		if !reflect.DeepEqual(shared.nodes, after.nodes) {
			t.Fatalf("applying the differences %+v gives another tree", changes)
		}
		got, err := first.Recompile(shared)
		if err != nil {
			t.Fatal(err)
		}
		want, err := Compile(after)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		if digest := DigestAfter(before.Digest(), changes); digest != after.Digest() {
			t.Fatalf("DigestAfter returns %x, Digest of the tree %x", digest, after.Digest())
		}
	})
}

// TestDigestDetectsChanges changes one field of a node, and removes a node.
func TestDigestDetectsChanges(t *testing.T) {
	tree := NewTree(map[string]Node{"": {}, "routes": {}, "routes/a": routeNode(1, 0)})
	if tree.Digest() == tree.With("routes/a", routeNode(1, 1)).Digest() {
		t.Error("a changed priority does not change the digest")
	}
	if tree.Digest() == tree.Without("routes/a").Digest() {
		t.Error("a removed node does not change the digest")
	}
}

// BenchmarkRecompile measures compiling a version that changes one of many routes.
func BenchmarkRecompile(b *testing.B) {
	for _, routes := range []int{100, 1_000, 10_000} {
		nodes := map[string]Node{"": {}, "routes": {}}
		for n := range routes {
			nodes[fmt.Sprint("routes/r", n)] = routeNode(n, n%3)
		}
		tree := NewTree(nodes)
		before, err := Compile(tree)
		if err != nil {
			b.Fatal(err)
		}
		changed := tree.With("routes/r7", routeNode(7, 1))
		b.Run(fmt.Sprint("all/routes=", routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := Compile(changed); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("changed/routes=", routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := before.Recompile(changed); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("diff/routes=", routes), func(b *testing.B) {
			for b.Loop() {
				Diff(tree, changed)
			}
		})
	}
}
