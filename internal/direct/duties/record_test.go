package duties

import (
	"reflect"
	"testing"

	"foxcross.dev/coord/duty"
)

func TestAccountRoundTrip(t *testing.T) {
	for name, a := range map[string]duty.Account{
		"open":   {Owners: map[uint64]duty.Counts{1: {"a": 3, "b": 1}, 1 << 63: {"b": 2}, 3: {}}},
		"closed": {Owners: map[uint64]duty.Counts{}, Closed: duty.Counts{"a": 5}},
		"empty":  {Owners: map[uint64]duty.Counts{}, Closed: duty.Counts{}},
	} {
		data, err := encodeAccount(a)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeAccount(data)
		if err != nil || !reflect.DeepEqual(got, a) {
			t.Errorf("%s: decoded %+v, %v", name, got, err)
		}
	}
	data, err := encodeAccount(duty.Account{Closed: duty.Counts{"a": 5}, Reported: true})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeAccount(data); err != nil || !got.Reported || got.Closed != nil {
		t.Errorf("reported: decoded %+v, %v", got, err)
	}
}

// FuzzDecodeAccount decodes records as another version or a faulty one may have written them.
func FuzzDecodeAccount(f *testing.F) {
	data, err := encodeAccount(duty.Account{Owners: map[uint64]duty.Counts{1: {"a": 3}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa1, 0x03, 0x81, 0x82, 0x05, 0x01}) // a team index out of range
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := decodeAccount(data)
		if err != nil {
			return
		}
		if _, err := encodeAccount(a); err != nil {
			t.Errorf("%+v was decoded and cannot be encoded: %v", a, err)
		}
	})
}

func TestInvalidRecordsAreRefused(t *testing.T) {
	if _, err := decodeAccount([]byte{0xa2, 0x03, 0x81, 0x82, 0x05, 0x01, 0x04, 0xf5}); err == nil {
		t.Error("decoded a count whose team index is out of range")
	}
	if _, err := windowOf("usage/x"); err == nil {
		t.Error("parsed a key without a window")
	}
}
