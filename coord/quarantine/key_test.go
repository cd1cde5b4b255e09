package quarantine_test

import (
	"fmt"
	"testing"

	"foxcross.dev/coord/quarantine"
)

func ExampleKeyOf() {
	first := quarantine.KeyOf("studio-1", "POST", "studio.example/plan/7", []byte("the body"))
	again := quarantine.KeyOf("studio-1", "POST", "studio.example/plan/7", []byte("the body"))
	other := quarantine.KeyOf("studio-2", "POST", "studio.example/plan/7", []byte("the body"))
	fmt.Println(first == again, first == other)
	// Output: true false
}

func TestKeySeparatesParts(t *testing.T) {
	seen := map[quarantine.Key]string{}
	for _, parts := range [][4]string{
		{"ab", "GET", "/x", ""}, {"a", "bGET", "/x", ""}, {"ab", "GET", "/", "x"}, {"", "abGET", "/x", ""}, {"ab", "GET/x", "", ""},
	} {
		k := quarantine.KeyOf(parts[0], parts[1], parts[2], []byte(parts[3]))
		if former, ok := seen[k]; ok {
			t.Errorf("%q has the same key as %s", parts, former)
		}
		seen[k] = fmt.Sprintf("%q", parts)
	}
}

func TestParseKey(t *testing.T) {
	k := quarantine.KeyOf("studio-1", "GET", "/x", nil)
	if parsed, ok := quarantine.ParseKey(k.String()); !ok || parsed != k {
		t.Errorf("%s was parsed as %s, %t", k, parsed, ok)
	}
	for _, text := range []string{"", "xyz", k.String() + "00", k.String()[2:]} {
		if _, ok := quarantine.ParseKey(text); ok {
			t.Errorf("%q was parsed as a key", text)
		}
	}
}

// BenchmarkKeyOf measures the cost of a request while the table has any content. 4 KB is the body
// of a long prompt, 64 KB a large one.
func BenchmarkKeyOf(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("%dKB", size>>10), func(b *testing.B) {
			body := make([]byte, size)
			b.ReportAllocs()
			for b.Loop() {
				quarantine.KeyOf("studio-1", "POST", "studio.example/plan/7", body)
			}
		})
	}
}
