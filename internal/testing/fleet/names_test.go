package fleet_test

import (
	"net/http"
	"strings"
	"testing"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// TestResponseWithInvalidFieldNameIsNotRelayed guards against an answer whose body is not the endpoint's.
func TestResponseWithInvalidFieldNameIsNotRelayed(t *testing.T) {
	f, r := newUploadFleet(t)
	for name, e := range map[string]platformtest.Early{
		"chunked, blank": {Framing: "Transfer-Encoding : chunked\r\n" + untilCloseLines, Body: "2\r\nok\r\n0\r\n\r\n"},
		"length, blank":  {Framing: "Content-Length : 2\r\n" + untilCloseLines, Body: "ok and what follows"},
		"blank inside":   {Framing: "X More: 1\r\nContent-Length: 2\r\n", Body: "ok"},
		"control byte":   {Framing: "X-M\x01re: 1\r\nContent-Length: 2\r\n", Body: "ok"},
	} {
		for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
			e.Status, e.End = status, platformtest.CloseUnread
			r.SetDefault(e)
			for _, target := range []string{"/page/1", "/book/1"} {
				before := len(r.Runs())
				if a := f.requestRaw(f.entries[0], target); !strings.HasPrefix(a.head, "HTTP/1.1 502") {
					t.Errorf("%s, %d for %s: got %s%s", name, status, target, a.head, a.body)
				}
				if runs := len(r.Runs()) - before; runs != 1 {
					t.Errorf("%s, %d for %s: %d runs", name, status, target, runs)
				}
			}
		}
	}
}
