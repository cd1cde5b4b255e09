package entry

import (
	"net/http"

	"foxcross.dev/coord/result"
)

// serveHealth responds to liveness checks.
func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// serveReady responds to readiness checks of the load balancer.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		writeFailure(w, result.Errorf(result.NotReady, "state %s", e.State()))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
