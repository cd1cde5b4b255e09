package duties

import (
	"fmt"
	"testing"
	"time"

	"foxcross.dev/coord/duty"
)

// BenchmarkHolder measures a holder's work on the counts of a window of 5 s: merging one statement
// of each entry, and encoding the window's record. Each entry has two requests of each of its teams.
// Results on a busy machine, as ms of a core to merge, ms to encode, and KB of the record: 0.10,
// 0.37, 20 at 28 entries and 2,500 requests; 0.23, 0.88, 40 at 103 and 5,000; 4.8, 22, 620 at 620
// and 110,000.
func BenchmarkHolder(b *testing.B) {
	for _, size := range []struct{ entries, requests int }{{28, 2_500}, {103, 5_000}, {620, 110_000}} {
		ofEntry := size.requests / size.entries
		var statements []duty.Statement
		for owner := range uint64(size.entries) {
			c := duty.Counts{}
			for n := range ofEntry {
				c[fmt.Sprintf("team-%05d", (uint64(n/2)*7919+owner*31)%40_000)]++
			}
			statements = append(statements, duty.Statement{Owner: owner + 1, Through: time.Unix(100, 0),
				Windows: []duty.WindowCounts{{Window: 10, Total: c.Total(), Counts: c}}})
		}
		name := fmt.Sprintf("%d entries, %d requests", size.entries, size.requests)
		b.Run(name+", take", func(b *testing.B) {
			for b.Loop() {
				l := duty.Ledger{Length: 5 * time.Second}
				for _, s := range statements {
					l.Merge(s)
				}
			}
		})
		l := duty.Ledger{Length: 5 * time.Second}
		for _, s := range statements {
			l.Merge(s)
		}
		b.Run(name+", write", func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				data, err := encodeAccount(l.Account(10))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "bytes/record")
		})
	}
}
