//go:build !race

package entryprogram

// Race reports whether the program is built with the race detector, which takes several times the
// memory of the program itself.
const Race = false
