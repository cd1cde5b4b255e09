package platformtest

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// promptCache holds the parts of prompts that an engine has computed, without eviction. The zero
// value is empty.
type promptCache struct {
	mu     sync.Mutex
	tokens map[string]int // by the id of a part
}

// add adds a prompt and returns the number of its tokens that have to be computed: none of the
// cached parts, and only the last part if the others are fetched.
func (m *promptCache) add(h http.Header) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tokens == nil {
		m.tokens = map[string]int{}
	}
	parts := strings.Split(h.Get(PartsField), ",")
	tokens := 0
	for n, part := range parts {
		id, count, _ := strings.Cut(part, ":")
		fetched := h.Get(FetchField) != "" && n < len(parts)-1
		_, cached := m.tokens[id]
		size, err := strconv.Atoi(count)
		if err == nil && !cached && !fetched {
			tokens += size
		}
		m.tokens[id] = size
	}
	return tokens
}

// SharesPart reports whether a part other than the last one of a request's prompt has one of the IDs.
func SharesPart(h http.Header, ids ...string) bool {
	parts := strings.Split(h.Get(PartsField), ",")
	for _, part := range parts[:len(parts)-1] {
		if found, _, _ := strings.Cut(part, ":"); slices.Contains(ids, found) {
			return true
		}
	}
	return false
}

// listJSON returns the cached parts in the format of CachedPartsPath.
func (m *promptCache) listJSON() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []string
	for id, tokens := range m.tokens {
		rows = append(rows, fmt.Sprintf(`["",%q,%d,"m"]`, id, tokens))
	}
	return `{"epoch":1,"nextToken":1,"held":[` + strings.Join(rows, ",") + `]}`
}

// prefill waits for the time that the tokens of a prompt that are not cached take.
func (r *Runner) prefill(h http.Header, perToken time.Duration) {
	if perToken > 0 && h.Get(PartsField) != "" {
		time.Sleep(time.Duration(r.cache.add(h)) * perToken)
	}
}

// CachePart adds a part of a prompt to the runner's cache.
func (r *Runner) CachePart(id string, tokens int) {
	r.cache.mu.Lock()
	defer r.cache.mu.Unlock()
	if r.cache.tokens == nil {
		r.cache.tokens = map[string]int{}
	}
	r.cache.tokens[id] = tokens
}
