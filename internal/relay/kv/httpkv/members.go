package httpkv

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/relay/kv"
)

var log = logs.For("platform")

// Reasons for which a list, or one of its members, is invalid.
var (
	errNoList         = errors.New("httpkv: the member list is no JSON list")
	errNoName         = errors.New("name is missing")
	errInvalidAddress = errors.New("address has no port between 1 and 65535")
)

// parseMembers returns the valid members of a list. Each is decoded by itself, so that an invalid one, which
// another writer may have left, leaves the others.
func parseMembers(data []byte) ([]kv.Member, error) {
	elements, err := splitList(data)
	if err != nil {
		return nil, err
	}
	var members []kv.Member
	for _, e := range elements {
		m, err := parseMember(e)
		if err != nil {
			log.With("member", excerpt(e)).With("reason", err.Error()).WarnLimited("member", "A member in the platform's list is invalid; ignoring it.")
			continue
		}
		members = append(members, m)
	}
	return members, nil
}

// maxExcerptBytes bounds the logged text of an invalid member.
const maxExcerptBytes = 64

// excerpt returns the first bytes of a member, escaped.
func excerpt(member []byte) string {
	return strconv.QuoteToASCII(string(member[:min(len(member), maxExcerptBytes)]))
}

func parseMember(data []byte) (kv.Member, error) {
	var m kv.Member
	if err := json.Unmarshal(data, &m); err != nil {
		return kv.Member{}, err
	}
	if m.Name == "" {
		return kv.Member{}, errNoName
	}
	if m.Role != kv.Agent {
		return m, nil
	}
	_, port, err := net.SplitHostPort(m.Address)
	if err != nil {
		return kv.Member{}, fmt.Errorf("address: %w", err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return kv.Member{}, errInvalidAddress
	}
	return m, nil
}

// splitList returns the elements of a JSON list. It does not check them, and takes any depth:
// encoding/json would reject the whole list for one that is nested too deeply.
func splitList(data []byte) ([][]byte, error) {
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, []byte("null")) {
		return nil, nil
	}
	if len(data) < 2 || data[0] != '[' || data[len(data)-1] != ']' {
		return nil, errNoList
	}
	data = data[1 : len(data)-1]
	if len(bytes.TrimSpace(data)) == 0 {
		return nil, nil
	}
	var elements [][]byte
	var text textScanner
	start, depth := 0, 0
	for i, b := range data {
		switch inText := text.next(b); {
		case inText:
		case b == '[' || b == '{':
			depth++
		case b == ']' || b == '}':
			depth--
		case b == ',' && depth == 0:
			elements = append(elements, data[start:i])
			start = i + 1
		}
	}
	if depth != 0 || text.open {
		return nil, errNoList
	}
	return append(elements, data[start:]), nil
}

// textScanner follows the texts of JSON. The zero value is outside of one.
type textScanner struct {
	open    bool
	escaped bool // the present byte follows a backslash
}

// next reports whether a byte belongs to a text.
func (s *textScanner) next(b byte) bool {
	switch {
	case !s.open:
		s.open = b == '"'
		return s.open
	case s.escaped:
		s.escaped = false
	case b == '\\':
		s.escaped = true
	case b == '"':
		s.open = false
	}
	return true
}
