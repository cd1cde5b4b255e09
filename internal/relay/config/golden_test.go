package config

import (
	"testing"

	"foxcross.dev/foxcross/internal/testing/golden"
)

// TestGoldenSchemas compares the schemas of the settings files with the recorded ones, which
// operators' files rely on.
func TestGoldenSchemas(t *testing.T) {
	golden.Compare(t, "entry.schema.golden", string(entrySchema))
	golden.Compare(t, "agent.schema.golden", string(agentSchema))
}
