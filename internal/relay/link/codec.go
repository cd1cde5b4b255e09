package link

import (
	"errors"
	"fmt"
	"io"
	"reflect"

	"foxcross.dev/coord/message"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes is the largest frame in bytes: the largest body of a caller, and space for the
// other fields of its message.
const MaxFrameBytes = 12 << 20

// errFrameTooLarge means that a peer has sent a frame larger than MaxFrameBytes.
var errFrameTooLarge = errors.New("link: frame too large")

// firstTag is the CBOR tag of the first message type; the others have the following tags. The
// range is in the one that RFC 8949 assigns first come, first served.
const firstTag = 58100

// messageTypes lists the message types in the order of their tags. Add new types only at
// the end.
var messageTypes = []message.Message{
	message.Hello{},
	message.Offer{},
	message.Ready{},
	message.Declined{},
	message.Withdraw{},
	message.Start{},
	message.Head{},
	message.Chunk{},
	message.End{},
	message.Cancel{},
	message.Heartbeat{},
	message.Leaving{},
	message.SettingsRequest{},
	message.SettingsReply{},
	message.Contents{},
}

var encMode, decMode = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	tags := cbor.NewTagSet()
	for n, m := range messageTypes {
		err := tags.Add(
			cbor.TagOptions{DecTag: cbor.DecTagRequired, EncTag: cbor.EncTagRequired},
			reflect.TypeOf(m), uint64(firstTag+n))
		if err != nil {
			panic("link: " + err.Error())
		}
	}
	enc, err := cbor.EncOptions{Sort: cbor.SortNone}.EncModeWithSharedTags(tags)
	if err != nil {
		panic("link: " + err.Error())
	}
	dec, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16}.DecModeWithSharedTags(tags)
	if err != nil {
		panic("link: " + err.Error())
	}
	return enc, dec
}

// Encode returns a message as a frame.
func Encode(m message.Message) ([]byte, error) {
	data, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("link: encode %T: %w", m, err)
	}
	return data, nil
}

// decoder reads messages from a stream.
type decoder struct {
	limited *limitedReader
	cbor    *cbor.Decoder
}

func newDecoder(r io.Reader) *decoder {
	l := &limitedReader{reader: r}
	return &decoder{limited: l, cbor: decMode.NewDecoder(l)}
}

func (d *decoder) next() (message.Message, error) {
	d.limited.remaining = MaxFrameBytes
	var v any
	if err := d.cbor.Decode(&v); err != nil {
		return nil, err
	}
	m, ok := v.(message.Message)
	if !ok {
		return nil, fmt.Errorf("link: unexpected frame %T", v)
	}
	return m, nil
}

// limitedReader fails once a frame exceeds MaxFrameBytes.
type limitedReader struct {
	reader    io.Reader
	remaining int
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errFrameTooLarge
	}
	n, err := r.reader.Read(p)
	r.remaining -= n
	return n, err
}
