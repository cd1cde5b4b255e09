package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"foxcross.dev/coord/result"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts over which the children of a top-level node are spread. With
// 40,000 teams, a part has about 30 KB.
const Buckets = 256

// MaxPart is the largest size of a part in bytes, below the platform's limit for a value.
const MaxPart = 900 << 10

// Root describes one version of the tree, with the content hashes of its parts.
type Root struct {
	Version uint64            `json:"version"`
	Parent  uint64            `json:"parent"`
	Change  string            `json:"change"` // id of the change, by which an author recognises it after a lost response
	Author  string            `json:"author,omitempty"`
	Note    string            `json:"note,omitempty"`
	At      time.Time         `json:"at"`
	Parts   map[string]string `json:"parts"` // content hash by name of the part
}

// Parts are immutable encoded parts of trees, by content hash.
type Parts map[string][]byte

// partOf returns the name of the part that contains a node.
func partOf(path string) string {
	segments := strings.SplitN(path, "/", 3)
	if len(segments) < 2 {
		return "top"
	}
	bucket := xxhash.Sum64String(segments[1]) % Buckets
	return segments[0] + "/" + strconv.FormatUint(bucket, 16)
}

// Split splits a tree into parts and records their hashes in the root.
func Split(t Tree, r Root) (Root, Parts, error) {
	byPart := map[string]map[string]Node{}
	for p, n := range t.nodes {
		name := partOf(p)
		if byPart[name] == nil {
			byPart[name] = map[string]Node{}
		}
		byPart[name][p] = n
	}
	r.Parts = make(map[string]string, len(byPart))
	parts := make(Parts, len(byPart))
	for name, nodes := range byPart {
		data, err := json.Marshal(nodes)
		if err != nil {
			return Root{}, nil, result.Errorf(result.SettingsInvalid, "part %q: %v", name, err)
		}
		if len(data) > MaxPart {
			return Root{}, nil, result.Errorf(result.SettingsInvalid,
				"part %q has %d bytes, %d are allowed: spread its nodes", name, len(data), MaxPart)
		}
		hash := contentHash(data)
		r.Parts[name] = hash
		parts[hash] = data
	}
	return r, parts, nil
}

func contentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

// Missing returns the hashes of the root's parts that are not in stored.
func (r Root) Missing(stored Parts) []string {
	var missing []string
	for _, h := range r.Parts {
		if _, ok := stored[h]; !ok {
			missing = append(missing, h)
		}
	}
	return missing
}

// Complete returns an error if a part of the root is missing from stored or damaged.
func Complete(r Root, stored Parts) error {
	for name, h := range r.Parts {
		if data, ok := stored[h]; !ok || contentHash(data) != h {
			return result.Errorf(result.SettingsInvalid, "part %q of version %d is missing or damaged", name, r.Version)
		}
	}
	return nil
}

// Join builds the tree of a root from its parts, and verifies the hash of each.
func Join(r Root, stored Parts) (Tree, error) {
	if err := Complete(r, stored); err != nil {
		return Tree{}, err
	}
	t := Tree{nodes: map[string]Node{}}
	for name, h := range r.Parts {
		if err := json.Unmarshal(stored[h], &t.nodes); err != nil {
			return Tree{}, result.Errorf(result.SettingsInvalid, "part %q of version %d: %v", name, r.Version, err)
		}
	}
	return t, nil
}

// Newer reports whether the root replaces the active one: only a higher version does.
func (r Root) Newer(active Root) bool { return r.Version > active.Version }
