package completeness

import "strings"

// tokenSymbols are the characters of a field's name besides letters and digits (RFC 9110, 5.6.2).
const tokenSymbols = "!#$%&'*+-.^_`|~"

// InvalidName returns the name of a header field that is no token, and whether there is one. Some parsers
// accept a length or a transfer coding with a blank after its name and others ignore it, so that they
// disagree on the end of the body.
func InvalidName(header map[string][]string) (name string, found bool) {
	for name := range header {
		if !isToken(name) {
			return name, true
		}
	}
	return "", false
}

func isToken(name string) bool {
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && strings.IndexByte(tokenSymbols, c) < 0 {
			return false
		}
	}
	return name != ""
}
