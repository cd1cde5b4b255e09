package duties

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"foxcross.dev/coord/duty"

	"github.com/fxamacker/cbor/v2"
)

// usagePrefix is below which the windows' records are, each under its number.
const usagePrefix = "usage/"

// usageKey returns the key of a window's record.
func usageKey(w duty.Window) string { return usagePrefix + w.String() }

// windowOf returns the window of a key.
func windowOf(key string) (duty.Window, error) {
	n, err := strconv.ParseInt(strings.TrimPrefix(key, usagePrefix), 10, 64)
	return duty.Window(n), err
}

// usageRecord is a window's account as it is written. Names of teams stand once.
type usageRecord struct {
	Teams    []string   `cbor:"1,keyasint,omitempty"`
	Open     []ownerRow `cbor:"2,keyasint,omitempty"`
	Closed   []count    `cbor:"3,keyasint,omitempty"`
	IsClosed bool       `cbor:"4,keyasint,omitempty"`
	Reported bool       `cbor:"5,keyasint,omitempty"`
}

// ownerRow is what one entry counted.
type ownerRow struct {
	_      struct{} `cbor:",toarray"`
	Owner  uint64
	Counts []count
}

// count is a team, as a place in the list of teams, and its requests.
type count struct {
	_        struct{} `cbor:",toarray"`
	Team     int
	Requests int64
}

// encodeAccount returns a window's account as it is written.
func encodeAccount(a duty.Account) ([]byte, error) {
	places := map[string]int{}
	r := usageRecord{IsClosed: a.Closed != nil && !a.Reported, Reported: a.Reported}
	rows := func(c duty.Counts) []count {
		var all []count
		for team, n := range c {
			place, known := places[team]
			if !known {
				place = len(r.Teams)
				places[team] = place
				r.Teams = append(r.Teams, team)
			}
			all = append(all, count{Team: place, Requests: n})
		}
		slices.SortFunc(all, func(a, b count) int { return a.Team - b.Team })
		return all
	}
	switch {
	case a.Reported: // what was sent is of no use any more
	case a.Closed != nil:
		r.Closed = rows(a.Closed)
	default:
		for owner, c := range a.Owners {
			r.Open = append(r.Open, ownerRow{Owner: owner, Counts: rows(c)})
		}
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("duties: encode an account: %w", err)
	}
	return data, nil
}

// decodeAccount reads a written account.
func decodeAccount(data []byte) (duty.Account, error) {
	var r usageRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return duty.Account{}, fmt.Errorf("duties: decode an account: %w", err)
	}
	a := duty.Account{Owners: map[uint64]duty.Counts{}, Reported: r.Reported}
	for _, row := range r.Open {
		c, err := r.counts(row.Counts)
		if err != nil {
			return duty.Account{}, err
		}
		a.Owners[row.Owner] = c
	}
	if r.IsClosed {
		c, err := r.counts(r.Closed)
		if err != nil {
			return duty.Account{}, err
		}
		a.Closed = c
	}
	return a, nil
}

func (r usageRecord) counts(rows []count) (duty.Counts, error) {
	c := make(duty.Counts, len(rows))
	for _, row := range rows {
		if row.Team < 0 || row.Team >= len(r.Teams) {
			return nil, fmt.Errorf("duties: decode an account: no team %d of %d", row.Team, len(r.Teams))
		}
		c[r.Teams[row.Team]] = row.Requests
	}
	return c, nil
}
