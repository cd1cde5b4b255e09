// Changes the limits of a request by the standing of its team.
//
// Rule: a team above its share has its limits divided by its standing, so that it is refused
// while the wait would still admit a team at or below its share. The queues then stay so short
// that a team below its share is refused only because of the work of teams like it.
// Inputs: the team's standing.
// Unit: a factor of a limit, from minStandingFactor to 1.
// Never: a standing of 0, or of at most 1, changes a limit; a team is shut out, whatever it was
// given; a standing has an effect across tiers.

package admission

import "foxcross.dev/coord/share"

// minStandingFactor bounds the effect of a standing. A team far above its share is still admitted
// where prompts hardly wait.
const minStandingFactor = 0.2

// standingFactor returns the factor of the limits of a team's requests.
func standingFactor(s share.Standing) float64 {
	if s <= 1 {
		return 1
	}
	return max(1/float64(s), minStandingFactor)
}
