// The duration of transfers of prompt parts between engines.
//
// Rule: a transfer takes setUpMS plus the time of its bytes on the link. Between data centres the
// time of the bytes doubles. The transfers of one engine run one after another, whether it sends
// or receives, so a transfer starts when both ends are free.
// Inputs: the settings of the service's engines; the transfers that this entry has started or
// other entries have announced.
// Units: milliseconds, tokens, 10^6 bits per second.
// Never: an engine sends or receives if its settings have no token size or no link rate.

package memory

import "time"

const (
	// setUpMS is the constant part of the duration of a transfer, in ms. Known engines take
	// 2.5, 2.7 and 4.0 ms.
	setUpMS = 3.0
	// crossCentreFactor multiplies the transfer time of the bytes between data centres, as the
	// engines' interface specifies.
	crossCentreFactor = 2.0
)

// Rate is the transfer rate between the engines of a service, from its settings. The zero value
// means that they offer no transfers.
type Rate struct {
	TokenBytes int     // bytes of one token in an engine's memory
	LinkMbps   float64 // of an engine's link
}

// Offered reports whether the engines can transfer prompt parts.
func (r Rate) Offered() bool { return r.TokenBytes > 0 && r.LinkMbps > 0 }

// MS returns the duration of a transfer of tokens. crossCentre is whether the engines are in
// different data centres.
func (r Rate) MS(tokens int, crossCentre bool) float64 {
	ms := r.bytesMS(tokens)
	if crossCentre {
		ms *= crossCentreFactor
	}
	return setUpMS + ms
}

// bytesMS returns the time of the bytes of tokens on the link, within a data centre.
func (r Rate) bytesMS(tokens int) float64 {
	const bitsPerMSPerMbps = 1000
	return float64(tokens) * float64(r.TokenBytes) * 8 / (r.LinkMbps * bitsPerMSPerMbps)
}

// Transfer returns the time for which the bytes of tokens occupy a link within a data centre. The
// rate must be offered.
func (r Rate) Transfer(tokens int) time.Duration {
	return time.Duration(r.bytesMS(tokens) * float64(time.Millisecond))
}

// Link is the occupancy of an engine's network link by transfers. The zero value is idle.
type Link struct {
	freeAt time.Time
}

// WaitMS returns the time until a transfer between two links can start.
func WaitMS(now time.Time, a, b *Link) float64 {
	freeAt := a.freeAt
	if b.freeAt.After(freeAt) {
		freeAt = b.freeAt
	}
	return max(milliseconds(freeAt.Sub(now)), 0)
}

// Occupy records a transfer of ms milliseconds between two links that starts as soon as both are
// free.
func Occupy(now time.Time, a, b *Link, ms float64) {
	end := now.Add(time.Duration((WaitMS(now, a, b) + ms) * float64(time.Millisecond)))
	a.freeAt = end
	b.freeAt = end
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
