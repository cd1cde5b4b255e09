package config

import (
	"testing"

	"foxcross.dev/foxcross/internal/testing/golden"
)

// TestGoldenSchemas holds what operators may write in settings files.
func TestGoldenSchemas(t *testing.T) {
	golden.Compare(t, "entry.schema.golden", string(entrySchema))
	golden.Compare(t, "agent.schema.golden", string(agentSchema))
}
