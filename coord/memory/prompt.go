package memory

// Part is a segment of a prompt. Requests that share their first parts can reuse the
// results that an engine has computed for them.
type Part struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Prompt describes the prompt of a request and the length of its output, in tokens. The last part
// belongs to this request only; others may be shared.
type Prompt struct {
	Tokens             int    `cbor:"1,keyasint,omitempty"`
	MaxOutputTokens    int    `cbor:"2,keyasint,omitempty"`
	LikelyOutputTokens int    `cbor:"3,keyasint,omitempty"` // the caller's estimate, 0 for none
	Parts              []Part `cbor:"4,keyasint,omitempty"` // in order
}

// ExpectedOutput returns the expected length of the output, in tokens.
func (p Prompt) ExpectedOutput() int {
	if p.LikelyOutputTokens > 0 {
		return p.LikelyOutputTokens
	}
	return p.MaxOutputTokens
}

// Shared returns the parts that other requests may share.
func (p Prompt) Shared() []Part { return p.Parts[:max(len(p.Parts)-1, 0)] }
