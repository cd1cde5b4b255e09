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

// Buckets is over how many parts the children of a top node are spread. At
// 40,000 teams a part is some 30 KB.
const Buckets = 256

// MaxPart is the largest part, below the platform's limit for a value.
const MaxPart = 900 << 10

// Root names one version of the tree: its parts by content hash.
type Root struct {
	Version uint64            `json:"version"`
	Parent  uint64            `json:"parent"`
	Change  string            `json:"change"` // id of the change, to know one's own after a lost answer
	Author  string            `json:"author,omitempty"`
	Note    string            `json:"note,omitempty"`
	At      time.Time         `json:"at"`
	Parts   map[string]string `json:"parts"` // name of the part: content hash
}

// Parts are the immutable pieces of trees, by content hash.
type Parts map[string][]byte

// partOf returns the name of the part that holds a node.
func partOf(path string) string {
	segments := strings.SplitN(path, "/", 3)
	if len(segments) < 2 {
		return "top"
	}
	bucket := xxhash.Sum64String(segments[1]) % Buckets
	return segments[0] + "/" + strconv.FormatUint(bucket, 16)
}

// Split cuts a tree into parts and names them in the root.
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

// Missing returns the hashes of the root's parts that are not held.
func (r Root) Missing(held Parts) []string {
	var missing []string
	for _, h := range r.Parts {
		if _, ok := held[h]; !ok {
			missing = append(missing, h)
		}
	}
	return missing
}

// Complete tells whether all parts of a root are held and undamaged.
func Complete(r Root, held Parts) error {
	for name, h := range r.Parts {
		if data, ok := held[h]; !ok || contentHash(data) != h {
			return result.Errorf(result.SettingsInvalid, "part %q of version %d is missing or damaged", name, r.Version)
		}
	}
	return nil
}

// Join builds the tree of a root from its parts, each checked by its hash.
func Join(r Root, held Parts) (Tree, error) {
	if err := Complete(r, held); err != nil {
		return Tree{}, err
	}
	t := Tree{nodes: map[string]Node{}}
	for name, h := range r.Parts {
		if err := json.Unmarshal(held[h], &t.nodes); err != nil {
			return Tree{}, result.Errorf(result.SettingsInvalid, "part %q of version %d: %v", name, r.Version, err)
		}
	}
	return t, nil
}

// Newer tells whether a root is to replace the one in force. A lower or equal
// version never does.
func (r Root) Newer(inForce Root) bool { return r.Version > inForce.Version }
