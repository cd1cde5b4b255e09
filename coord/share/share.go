// Package share decides what part of a service's engine time each team should get while the
// engines are contended.
package share

// Standing is the engine time that a team was given recently, as a multiple of its max-min fair
// share: below 1 while the team is below its share. It is 0 while the service is not contended,
// and for a team of which nothing is known.
type Standing float64
