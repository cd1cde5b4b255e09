// Decides whether an engine fetches the missing parts of a prompt, and from which engine.
//
// Rule: among the engines of the service that cache more of the prompt, the source is the one
// whose fetch saves the most time over computing the tokens, if it saves any and transfers at
// least minFetchTokens. The saving allows for the probability that the source has evicted the
// tokens, which are then computed after the failed fetch.
// Inputs: the estimated cache of each engine, the transfers in progress at both ends, the
// time to compute a token, the results of earlier fetches from the source.
// Units: tokens, milliseconds.
// Never: a source runs another version of its software than the engine that fetches, or an unknown one,
// since what two versions write doesn't fit together; a source is draining, failing, unreachable, overdue or slow; the
// caller leaves those out.

package memory

import "time"

// minFetchTokens is the fewest tokens that are fetched. 64 tokens take 1 to 1.5 ms to compute at
// known engines, less than the set-up of a transfer.
const minFetchTokens = 64

// Source is an engine from which parts of a prompt may be fetched.
type Source struct {
	ID           string
	Address      string
	Version      string // of its software
	CachedTokens int    // length of the cached prefix of the prompt, in tokens, as estimated
	DataCentre   string
	Link         *Link
	MissRate     *MissRate
}

// Target is an engine that a prompt may be sent to.
type Target struct {
	ID           string
	Version      string // of its software
	DataCentre   string
	CachedTokens int // length of the cached prefix of the prompt, in tokens, as estimated
	Link         *Link
	ComputeMS    float64 // time to compute a prompt token
}

// Fetch describes what an engine fetches for a prompt before it computes the rest. The zero
// value fetches nothing.
type Fetch struct {
	Source          string  `cbor:"1,keyasint"` // id of an engine
	Tokens          int     `cbor:"2,keyasint"`
	TransferMS      float64 `cbor:"3,keyasint"` // duration of the transfer, without the wait for the links
	Address         string  `cbor:"-"`          // of the source
	WaitMS          float64 `cbor:"-"`          // until the links are free
	MissProbability float64 `cbor:"-"`          // probability that the source has evicted the tokens, 0 to 1
}

// Any reports whether anything is fetched.
func (f Fetch) Any() bool { return f.Tokens > 0 }

// ExpectedMiss returns the expected number of tokens that the source has evicted.
func (f Fetch) ExpectedMiss() float64 { return f.MissProbability * float64(f.Tokens) }

// MS returns the expected duration of the fetch.
func (f Fetch) MS() float64 { return f.WaitMS + f.TransferMS }

// Best returns the fetch that saves the most time over computing the missing tokens of a prompt,
// the zero value if no fetch saves time.
func Best(now time.Time, r Rate, sources []Source, to Target) Fetch {
	best := Fetch{}
	bestGain := 0.0
	for _, s := range sources {
		tokens := s.CachedTokens - to.CachedTokens
		if tokens < minFetchTokens || s.ID == to.ID || s.Version != to.Version || s.Version == "" {
			continue
		}
		f := Fetch{
			Source: s.ID, Address: s.Address, Tokens: tokens,
			TransferMS: r.MS(tokens, s.DataCentre != to.DataCentre), WaitMS: WaitMS(now, s.Link, to.Link), MissProbability: s.MissRate.Probability(),
		}
		if gain := (1-f.MissProbability)*float64(tokens)*to.ComputeMS - f.MS(); gain > bestGain {
			best, bestGain = f, gain
		}
	}
	return best
}
