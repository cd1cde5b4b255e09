package upstream

import (
	"context"
	"errors"
	"fmt"
	"testing"
)

// TestResponseWithInvalidStatusIsNoAnswer guards against such responses, and their bodies, that are taken for answers.
func TestResponseWithInvalidStatusIsNoAnswer(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nfake"
	for _, status := range []string{"000", "001", "099", "+12", "101", "600", "999", "2000", "-12", " 20", "abc"} {
		data := fmt.Sprintf("HTTP/1.1 %s x\r\nX-Id: a\r\nContent-Length: %d\r\n\r\n%s", status, len(inner), inner)
		var p Pool
		response, err := p.Do(context.Background(), names, request(respondWith(t, []byte(data))))
		if !errors.Is(err, ErrInvalidResponse) {
			t.Errorf("%s: %v, %v", status, response, err)
		}
		if n := len(p.idle); n != 0 {
			t.Errorf("%s: %d connections are kept", status, n)
		}
	}
}
