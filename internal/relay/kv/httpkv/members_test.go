package httpkv

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"foxcross.dev/foxcross/internal/relay/kv"
)

// members returns the list that a client reads from a service with this body.
func members(t *testing.T, body string) ([]kv.Member, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body)) // the client checks what arrives
	}))
	defer server.Close()
	platform, err := New(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Members(t.Context())
}

const soundMember = `{"name":"a, [\"1\"]","role":"agent","address":"10.1.0.6:7000","data_centre":"north","more":{"a":["]"]}}`

// TestOddMemberLeavesTheOthers guards against an entry that stops following the list at one member.
func TestOddMemberLeavesTheOthers(t *testing.T) {
	const nesting = 100_000
	agent := func(changes string) string {
		return `{"name":"odd","role":"agent","address":"10.1.0.7:7000","data_centre":"north"` + changes + `}`
	}
	for name, odd := range map[string]string{
		"nested list":             strings.Repeat("[", nesting) + strings.Repeat("]", nesting),
		"nested field":            agent(`,"more":` + strings.Repeat(`{"a":`, nesting) + "1" + strings.Repeat("}", nesting)),
		"a number":                "1" + strings.Repeat("0", 400),
		"null":                    "null",
		"name of the wrong type":  agent(`,"name":1e400`),
		"no name":                 agent(`,"name":""`),
		"state of the wrong type": agent(`,"leaving":9`),
		"no address":              agent(`,"address":""`),
		"port 0":                  agent(`,"address":"10.1.0.7:0"`),
		"port 65536":              agent(`,"address":"10.1.0.7:65536"`),
		"negative port":           agent(`,"address":"10.1.0.7:-1"`),
		"no value":                "",
		"no JSON":                 "odd",
		"control byte":            "\"\x00\"",
	} {
		for place, list := range map[string]string{
			"first": "[" + odd + "," + soundMember + "]",
			"last":  " [" + soundMember + " ,\n" + odd + "]\n",
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				got, err := members(t, list)
				if err != nil || len(got) != 1 || got[0].Name != `a, ["1"]` || got[0].Address != "10.1.0.6:7000" {
					t.Errorf("got %.200v, %v", got, err)
				}
			})
		}
	}
}

func TestMemberLists(t *testing.T) {
	for list, want := range map[string]int{
		"[]": 0, " [ ] ": 0, "null": 0, "[" + soundMember + "]": 1, "[" + soundMember + "," + soundMember + "]": 2,
		`[{"name":"e","role":"entry"}]`: 1, "": -1, "[": -1, "{}": -1, "7": -1, "[" + soundMember: -1, `["]`: -1, "[{]": -1, "[]]": -1,
	} {
		got, err := members(t, list)
		if (err != nil) != (want < 0) || err == nil && len(got) != want {
			t.Errorf("%s: got %v, %v", list, got, err)
		}
	}
}

// FuzzSplitList checks that elements are those that encoding/json finds.
func FuzzSplitList(f *testing.F) {
	for _, list := range []string{"[]", "[1,2]", `["a,b",{"c":[1,2]}]`, `["\"",["]"]]`, "null", "[[}]"} {
		f.Add([]byte(list))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		elements, err := splitList(data)
		want, valid := decodeList(data)
		if !valid {
			return
		}
		if err != nil || len(elements) != len(want) {
			t.Fatalf("%q: %d elements, %v, want %d", data, len(elements), err, len(want))
		}
		for n := range want {
			if strings.TrimSpace(string(elements[n])) != string(want[n]) {
				t.Errorf("%q: element %d is %q, want %q", data, n, elements[n], want[n])
			}
		}
	})
}

// decodeList returns the elements of a list as encoding/json reads them, and whether it is valid.
func decodeList(data []byte) (elements []json.RawMessage, valid bool) {
	err := json.Unmarshal(data, &elements)
	return elements, err == nil
}
