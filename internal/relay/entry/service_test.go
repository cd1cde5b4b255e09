package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"foxcross.dev/coord/message"
)

// TestBrokenServiceResponseLooksBroken checks both framings, and that a whole one arrives as it came.
func TestBrokenServiceResponseLooksBroken(t *testing.T) {
	for _, untilClose := range []bool{false, true} {
		for _, broken := range []bool{false, true} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				writeHead(w, head(message.Head{Status: http.StatusOK, UntilClose: untilClose}))
				_, _ = io.WriteString(w, "part of it")
				_ = http.NewResponseController(w).Flush()
				if broken {
					abort(w, untilClose)
				}
			}))
			a, err := http.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(a.Body)
			if broken == (err == nil) || string(body) != "part of it" {
				t.Errorf("until close %t, broken %t: body %q, error %v", untilClose, broken, body, err)
			}
			if chunked := len(a.TransferEncoding) > 0; chunked == untilClose {
				t.Errorf("until close %t: transfer codings %v", untilClose, a.TransferEncoding)
			}
			server.Close()
		}
	}
}
