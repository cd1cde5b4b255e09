package entry

import (
	"net/http"
	"strings"

	"foxcross.dev/coord/binding"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/failure"

	"github.com/alexedwards/flow"
)

// unforwardedFields are header fields that are not forwarded: those that apply to one
// connection (RFC 9110, 7.6.1) and those meant for the entry.
var unforwardedFields = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Content-Length":      true,
	"Keep-Alive":          true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	classField:            true,
	failure.CodeField:     true,
	failure.RunField:      true,
}

// serveService serves a request to a plain service.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) *result.Error {
	c, failure := e.authenticate(r)
	if failure != nil {
		return failure
	}
	name := flow.Param(r.Context(), "service")
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name)
	k, failure := c.serviceClass(r, name, path)
	if failure != nil {
		return failure
	}
	body, failure := e.readBody(w, r)
	if failure != nil {
		return failure
	}
	q := binding.Request{Target: k.Target(), Terms: c.terms(k), GiveUp: k.GiveUp, RetryPermille: k.RetryPermille}
	a, done, failure := e.submit(r, c, k, q, newServiceStart(r, path, body))
	if failure != nil {
		return failure
	}
	defer done()
	writeService(w, r, a)
	return nil
}

// serviceClass returns the class of a request: the one that the header names, else the
// one whose match covers the method and the path.
func (c caller) serviceClass(r *http.Request, service, path string) (settings.ClassInfo, *result.Error) {
	k, found, failure := c.headerClass(r)
	if failure != nil {
		return k, failure
	}
	if !c.snapshot.HasService(service) {
		return k, result.Errorf(result.UnknownService, "%q", service)
	}
	if !found {
		var ok bool
		k, ok = c.snapshot.ServiceClass(service, r.Method, path)
		if !ok {
			return k, result.Errorf(result.UnknownClass, "no class of %s covers %s %s", service, r.Method, path)
		}
	}
	if k.Service != service {
		return k, result.Errorf(result.UnknownService, "class %s does not serve %q", k.Name, service)
	}
	return k, c.checkClass(k)
}

func newServiceStart(r *http.Request, path string, body []byte) message.Start {
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	m := message.Start{Method: r.Method, Path: path, Body: body}
	for name, values := range r.Header {
		if unforwardedFields[name] {
			continue
		}
		for _, v := range values {
			m.Header = append(m.Header, message.Field{Name: name, Value: v})
		}
	}
	return m
}

// writeService writes the response while it is received. If the response breaks off, it
// aborts the connection, so that the caller can't take the response for complete.
func writeService(w http.ResponseWriter, r *http.Request, c *call) {
	controller := http.NewResponseController(w)
	started := false
	for {
		fragments, err := c.next(r.Context())
		if err != nil {
			return // the caller has disconnected
		}
		for _, p := range fragments {
			switch p := p.(type) {
			case head:
				started = true
				writeHead(w, p)
			case data:
				_, _ = w.Write(p) // the caller may have disconnected
			case finished:
				if p.Code == result.OK {
					return
				}
				if started {
					panic(http.ErrAbortHandler)
				}
				writeFailure(w, p.failure())
				return
			}
		}
		if started {
			_ = controller.Flush() // the caller may have disconnected
		}
	}
}

func writeHead(w http.ResponseWriter, m head) {
	h := w.Header()
	for _, f := range m.Header {
		if !unforwardedFields[http.CanonicalHeaderKey(f.Name)] {
			h.Add(f.Name, f.Value)
		}
	}
	failure.SetCode(h, result.OK, result.Ran)
	w.WriteHeader(m.Status)
}
