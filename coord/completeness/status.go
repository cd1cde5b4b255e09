package completeness

// StatusKind is what the status of an HTTP response means for its exchange (RFC 9110, 15).
type StatusKind uint8

// The kinds.
const (
	InvalidStatus StatusKind = iota // no response: below 100, above 599, or a change of the protocol that nobody asked for
	InterimStatus                   // another response follows
	FinalStatus
)

const (
	minInterim         = 100
	switchingProtocols = 101
	minFinal           = 200
	maxFinal           = 599
)

// KindOfStatus returns the kind of a status. Requests never ask to change the protocol.
func KindOfStatus(status int) StatusKind {
	switch {
	case status == switchingProtocols, status < minInterim, status > maxFinal:
		return InvalidStatus
	case status < minFinal:
		return InterimStatus
	default:
		return FinalStatus
	}
}
