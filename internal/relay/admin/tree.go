package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"foxcross.dev/foxcross/internal/relay/versions"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"

	"github.com/alexedwards/flow"
)

// Request header fields that name the author of a change and its reason.
const (
	AuthorField = "X-Foxcross-Author"
	NoteField   = "X-Foxcross-Note"
)

const (
	// maxTreeBytes is the largest tree accepted in a request body, in bytes. 40,000 teams take
	// some 21 MB in memory (docs/CAPACITY.md).
	maxTreeBytes = 64 << 20
	// defaultHistory is the number of versions listed if the request gives no count.
	defaultHistory = 20
	// maxHistory is the largest number of versions listed.
	maxHistory = 1000
)

// Tree serves the settings tree. Its ETag is the version number.
type Tree struct {
	Store *versions.Store
}

func (t *Tree) routes(m *flow.Mux) {
	m.HandleFunc(TreePath, t.get, http.MethodGet)
	m.HandleFunc(TreePath, t.put, http.MethodPut)
	m.HandleFunc(NodePath, t.patch, http.MethodPatch, http.MethodDelete)
	m.HandleFunc(HistoryPath, t.history, http.MethodGet)
	m.HandleFunc(DiffPath, t.diff, http.MethodGet)
	m.HandleFunc(RollbackPath, t.rollback, http.MethodPost)
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

// parseVersion parses a version from a header field or a query parameter.
func parseVersion(text string) (uint64, error) {
	n, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, result.Errorf(result.BadRequest, "version %q is not a number", text)
	}
	return n, nil
}

// get writes the active tree of this process, or that of the version given in the query.
func (t *Tree) get(w http.ResponseWriter, r *http.Request) {
	held := t.Store.Holder.State()
	version := held.Root.Version
	tree := held.Tree
	if q := r.URL.Query().Get("version"); q != "" {
		var err error
		if version, err = parseVersion(q); err == nil {
			tree, err = t.Store.TreeAt(r.Context(), version)
		}
		if err != nil {
			writeError(w, err)
			return
		}
	}
	w.Header().Set("ETag", etag(version))
	WriteJSON(w, tree)
}

// changeResult is the response to a change.
type changeResult struct {
	Version uint64                `json:"version"`
	DryRun  bool                  `json:"dry_run,omitempty"`
	Changes []settings.Difference `json:"changes"`
}

// put replaces the tree of the version given in If-Match. With the query parameter
// dry_run the change is only validated.
func (t *Tree) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTreeBytes))
	if err != nil {
		writeError(w, result.Errorf(result.BodyTooLarge, "%v", err))
		return
	}
	tree, err := settings.Parse(data)
	if err != nil {
		writeError(w, err)
		return
	}
	base, err := parseVersion(r.Header.Get("If-Match"))
	if err != nil {
		writeError(w, err)
		return
	}
	t.change(w, r, base, func(settings.Tree) (settings.Tree, error) { return tree, nil })
}

// patch sets or removes the node given by the query parameter path.
func (t *Tree) patch(w http.ResponseWriter, r *http.Request) {
	base := t.Store.Holder.Version()
	if q := r.Header.Get("If-Match"); q != "" {
		var err error
		if base, err = parseVersion(q); err != nil {
			writeError(w, err)
			return
		}
	}
	path := r.URL.Query().Get("path")
	t.change(w, r, base, func(old settings.Tree) (settings.Tree, error) {
		if r.Method == http.MethodDelete {
			return without(old, path)
		}
		return withNode(w, r, old, path)
	})
}

func without(old settings.Tree, path string) (settings.Tree, error) {
	if _, ok := old.Node(path); !ok || path == "" {
		return old, result.Errorf(result.NotFound, "no node %q", path)
	}
	return old.Without(path), nil
}

func withNode(w http.ResponseWriter, r *http.Request, old settings.Tree, path string) (settings.Tree, error) {
	var n settings.Node
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTreeBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&n); err != nil {
		return old, result.Errorf(result.SettingsInvalid, "node %q: %v", path, err)
	}
	return old.With(path, n), nil
}

// change applies an edit to the base version and writes the differences it made.
func (t *Tree) change(w http.ResponseWriter, r *http.Request, base uint64, edit func(settings.Tree) (settings.Tree, error)) {
	old, err := t.Store.TreeAt(r.Context(), base)
	if err != nil {
		writeError(w, err)
		return
	}
	tree, err := edit(old)
	if err == nil {
		err = settings.Check(tree)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	o := changeResult{Version: base, Changes: settings.Diff(old, tree)}
	if r.URL.Query().Has("dry_run") {
		o.DryRun = true
		WriteJSON(w, o)
		return
	}
	root, err := t.Store.Commit(r.Context(), versions.Change{
		Base:   base,
		Tree:   tree,
		Author: r.Header.Get(AuthorField),
		Note:   r.Header.Get(NoteField),
	})
	if err != nil {
		writeError(w, err)
		return
	}
	o.Version = root.Version
	w.Header().Set("ETag", etag(root.Version))
	WriteJSON(w, o)
}

// historyEntry is a version in the response of history.
type historyEntry struct {
	Version uint64 `json:"version"`
	Author  string `json:"author,omitempty"`
	Note    string `json:"note,omitempty"`
	At      string `json:"at"`
}

// history lists versions, newest first.
func (t *Tree) history(w http.ResponseWriter, r *http.Request) {
	count := defaultHistory
	if n, err := strconv.Atoi(r.URL.Query().Get("count")); err == nil {
		count = min(max(1, n), maxHistory)
	}
	var entries []historyEntry
	for v := t.Store.Holder.Version(); v > 0 && len(entries) < count; v-- {
		root, err := t.Store.RootAt(r.Context(), v)
		if err != nil {
			writeError(w, err)
			return
		}
		entries = append(entries, historyEntry{root.Version, root.Author, root.Note, root.At.Format("2006-01-02T15:04:05Z")})
	}
	WriteJSON(w, entries)
}

// diff lists the nodes that differ between two versions.
func (t *Tree) diff(w http.ResponseWriter, r *http.Request) {
	var trees [2]settings.Tree
	for n, name := range []string{"from", "to"} {
		v, err := parseVersion(r.URL.Query().Get(name))
		if err == nil {
			trees[n], err = t.Store.TreeAt(r.Context(), v)
		}
		if err != nil {
			writeError(w, err)
			return
		}
	}
	WriteJSON(w, settings.Diff(trees[0], trees[1]))
}

// rollback stores the tree of an older version as a new version.
func (t *Tree) rollback(w http.ResponseWriter, r *http.Request) {
	v, err := parseVersion(r.URL.Query().Get("version"))
	if err != nil {
		writeError(w, err)
		return
	}
	older, err := t.Store.TreeAt(r.Context(), v)
	if err != nil {
		writeError(w, err)
		return
	}
	t.change(w, r, t.Store.Holder.Version(), func(settings.Tree) (settings.Tree, error) { return older, nil })
}
