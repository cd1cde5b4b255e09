package gateway

import "strings"

// maxLoggedLimit bounds what is logged of the limit that an answer names, in bytes.
const maxLoggedLimit = 32

// namedLimit returns the limit that an answer names, as it stands there, for the log.
func namedLimit(values []string) string {
	text := strings.Join(values, ", ")
	return text[:min(len(text), maxLoggedLimit)]
}
