package link

import (
	"bytes"
	"testing"

	"foxcross.dev/coord/message"
)

// FuzzDecode feeds any bytes as frames: each gives a message or an error, and a
// message that was read can be written and read again.
func FuzzDecode(f *testing.F) {
	for _, m := range frames {
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
			again(t, m)
		}
	})
}

func again(t *testing.T, m message.Message) {
	data, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := newDecoder(bytes.NewReader(data)).next(); err != nil {
		t.Fatalf("%T was written and not read: %v", m, err)
	}
}
