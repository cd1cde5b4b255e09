// Package settings holds the example settings trees of the two deployments. The bearer
// key of each example team is its name followed by KeySuffix.
package settings

import _ "embed" // the trees

// KeySuffix is the suffix of the bearer keys of the example teams.
const KeySuffix = "-key"

// Ovenhuis is the tree of the kiln booking deployment.
//
//go:embed ovenhuis.json
var Ovenhuis []byte

// Alumni is the tree of the alumni assistant.
//
//go:embed alumni.json
var Alumni []byte
