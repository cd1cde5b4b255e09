package gateway

import "testing"

func TestForeseenPausesAddUpToWholeOnes(t *testing.T) {
	var p pauseCounter
	sum := int64(0)
	for range 40 {
		sum += p.add(0.3)
	}
	if sum < 11 || sum > 12 {
		t.Errorf("40 chances of 0.3 count %d", sum)
	}
}
