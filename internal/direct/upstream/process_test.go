package upstream

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// TestRequestIsNotSentToAnotherProcess guards against a stream that reaches the next process at an address.
func TestRequestIsNotSentToAnotherProcess(t *testing.T) {
	first := platformtest.NewRunner("i-1", "pool", platformtest.Answer{Status: http.StatusOK, Body: "whole"})
	query := ProcessQuery{Target: platformtest.CacheEventsPath, Parse: func(r io.Reader) (string, error) {
		data, err := io.ReadAll(r)
		return string(data), err
	}}
	var p Pool
	name, err := p.Process(t.Context(), "i-1@1", first.Address(), query)
	if err != nil {
		t.Fatal(err)
	}
	if held := p.Buffers.Reserved(); held > 0 {
		t.Errorf("%d bytes stay reserved after the response", held)
	}
	send := func() error {
		response, err := p.Do(t.Context(), HeaderNames{RequestID: platformtest.RequestIDField}, &Request{
			Endpoint: "i-1@1", Address: first.Address(), Method: http.MethodGet, Target: "/chat/1", Host: "h", ID: "1",
			Header:  http.Header{platformtest.RequestIDField: {"1"}},
			Process: &ProcessCheck{ProcessQuery: query, Process: name},
		})
		if err == nil {
			response.Drain()
		}
		return err
	}
	for range 2 { // over the connection that asked, then over one that was used
		if err := send(); err != nil {
			t.Error(err)
		}
	}
	second := first.Restart("v2")
	defer second.Close()
	if err := send(); !errors.Is(err, ErrOtherProcess) {
		t.Errorf("the error is %v", err)
	}
	if n := len(second.Runs()); n > 0 {
		t.Errorf("the next process got %d requests", n)
	}
}
