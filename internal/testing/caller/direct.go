package caller

import (
	"context"
	"io"
	"net/http"
	"sync"
)

// Direct returns a client that calls a handler without a network.
func Direct(h http.Handler) *http.Client {
	return &http.Client{Transport: direct{h}}
}

type direct struct {
	handler http.Handler
}

// RoundTrip runs the handler and returns its answer once the header is written.
func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(r.Context())
	reader, writer := io.Pipe()
	w := &directWriter{header: http.Header{}, body: writer, begun: make(chan struct{})}
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
	case <-w.begun:
	case <-ctx.Done():
		_ = reader.Close() // always nil
		return nil, ctx.Err()
	}
	return &http.Response{
		Status:     http.StatusText(w.status),
		StatusCode: w.status,
		Header:     w.sent,
		Body:       &directBody{PipeReader: reader, cancel: cancel},
		Request:    r,
	}, nil
}

// directWriter is the handler's side.
type directWriter struct {
	header http.Header
	sent   http.Header
	status int
	body   *io.PipeWriter
	begun  chan struct{}
	once   sync.Once
}

func (w *directWriter) Header() http.Header { return w.header }

func (w *directWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		w.sent = w.header.Clone()
		close(w.begun)
	})
}

func (w *directWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// Flush does nothing: every write is passed on at once.
func (w *directWriter) Flush() {}

// directBody hangs up when it is closed.
type directBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

func (b *directBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}
