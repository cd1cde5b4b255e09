package platformtest

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memory is what an engine keeps of prompts: all parts that it ever computed. The zero
// value is empty.
type memory struct {
	mu   sync.Mutex
	kept map[string]int // tokens, by the id of a part
}

// take records a prompt and returns how many of its tokens have to be computed: none of
// the parts that are kept, and only the last part where the rest is fetched.
func (m *memory) take(h http.Header) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kept == nil {
		m.kept = map[string]int{}
	}
	parts := strings.Split(h.Get(PartsField), ",")
	tokens := 0
	for n, part := range parts {
		id, count, _ := strings.Cut(part, ":")
		fetched := h.Get(FetchField) != "" && n < len(parts)-1
		_, kept := m.kept[id]
		size, err := strconv.Atoi(count)
		if err == nil && !kept && !fetched {
			tokens += size
		}
		m.kept[id] = size
	}
	return tokens
}

// list returns the parts as a runner lists them.
func (m *memory) list() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []string
	for id, tokens := range m.kept {
		rows = append(rows, fmt.Sprintf(`["",%q,%d,"m"]`, id, tokens))
	}
	return `{"epoch":1,"nextToken":1,"held":[` + strings.Join(rows, ",") + `]}`
}

// prefill waits as long as the tokens of a prompt take that the engine lacks.
func (r *Runner) prefill(h http.Header, perToken time.Duration) {
	if perToken > 0 && h.Get(PartsField) != "" {
		time.Sleep(time.Duration(r.memory.take(h)) * perToken)
	}
}

// Keep lets the runner keep a part of prompts.
func (r *Runner) Keep(id string, tokens int) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.memory.kept == nil {
		r.memory.kept = map[string]int{}
	}
	r.memory.kept[id] = tokens
}
