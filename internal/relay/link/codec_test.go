package link

import (
	"bytes"
	"testing"

	"foxcross.dev/coord/message"
)

// FuzzDecode decodes arbitrary bytes as frames. Each frame must give a message or an error,
// and a decoded message must encode and decode again.
func FuzzDecode(f *testing.F) {
	for _, m := range messageTypes {
		data, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff})
	f.Add(bytes.Repeat([]byte{0x9b}, 64))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := newDecoder(bytes.NewReader(data))
		for {
			m, err := d.next()
			if err != nil {
				return
			}
			checkRoundTrip(t, m)
		}
	})
}

func checkRoundTrip(t *testing.T, m message.Message) {
	data, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := newDecoder(bytes.NewReader(data)).next(); err != nil {
		t.Fatalf("%T was encoded but can't be decoded: %v", m, err)
	}
}
