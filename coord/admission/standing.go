// Changes the limits of a request by the standing of its team.
//
// Rule: a team above its share has its limits divided by its standing, so that it is refused
// while the wait would still admit others. A team at or below its share, whose prompt harms no
// stream, is refused only where the prompt would miss its target by a quarter: refusing it early
// would keep the room for the teams above theirs, and together the teams below their share ask for
// less than the engines can compute.
// Inputs: the team's standing, the interference of the choice.
// Unit: a factor of a limit, from minStandingFactor to belowShareFactor; first-event targets.
// Never: a standing of 0 changes a limit; a team is shut out, whatever it was given; a standing has
// an effect across tiers.

package admission

import (
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/share"
)

const (
	// minStandingFactor bounds the effect of a standing. A team far above its share is still
	// admitted where prompts hardly wait.
	minStandingFactor = 0.2
	// belowShareFactor is the factor of a team at or below its share. It lifts
	// maxInterferenceFirstEventTargets to maxBelowShareFirstEventTargets.
	belowShareFactor = maxBelowShareFirstEventTargets / maxInterferenceFirstEventTargets
	// maxBelowShareFirstEventTargets is the latest expected first event of a team at or below its
	// share, in first-event targets. A little past the target, an answer still serves its caller
	// better than a refusal.
	maxBelowShareFirstEventTargets = 1.25
	// maxBelowShareInterference is the most interference of a prompt that harms no stream: less
	// than one stream that misses its target.
	maxBelowShareInterference = 0.25
)

// standingFactor returns the factor of the limits of a team's requests.
func standingFactor(s share.Standing, c placement.Choice) float64 {
	switch {
	case s.Above():
		return max(1/float64(s), minStandingFactor)
	case s == 0 || c.Terms.Interference > maxBelowShareInterference:
		return 1
	default:
		return belowShareFactor
	}
}
