package settings

import "runtime"

// yieldEvery is how many nodes are compared or compiled at a stretch: some 0.2 ms of
// processor time, by the 27 ms of 10,000 routes (BenchmarkRecompile). Requests run in
// between.
const yieldEvery = 64

// yield lets other goroutines run, now and then.
func yield(n int) {
	if n%yieldEvery == 0 {
		runtime.Gosched()
	}
}
