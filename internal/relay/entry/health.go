package entry

import (
	"net/http"

	"foxcross.dev/coord/result"
)

// serveHealth answers whether the process works at all.
func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// serveReady answers whether the balancer may send requests.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		writeFailure(w, result.Errorf(result.NotReady, "state %s", e.State()))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
