package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"foxcross.dev/coord/quarantine"
)

// BenchmarkFullTable measures the memory of a full table, and the time of a decision in it: 256
// crashes with 128 contents each. The baseline is an empty table.
func BenchmarkFullTable(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var x quarantine.Table
	var keys []quarantine.Key
	for n := range 256 {
		var runs []quarantine.Run
		for c := range 128 {
			k := key(fmt.Sprint(n, "/", c))
			keys = append(keys, k)
			runs = append(runs, quarantine.Run{Content: k, Started: at(float64(n))})
		}
		x.RecordCrash(fmt.Sprint("i-", n), at(float64(n)+0.1), 0, runs...)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	n := 0
	for b.Loop() {
		n++
		if x.Verdict(at(300).Add(time.Duration(n)), keys[n%len(keys)]).Held {
			b.Fatal("held after one crash")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
}
