package entry

import (
	"fmt"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/testing/golden"
)

// TestGoldenAnswers compares the error response of each code with the recorded one, which
// callers rely on.
func TestGoldenAnswers(t *testing.T) {
	var got strings.Builder
	for _, e := range result.Table {
		w := httptest.NewRecorder()
		writeFailure(w, &result.Error{Code: e.Code, Run: result.NotRun, Reason: "why", RetryAfter: 1234 * time.Millisecond})
		response, err := httputil.DumpResponse(w.Result(), true)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s\n----\n", response)
	}
	golden.Compare(t, "answers.golden", got.String())
}
