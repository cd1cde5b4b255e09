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

// BenchmarkPartEvents measures what a send, a first event and an end cost for a prompt of four shared
// parts, none of which is suspect, by the number of other parts that are.
func BenchmarkPartEvents(b *testing.B) {
	for _, suspects := range []int{0, 1, 4096} {
		b.Run(fmt.Sprint(suspects, " suspect parts"), func(b *testing.B) {
			x := tableOfParts(suspects)
			n := uint64(0)
			for b.Loop() {
				n++
				now := at(1)
				probe := quarantine.Probe{Owner: 1, Number: n}
				for part := range uint64(4) {
					k := quarantine.PartKey("pool", 1<<40+n+part)
					x.RecordProbe(now, k, probe)
					x.RecordBegin(now, "i-1", k)
					x.EndProbe(k, probe)
				}
			}
		})
	}
}

// BenchmarkPartVerdicts measures the check of a request whose prompt has as many parts as are parsed, of
// which one is suspect.
func BenchmarkPartVerdicts(b *testing.B) {
	const parts = 63
	x := tableOfParts(4096)
	for b.Loop() {
		for part := range uint64(parts) {
			if x.Verdict(at(1), quarantine.PartKey("pool", 4095+part)).Held {
				b.Fatal("held after one crash")
			}
		}
	}
}

// tableOfParts returns a table with a number of parts that had one crash.
func tableOfParts(suspects int) *quarantine.Table {
	var x quarantine.Table
	for n := range suspects {
		x.RecordCrash(fmt.Sprint("i-", n/64), at(0), 0, quarantine.Run{
			Content: quarantine.PartKey("pool", uint64(n)), Started: at(0), Source: quarantine.Source(n),
		})
	}
	return &x
}
