package agent

import (
	"context"
	"errors"
	"sync"

	"foxcross.dev/coord/dispatch"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/relay/endpoint"
	"foxcross.dev/foxcross/internal/relay/link"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"
)

var errEnded = errors.New("agent: the attempt is over")

// run is an attempt whose start was received, with the stream for its response.
type run struct {
	agent   *Agent
	key     queue.Key
	attempt message.Attempt
	cancel  context.CancelFunc

	mu     sync.Mutex // serialises messages on the stream
	stream link.Stream
	ended  bool // the end was sent
}

// acceptStart registers a run and passes its start to the core.
func (a *Agent) acceptStart(o *owner, st link.Stream, k queue.Key, m message.Start) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.openStreams++
	if old := a.runs[k]; old != nil && old.attempt == m.Attempt {
		st.Reset() // duplicate of a start that was already handled
		return
	}
	r := &run{agent: a, key: k, attempt: m.Attempt, stream: st}
	previous := a.runs[k]
	a.runs[k] = r
	a.perform(a.core.Start(steady.Now(), o.id, m))
	if previous != nil && previous.cancel != nil {
		previous.cancel()
	}
}

// perform carries out the core's actions. Agent.mu must be held.
func (a *Agent) perform(actions []dispatch.Action) {
	for _, x := range actions {
		switch x := x.(type) {
		case dispatch.Reply:
			if o := a.owners[x.Owner]; o != nil {
				o.send(x.Message)
			}
		case dispatch.Run:
			a.startRun(x)
		case dispatch.Stop:
			a.stopRun(x)
		case dispatch.Finish:
			a.finish(x)
		}
	}
}

// startRun runs the call on a worker.
func (a *Agent) startRun(x dispatch.Run) {
	r := a.runs[x.Key]
	ctx, cancel := context.WithCancel(a.runContext)
	r.cancel = cancel
	a.metrics.Tagged(map[string]string{"class": x.Terms.Class}).Counter("starts").Inc(1)
	job := func() {
		began := steady.Now()
		end := a.drivers[x.Endpoint].Run(ctx, endpoint.Call{Target: x.Target, Terms: x.Terms, Start: x.Start}, r)
		end.Crash = a.detectCrash(ctx, x, began, end)
		cancel()
		a.runEnded(x.Key, end)
	}
	if err := a.pool.Do(job); err != nil {
		end := message.End{Code: result.EndpointFailed, Run: result.NotRun, Reason: err.Error()}
		go a.runEnded(x.Key, end)
	}
}

func (a *Agent) stopRun(x dispatch.Stop) {
	if r := a.runs[x.Key]; r != nil && r.cancel != nil {
		r.cancel()
	}
	a.metrics.Tagged(map[string]string{"code": x.Code.Entry().Name}).Counter("stops").Inc(1)
}

// runEnded reports to the core that the driver has returned.
func (a *Agent) runEnded(k queue.Key, end message.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.perform(a.core.Ended(steady.Now(), k, end))
	a.wake()
	workers.Signal(a.workDone)
}

// finish sends the end from another goroutine, so that the caller does not block on the stream.
func (a *Agent) finish(x dispatch.Finish) {
	r := a.runs[x.Key]
	if r == nil || r.attempt != x.End.Attempt {
		return
	}
	delete(a.runs, x.Key)
	a.recent.Add(recentEnd(x))
	go r.finish(x.End)
}

func (r *run) finish(end message.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	if err := r.stream.Send(end); err != nil {
		r.stream.Reset()
		return
	}
	_ = r.stream.CloseSend() // the peer may have disconnected
}

// Head sends the status and the header of a service's response.
func (r *run) Head(status int, header []message.Field) error {
	return r.send(message.Head{Request: r.key.Request, Attempt: r.attempt, Status: status, Header: header}, 0)
}

// Text sends answer text of a model.
func (r *run) Text(text string, tokens int) error {
	return r.send(message.Chunk{Request: r.key.Request, Attempt: r.attempt, Text: text, Tokens: tokens}, tokens)
}

// Data sends bytes from a service, or choices of a model that are not plain text.
func (r *run) Data(data []byte, tokens int) error {
	return r.send(message.Chunk{Request: r.key.Request, Attempt: r.attempt, Data: data, Tokens: tokens}, tokens)
}

func (r *run) send(m message.Message, tokens int) error {
	a := r.agent
	a.mu.Lock()
	a.core.Progress(steady.Now(), r.key, tokens)
	a.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return errEnded
	}
	return r.stream.Send(m)
}
