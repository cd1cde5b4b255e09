package completeness_test

import (
	"testing"

	"foxcross.dev/coord/completeness"
)

func TestKindOfStatus(t *testing.T) {
	for status, want := range map[int]completeness.StatusKind{
		-1: completeness.InvalidStatus, 0: completeness.InvalidStatus, 12: completeness.InvalidStatus, 99: completeness.InvalidStatus,
		100: completeness.InterimStatus, 101: completeness.InvalidStatus, 102: completeness.InterimStatus, 199: completeness.InterimStatus,
		200: completeness.FinalStatus, 304: completeness.FinalStatus, 599: completeness.FinalStatus,
		600: completeness.InvalidStatus, 999: completeness.InvalidStatus, 2000: completeness.InvalidStatus,
	} {
		if got := completeness.KindOfStatus(status); got != want {
			t.Errorf("%d: %d, want %d", status, got, want)
		}
	}
}
