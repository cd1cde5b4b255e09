// Decides whether a run gets a copy.
//
// Rule: a run that may not be repeated, and of which nothing else survives a crash, gets a copy
// if the copy of its prompt occupies the engines' link for at most maxTransfer, or, while engines
// of its service have crashed lately, for at most maxTransferAfterCrash and maxTransferShare of
// the time in which its caller expects the first event. A copy that takes longer is incomplete
// for most of the run.
// Inputs: the class, the length of the prompt, the rate of the engines' link, the engines that
// have crashed lately.
// Units: tokens, milliseconds.
// Never: a run that may be repeated gets a copy; a run is refused or delayed because it gets none.

package replication

import (
	"time"

	"foxcross.dev/coord/memory"
)

const (
	// maxTransfer is the longest time for which a copy may occupy a link at any time. It is
	// shorter than one step of an engine, so that fetches beside it are not delayed.
	maxTransfer = 1 * time.Millisecond
	// maxTransferAfterCrash is the same while engines of the service crash.
	maxTransferAfterCrash = 2 * time.Millisecond
	// maxTransferShare is the largest share of the target for the first event.
	maxTransferShare = 0.1
)

// Input holds what the decision about one run depends on.
type Input struct {
	Repeatable       bool // the request may run again
	PromptTokens     int
	FirstEventTarget time.Duration // 0 for none
	Rate             memory.Rate   // of the engines' link
	Crashing         bool          // engines of the service have crashed lately
}

// Worthwhile reports whether the run gets a copy.
func Worthwhile(i Input) bool {
	if i.Repeatable || i.PromptTokens <= 0 || !i.Rate.Offered() {
		return false
	}
	transfer := i.Rate.Transfer(i.PromptTokens)
	if !i.Crashing {
		return transfer <= maxTransfer
	}
	longest := maxTransferAfterCrash
	if i.FirstEventTarget > 0 {
		longest = min(longest, time.Duration(maxTransferShare*float64(i.FirstEventTarget)))
	}
	return transfer <= max(longest, maxTransfer)
}
