package signals_test

import (
	"fmt"
	"testing"

	"foxcross.dev/coord/signals"
)

// fullLog returns a log of many owners that keeps as many signals as it may.
func fullLog(owners int) *signals.Log {
	var l signals.Log
	for n := range 8000 {
		owner := uint64(n%owners) + 1
		l.Record(signals.Signal{Owner: owner, Number: uint64(n/owners) + 1, At: origin, Data: make([]byte, 300)})
	}
	return &l
}

func BenchmarkRecord(b *testing.B) {
	for _, owners := range []int{620, 1240} {
		b.Run(fmt.Sprint(owners, " owners"), func(b *testing.B) {
			l := fullLog(owners)
			for n := range b.N {
				l.Record(signals.Signal{Owner: 1, Number: uint64(10 + n), At: origin})
			}
		})
	}
}

func BenchmarkSummary(b *testing.B) {
	for _, owners := range []int{620, 1240} {
		b.Run(fmt.Sprint(owners, " owners"), func(b *testing.B) {
			l := fullLog(owners)
			for b.Loop() {
				l.Summary(origin)
			}
		})
	}
}
