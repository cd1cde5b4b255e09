package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"foxcross.dev/coord/result"
)

// Node is one node without its children.
type Node struct {
	Kind Kind   `json:"kind,omitempty"`
	Set  Fields `json:"set,omitzero"`
}

// Tree is an immutable tree of settings. The zero value is empty.
type Tree struct {
	nodes map[string]Node // by path; the root's path is ""
}

// document is the nested JSON form that operators read and write.
type document struct {
	Name     string     `json:"name,omitempty"`
	Kind     Kind       `json:"kind,omitempty"`
	Set      Fields     `json:"set,omitzero"`
	Children []document `json:"children,omitempty"`
}

// NewTree returns a tree of the nodes, by path. The map is copied.
func NewTree(nodes map[string]Node) Tree { return Tree{maps.Clone(nodes)} }

// Nodes returns a copy of the nodes, by path.
func (t Tree) Nodes() map[string]Node { return maps.Clone(t.nodes) }

// Len returns the number of nodes.
func (t Tree) Len() int { return len(t.nodes) }

// Node returns the node at the path.
func (t Tree) Node(path string) (Node, bool) {
	n, ok := t.nodes[path]
	return n, ok
}

// Paths returns the sorted paths of all nodes.
func (t Tree) Paths() []string {
	return slices.Sorted(maps.Keys(t.nodes))
}

// With returns a copy of the tree with the node at the path set.
func (t Tree) With(path string, n Node) Tree {
	nodes := maps.Clone(t.nodes)
	if nodes == nil {
		nodes = map[string]Node{}
	}
	nodes[path] = n
	return Tree{nodes}
}

// Without returns a copy of the tree without the node at the path and its descendants.
func (t Tree) Without(path string) Tree {
	nodes := maps.Clone(t.nodes)
	maps.DeleteFunc(nodes, func(p string, _ Node) bool { return within(p, path) })
	return Tree{nodes}
}

// within reports whether the path is that of ancestor or of one of its descendants.
func within(path, ancestor string) bool {
	return path == ancestor || ancestor == "" || strings.HasPrefix(path, ancestor+"/")
}

// parent returns the path of the parent. The root has none.
func parent(path string) (string, bool) {
	if path == "" {
		return "", false
	}
	cut := strings.LastIndexByte(path, '/')
	if cut < 0 {
		return "", true
	}
	return path[:cut], true
}

// Resolve returns the effective fields at the path: the defaults, overridden by
// each node from the root down.
func (t Tree) Resolve(path string) Fields {
	return newResolver(t).resolve(path)
}

// resolver resolves the nodes of one tree. It caches the fields of groups.
type resolver struct {
	tree   Tree
	groups map[string]Fields // resolved, by path
}

func newResolver(t Tree) *resolver { return &resolver{tree: t, groups: map[string]Fields{}} }

func (r *resolver) resolve(path string) Fields {
	parentPath, ok := parent(path)
	if !ok {
		return Defaults.Override(r.tree.nodes[""].Set)
	}
	inherited, known := r.groups[parentPath]
	if !known {
		inherited = r.resolve(parentPath)
		r.groups[parentPath] = inherited
	}
	return inherited.Override(r.tree.nodes[path].Set)
}

// Parse parses the nested form and validates it against the schema. Compile
// validates the meaning of the tree.
func Parse(data []byte) (Tree, error) {
	if err := checkSchema(data); err != nil {
		return Tree{}, err
	}
	var d document
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Tree{}, result.Errorf(result.SettingsInvalid, "settings tree: %v", err)
	}
	t := Tree{nodes: map[string]Node{}}
	if err := t.flatten("", d); err != nil {
		return Tree{}, err
	}
	return t, nil
}

func (t Tree) flatten(path string, d document) error {
	t.nodes[path] = Node{Kind: d.Kind, Set: d.Set}
	for _, k := range d.Children {
		childPath := join(path, k.Name)
		if _, isDuplicate := t.nodes[childPath]; isDuplicate {
			return result.Errorf(result.SettingsInvalid, "node %q stands twice", childPath)
		}
		if err := t.flatten(childPath, k); err != nil {
			return err
		}
	}
	return nil
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}

// MarshalJSON returns the nested form, with children sorted by name.
func (t Tree) MarshalJSON() ([]byte, error) {
	childPaths := map[string][]string{}
	for _, p := range t.Paths() {
		if parentPath, ok := parent(p); ok {
			childPaths[parentPath] = append(childPaths[parentPath], p)
		}
	}
	return json.Marshal(t.nest("", "", childPaths))
}

func (t Tree) nest(path, name string, childPaths map[string][]string) document {
	n := t.nodes[path]
	d := document{Name: name, Kind: n.Kind, Set: n.Set}
	for _, p := range childPaths[path] {
		d.Children = append(d.Children, t.nest(p, baseName(p), childPaths))
	}
	return d
}

// Difference is a node that differs between two trees.
type Difference struct {
	Path   string `json:"path"`
	Before *Node  `json:"before,omitempty"`
	After  *Node  `json:"after,omitempty"`
}

// Diff returns the nodes that differ, sorted by path.
func Diff(before, after Tree) []Difference {
	var all []Difference
	visited := 0
	for p, b := range before.nodes {
		yield(visited)
		visited++
		a, inAfter := after.nodes[p]
		switch {
		case !inAfter:
			all = append(all, Difference{Path: p, Before: &b})
		case !equal(b, a):
			all = append(all, Difference{Path: p, Before: &b, After: &a})
		}
	}
	for p, a := range after.nodes {
		if _, inBefore := before.nodes[p]; !inBefore {
			all = append(all, Difference{Path: p, After: &a})
		}
	}
	slices.SortFunc(all, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return all
}

// equal reports whether two nodes are equal. For nodes that trees share, it does not compare the
// values that their fields point to.
func equal(a, b Node) bool { return a == b || reflect.DeepEqual(a, b) }

// Apply returns a copy of the tree with the differences applied.
func (t Tree) Apply(all []Difference) Tree {
	nodes := maps.Clone(t.nodes)
	if nodes == nil {
		nodes = map[string]Node{}
	}
	for _, d := range all {
		if d.After == nil {
			delete(nodes, d.Path)
			continue
		}
		nodes[d.Path] = *d.After
	}
	return Tree{nodes}
}

// Rebase applies the change from base to mine to a newer tree. It fails with
// a conflict if both changed the same node in different ways, or if one removed an ancestor of
// a node that the other changed.
func Rebase(base, mine, newer Tree) (Tree, error) {
	own := Diff(base, mine)
	for _, theirs := range Diff(base, newer) {
		for _, d := range own {
			if !overlap(d, theirs) {
				continue
			}
			return Tree{}, result.Errorf(result.SettingsConflict,
				"node %q was changed by another operator first", theirs.Path)
		}
	}
	return newer.Apply(own), nil
}

func overlap(a, b Difference) bool {
	switch {
	case a.Path == b.Path:
		return !sameAfter(a, b)
	case a.After == nil:
		return within(b.Path, a.Path) && b.After != nil
	case b.After == nil:
		return within(a.Path, b.Path)
	default:
		return false
	}
}

func sameAfter(a, b Difference) bool {
	if a.After == nil || b.After == nil {
		return a.After == nil && b.After == nil
	}
	return equal(*a.After, *b.After)
}

// String returns the number of nodes, for log messages.
func (t Tree) String() string { return fmt.Sprintf("tree of %d nodes", len(t.nodes)) }
