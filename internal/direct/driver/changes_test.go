package driver_test

import (
	"reflect"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
)

func TestChanges(t *testing.T) {
	before := driver.Process{Name: "entry-1", Seeds: []string{"a"}, Bounds: driver.Bounds{StopGrace: time.Second, RetrySlack: 5}}
	if got := before.Changes(before); got != nil {
		t.Errorf("got %v for equal settings", got)
	}
	after := before
	after.Seeds = []string{"a", "b"}
	after.Bounds.RetrySlack = 7
	want := []driver.Difference{
		{Field: "RetrySlack", Before: "5", After: "7", Active: true},
		{Field: "Seeds", Before: `["a"]`, After: `["a","b"]`},
	}
	if got := before.Changes(after); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
