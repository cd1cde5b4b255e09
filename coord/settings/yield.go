package settings

import "runtime"

// yieldEvery is the number of nodes that are compared or compiled between two yields: about 0.2 ms
// of processor time, as 10,000 routes take 27 ms (BenchmarkRecompile). Requests run in
// between.
const yieldEvery = 64

// yield lets other goroutines run at every yieldEvery-th node.
func yield(n int) {
	if n%yieldEvery == 0 {
		runtime.Gosched()
	}
}
