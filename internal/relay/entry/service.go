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

// ownFields are header fields that are not passed on: those of one connection
// (RFC 9110, 7.6.1) and those meant for the entry.
var ownFields = map[string]bool{
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

// serveService passes a call on to a plain service.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) *result.Error {
	c, failure := e.identify(r)
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
	a, done, failure := e.submit(r, c, k, q, serviceStart(r, path, body))
	if failure != nil {
		return failure
	}
	defer done()
	writeService(w, r, a)
	return nil
}

// serviceClass finds the class: named by the header, else by its match.
func (c caller) serviceClass(r *http.Request, service, path string) (settings.ClassInfo, *result.Error) {
	k, named, failure := c.named(r)
	if failure != nil {
		return k, failure
	}
	if !c.snapshot.HasService(service) {
		return k, result.Errorf(result.UnknownService, "%q", service)
	}
	if !named {
		var ok bool
		k, ok = c.snapshot.ServiceClass(service, r.Method, path)
		if !ok {
			return k, result.Errorf(result.UnknownClass, "no class of %s covers %s %s", service, r.Method, path)
		}
	}
	if k.Service != service {
		return k, result.Errorf(result.UnknownService, "class %s does not serve %q", k.Name, service)
	}
	return k, c.allow(k)
}

func serviceStart(r *http.Request, path string, body []byte) message.Start {
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	m := message.Start{Method: r.Method, Path: path, Body: body}
	for name, values := range r.Header {
		if ownFields[name] {
			continue
		}
		for _, v := range values {
			m.Header = append(m.Header, message.Field{Name: name, Value: v})
		}
	}
	return m
}

// writeService writes the answer as it comes. An answer that breaks off ends
// with a broken connection, so that the caller can't take it for whole.
func writeService(w http.ResponseWriter, r *http.Request, c *call) {
	control := http.NewResponseController(w)
	begun := false
	for {
		pieces, err := c.next(r.Context())
		if err != nil {
			return // the caller is gone
		}
		for _, p := range pieces {
			switch p := p.(type) {
			case head:
				begun = true
				writeHead(w, p)
			case data:
				_, _ = w.Write(p) // the caller may be gone
			case finished:
				if p.Code == result.OK {
					return
				}
				if begun {
					panic(http.ErrAbortHandler)
				}
				writeFailure(w, p.failure())
				return
			}
		}
		if begun {
			_ = control.Flush() // the caller may be gone
		}
	}
}

func writeHead(w http.ResponseWriter, m head) {
	h := w.Header()
	for _, f := range m.Header {
		if !ownFields[http.CanonicalHeaderKey(f.Name)] {
			h.Add(f.Name, f.Value)
		}
	}
	failure.SetCode(h, result.OK, result.Ran)
	w.WriteHeader(m.Status)
}
