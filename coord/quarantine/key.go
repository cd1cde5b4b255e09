package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// keyBytes is the length of a key. With 16 bytes of SHA-256 nobody finds a request
// of another content with the same key, so that nobody has another caller's request refused.
const keyBytes = 16

// Key names the content of a request: who asks, and what. Two requests with the same key do
// the same to an endpoint, whichever entry takes them and however often they come.
type Key [keyBytes]byte

// KeyOf returns the key of a request of a caller. Each part is hashed with its length, so
// that no two different requests run together into the same bytes.
func KeyOf(caller, method, target string, body []byte) Key {
	h := sha256.New()
	var length [8]byte
	part := func(b []byte) {
		binary.LittleEndian.PutUint64(length[:], uint64(len(b)))
		h.Write(length[:])
		h.Write(b)
	}
	part([]byte(caller))
	part([]byte(method))
	part([]byte(target))
	part(body)
	var sum [sha256.Size]byte
	return Key(h.Sum(sum[:0])[:keyBytes])
}

// String returns the key as logs and operators name it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// ParseKey returns the key that String wrote; false if the text is none.
func ParseKey(text string) (Key, bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != keyBytes {
		return Key{}, false
	}
	return Key(data), true
}
