// Decides whether a run gets a copy.
//
// Rule: a run that may not be repeated, and of which nothing else survives a crash, gets a copy
// if its prompt takes at most maxMemoryShare of the second engine's memory, or, while engines of
// its service have crashed lately, maxMemoryShareAfterCrash; and if the copy of the prompt
// occupies the engines' link for at most maxTransferShare of the time in which the caller expects
// the first event. A copy that takes longer is incomplete for most of the run.
// Inputs: the class, the length of the prompt, the engines' memory and the rate of their link,
// the engines that have crashed lately.
// Units: tokens, shares of an engine's memory and of a target.
// Never: a run that may be repeated gets a copy; a run is refused or delayed because it gets none.

package replication

import (
	"time"

	"foxcross.dev/coord/memory"
)

const (
	// maxMemoryShare is the largest share of an engine's memory that a copied prompt may take at
	// any time. The second engine evicts cached prefixes for it.
	maxMemoryShare = 0.005
	// maxMemoryShareAfterCrash is the same while engines of the service crash.
	maxMemoryShareAfterCrash = 0.02
	// maxTransferShare is the longest time for which a copy may occupy the link, as a share of the
	// target for the first event.
	maxTransferShare = 0.1
)

// Input holds what the decision about one run depends on.
type Input struct {
	Repeatable       bool // the request may run again
	PromptTokens     int
	MemoryTokens     int           // of one engine, 0 for unknown
	FirstEventTarget time.Duration // 0 for none
	Rate             memory.Rate   // of the engines' link
	Crashing         bool          // engines of the service have crashed lately
}

// Worthwhile reports whether the run gets a copy.
func Worthwhile(i Input) bool {
	if i.Repeatable || i.PromptTokens <= 0 || !i.Rate.Offered() {
		return false
	}
	share := maxMemoryShare
	if i.Crashing {
		share = maxMemoryShareAfterCrash
	}
	if float64(i.PromptTokens) > share*float64(i.MemoryTokens) {
		return false
	}
	longest := time.Duration(maxTransferShare * float64(i.FirstEventTarget))
	return longest <= 0 || i.Rate.Transfer(i.PromptTokens) <= longest
}
