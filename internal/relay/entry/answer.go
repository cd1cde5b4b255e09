package entry

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/failure"
)

var errNoHello = errors.New("entry: the agent's first message is not a Hello")

// writeFailure writes an error response. Nothing may have been written before.
func writeFailure(w http.ResponseWriter, f *result.Error) {
	retryAfter := ""
	if f.RetryAfter > 0 {
		retryAfter = strconv.Itoa(retryAfterSeconds(f.RetryAfter))
	}
	failure.Write(w, f, retryAfter)
}

// retryAfterSeconds rounds up to whole seconds, at least 1.
func retryAfterSeconds(d time.Duration) int { return max(1, int(math.Ceil(d.Seconds()))) }

func (f finished) failure() *result.Error {
	return &result.Error{Code: f.Code, Run: f.Run, Reason: f.End.Reason, RetryAfter: f.RetryAfter}
}
