package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// keyBytes is the length of a key. At 16 bytes of SHA-256 nobody can construct a request with the
// key of another content, and so have another caller's request refused.
const keyBytes = 16

// Key identifies the content of a request, which includes its caller. Requests with the same key
// have the same effect on an endpoint, whichever entry receives them and however often.
type Key [keyBytes]byte

// KeyOf returns the key of a request of a caller. Each part is hashed with its length as a
// prefix, so that different requests never have the same input to the hash.
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

// String returns the key in hexadecimal, the form used in logs and by operators.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Compare orders keys by their bytes.
func (k Key) Compare(other Key) int { return bytes.Compare(k[:], other[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// ParseKey parses the form returned by String. It returns false if the text is not a key.
func ParseKey(text string) (Key, bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != keyBytes {
		return Key{}, false
	}
	return Key(data), true
}
