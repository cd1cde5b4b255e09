package caller

import (
	"context"
	"io"
	"net/http"
	"sync"
)

// Direct returns a client that calls a handler without a network.
func Direct(h http.Handler) *http.Client {
	return &http.Client{Transport: directTransport{h}}
}

type directTransport struct {
	handler http.Handler
}

// RoundTrip runs the handler and returns its response when the header is written.
func (d directTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(r.Context())
	reader, writer := io.Pipe()
	w := &directWriter{header: http.Header{}, body: writer, headerWritten: make(chan struct{})}
	go func() {
		defer cancel()
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			} else if p != nil {
				_ = writer.CloseWithError(io.ErrUnexpectedEOF) // always nil
			}
			w.WriteHeader(http.StatusOK)
			_ = writer.Close() // always nil
		}()
		d.handler.ServeHTTP(w, r.WithContext(ctx))
	}()
	select {
	case <-w.headerWritten:
	case <-ctx.Done():
		_ = reader.Close() // always nil
		return nil, ctx.Err()
	}
	return &http.Response{
		Status:     http.StatusText(w.status),
		StatusCode: w.status,
		Header:     w.sentHeader,
		Body:       &directBody{PipeReader: reader, cancel: cancel},
		Request:    r,
	}, nil
}

// directWriter is the http.ResponseWriter of the handler.
type directWriter struct {
	header        http.Header
	sentHeader    http.Header
	status        int
	body          *io.PipeWriter
	headerWritten chan struct{}
	once          sync.Once
}

func (w *directWriter) Header() http.Header { return w.header }

func (w *directWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		w.sentHeader = w.header.Clone()
		close(w.headerWritten)
	})
}

func (w *directWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// Flush does nothing, since every write is forwarded at once.
func (w *directWriter) Flush() {}

// directBody cancels the request when it is closed.
type directBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

func (b *directBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}
