package completeness

// Verdict is what is known of a response that has ended.
type Verdict uint8

// The verdicts.
const (
	Complete Verdict = iota
	Broken
	Unproven // neither complete nor broken by the evidence
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"complete", "broken", "unproven"}[v] }

// Judge returns the verdict on a response. It calls endpointGone, which may take the time of a
// connection attempt, only if the evidence decides nothing by itself.
func Judge(e Evidence, endpointGone func() bool) Verdict {
	switch {
	case e.End == Failed || e.Tail == InsideEvent:
		return Broken
	case e.Framing != UntilClose:
		return Complete
	case e.Upload == CutOff || e.Tail == NoEvent || endpointGone():
		return Broken
	case e.Tail == BetweenEvents:
		return Complete
	default:
		return Unproven
	}
}
