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

var errNoHello = errors.New("entry: the agent did not say hello")

// writeFailure answers with a code. Nothing may have been written before.
func writeFailure(w http.ResponseWriter, f *result.Error) {
	retry := ""
	if f.RetryAfter > 0 {
		retry = strconv.Itoa(seconds(f.RetryAfter))
	}
	failure.Write(w, f, retry)
}

func seconds(d time.Duration) int { return max(1, int(math.Ceil(d.Seconds()))) }

func (f finished) failure() *result.Error {
	return &result.Error{Code: f.Code, Run: f.Run, Reason: f.End.Reason, RetryAfter: f.RetryAfter}
}
