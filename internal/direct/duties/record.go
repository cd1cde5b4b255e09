package duties

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"foxcross.dev/coord/duty"

	"github.com/fxamacker/cbor/v2"
)

// usagePrefix is the prefix of the keys of usage records. The window's number follows.
const usagePrefix = "usage/"

// usageKey returns the key of the usage record of a window.
func usageKey(w duty.Window) string { return usagePrefix + w.String() }

// windowOf returns the window of the key of a usage record.
func windowOf(key string) (duty.Window, error) {
	n, err := strconv.ParseInt(strings.TrimPrefix(key, usagePrefix), 10, 64)
	return duty.Window(n), err
}

// usageRecord is the stored form of a window's account. Each team name is stored once.
type usageRecord struct {
	Teams    []string   `cbor:"1,keyasint,omitempty"`
	Open     []ownerRow `cbor:"2,keyasint,omitempty"`
	Closed   []count    `cbor:"3,keyasint,omitempty"`
	IsClosed bool       `cbor:"4,keyasint,omitempty"`
	Reported bool       `cbor:"5,keyasint,omitempty"`
}

// ownerRow holds the counts of one entry.
type ownerRow struct {
	_      struct{} `cbor:",toarray"`
	Owner  uint64
	Counts []count
}

// count is the number of requests of a team. Team is an index into usageRecord.Teams.
type count struct {
	_        struct{} `cbor:",toarray"`
	Team     int
	Requests int64
}

// encodeAccount returns the stored form of a window's account.
func encodeAccount(a duty.Account) ([]byte, error) {
	indexes := map[string]int{}
	r := usageRecord{IsClosed: a.Closed != nil && !a.Reported, Reported: a.Reported}
	rows := func(c duty.Counts) []count {
		var all []count
		for team, n := range c {
			index, known := indexes[team]
			if !known {
				index = len(r.Teams)
				indexes[team] = index
				r.Teams = append(r.Teams, team)
			}
			all = append(all, count{Team: index, Requests: n})
		}
		slices.SortFunc(all, func(a, b count) int { return a.Team - b.Team })
		return all
	}
	switch {
	case a.Reported: // the counts are no longer needed
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

// decodeAccount returns the account of a stored usage record.
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
			return nil, fmt.Errorf("duties: decode an account: team index %d out of range of %d teams", row.Team, len(r.Teams))
		}
		c[r.Teams[row.Team]] = row.Requests
	}
	return c, nil
}
