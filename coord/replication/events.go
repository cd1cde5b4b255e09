package replication

import "strconv"

// Follows reports whether the event with the ID next may come after the one with the ID last in a
// stream that was continued. IDs rise; an event without an ID, or with one that is no number,
// can't be placed and may not follow.
func Follows(last, next string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return last == ""
	}
	after, err := strconv.ParseUint(next, 10, 64)
	return err == nil && after > before
}
