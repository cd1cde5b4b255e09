package completeness_test

import (
	"testing"

	"foxcross.dev/coord/completeness"
)

func TestInvalidName(t *testing.T) {
	valid := "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for c := range 256 {
		want := false
		for _, v := range []byte(valid) {
			want = want || int(v) == c
		}
		name := "X-" + string([]byte{byte(c)})
		got, found := completeness.InvalidName(map[string][]string{"Content-Length": {"1"}, name: {"x"}})
		if found == want || found && got != name {
			t.Errorf("%q: invalid %t, %q", name, found, got)
		}
	}
	if _, found := completeness.InvalidName(map[string][]string{"": {"x"}}); !found {
		t.Error("an empty name counts as valid")
	}
	if name, found := completeness.InvalidName(nil); found {
		t.Errorf("no header has the name %q", name)
	}
}
