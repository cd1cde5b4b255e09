package settings

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawTree draws a small tree with routes, teams and a group that sets fields of
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

// TestRecompileEqualsCompile lays the differences of two trees over the first, so that
// they share nodes, and expects what compiling the second from nothing gives.
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
			t.Fatalf("the differences %+v give another tree", changes)
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
			t.Fatalf("digest %x after the differences, %x of the tree", digest, after.Digest())
		}
	})
}

// TestDigestTellsTreesApart changes one field of one node.
func TestDigestTellsTreesApart(t *testing.T) {
	tree := NewTree(map[string]Node{"": {}, "routes": {}, "routes/a": routeNode(1, 0)})
	if tree.Digest() == tree.With("routes/a", routeNode(1, 1)).Digest() {
		t.Error("a changed priority does not show")
	}
	if tree.Digest() == tree.Without("routes/a").Digest() {
		t.Error("a removed node does not show")
	}
}

// BenchmarkRecompile puts a version in force that changes one of many routes.
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
