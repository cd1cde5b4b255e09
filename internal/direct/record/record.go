// Package record holds the forms of log lines that other programs read back.
package record

import "foxcross.dev/coord/placement"

// Send is one try of a request at an endpoint, with the estimates that decided
// it.
type Send struct {
	Endpoint string          `json:"endpoint"`
	Cost     float64         `json:"cost"`
	Terms    placement.Terms `json:"terms"`
	WaitMS   float64         `json:"expected_wait_ms"`
	FirstMS  float64         `json:"expected_first_ms"`
	Uncached int             `json:"uncached"`
	Again    int             `json:"read_again"`
	Long     bool            `json:"long"`
	Pool     int             `json:"pool"`
	Factor   float64         `json:"factor"`
	Outcome  string          `json:"outcome"`
}

// SendOf returns the record of a send.
func SendOf(c placement.Choice, outcome string) Send {
	return Send{
		Endpoint: c.Endpoint.ID,
		Cost:     round(c.Cost),
		Terms:    rounded(c.Terms),
		WaitMS:   round(c.WaitMS),
		FirstMS:  round(c.FirstMS),
		Uncached: c.PrefillTokens,
		Again:    c.RereadTokens,
		Long:     c.Long,
		Pool:     c.PoolSize,
		Factor:   round(c.Slowdown),
		Outcome:  outcome,
	}
}

func rounded(t placement.Terms) placement.Terms {
	return placement.Terms{
		Late: round(t.Late), Harm: round(t.Harm), Reread: round(t.Reread), Crowding: round(t.Crowding),
		Pool: round(t.Pool), Trouble: round(t.Trouble), Distance: round(t.Distance),
	}
}

const thousandth = 1000

// round keeps three decimals.
func round(v float64) float64 { return float64(int64(v*thousandth)) / thousandth }
