package bench_test

import (
	"fmt"
	"runtime"
	"testing"

	"foxcross.dev/coord/settings"
)

// newTree returns a tree with a number of teams and twelve classes.
func newTree(b *testing.B, teams int) settings.Tree {
	b.Helper()
	t, err := settings.Parse([]byte(`{"children":[{"name":"classes","set":{"model":"m"}},{"name":"teams"}]}`))
	if err != nil {
		b.Fatal(err)
	}
	all := []settings.Difference{}
	for n := range 12 {
		node := settings.Node{Kind: settings.Class}
		all = append(all, settings.Difference{Path: fmt.Sprint("classes/c", n), After: &node})
	}
	for n := range teams {
		weight := 1 + n%5
		hashes := []string{settings.HashKey(fmt.Sprint(n))}
		node := settings.Node{Kind: settings.Team, Set: settings.Fields{Weight: &weight, KeyHashes: &hashes}}
		all = append(all, settings.Difference{Path: fmt.Sprint("teams/t", n), After: &node})
	}
	return t.Apply(all)
}

// BenchmarkApplyVersion measures the work of a process to activate a new version, and the memory
// of a version.
func BenchmarkApplyVersion(b *testing.B) {
	for _, teams := range []int{100, 4_000, 40_000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			r, parts, err := settings.Split(newTree(b, teams), settings.Root{Version: 1})
			if err != nil {
				b.Fatal(err)
			}
			largest, all := 0, 0
			for _, p := range parts {
				largest = max(largest, len(p))
				all += len(p)
			}
			before := heapInUse()
			t, err := settings.Join(r, parts)
			if err != nil {
				b.Fatal(err)
			}
			s, err := settings.Compile(t)
			if err != nil {
				b.Fatal(err)
			}
			held := heapInUse() - before
			runtime.KeepAlive(s)
			for b.Loop() {
				t, err := settings.Join(r, parts)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := settings.Compile(t); err != nil {
					b.Fatal(err)
				}
			}
			runtime.KeepAlive(t)
			b.ReportMetric(float64(held)/1e6, "MB-held")
			b.ReportMetric(float64(all)/1e6, "MB-parts")
			b.ReportMetric(float64(largest)/1e3, "kB-largest-part")
		})
	}
}
