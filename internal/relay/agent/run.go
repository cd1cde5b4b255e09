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

var errOver = errors.New("agent: the attempt is over")

// run is an attempt whose start has come, and the stream its answer goes to.
type run struct {
	agent   *Agent
	key     queue.Key
	attempt message.Attempt
	cancel  context.CancelFunc

	mu     sync.Mutex // orders what is sent on the stream
	stream link.Stream
	over   bool // the end was sent
}

// start hands a start to the core.
func (a *Agent) start(o *owner, st link.Stream, k queue.Key, m message.Start) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams++
	if old := a.runs[k]; old != nil && old.attempt == m.Attempt {
		st.Reset() // a copy of a start that was obeyed
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

// perform carries out the core's actions. Agent.mu is held.
func (a *Agent) perform(actions []dispatch.Action) {
	for _, x := range actions {
		switch x := x.(type) {
		case dispatch.Reply:
			if o := a.owners[x.Owner]; o != nil {
				o.send(x.Message)
			}
		case dispatch.Run:
			a.launch(x)
		case dispatch.Stop:
			a.halt(x)
		case dispatch.Finish:
			a.finish(x)
		}
	}
}

// launch runs the work on a worker.
func (a *Agent) launch(x dispatch.Run) {
	r := a.runs[x.Key]
	ctx, cancel := context.WithCancel(a.base)
	r.cancel = cancel
	a.metrics.Tagged(map[string]string{"class": x.Terms.Class}).Counter("starts").Inc(1)
	job := func() {
		began := steady.Now()
		end := a.drivers[x.Endpoint].Run(ctx, endpoint.Call{Target: x.Target, Terms: x.Terms, Start: x.Start}, r)
		end.Crash = a.examine(ctx, x, began, end)
		cancel()
		a.ended(x.Key, end)
	}
	if err := a.pool.Do(job); err != nil {
		end := message.End{Code: result.EndpointFailed, Run: result.NotRun, Reason: err.Error()}
		go a.ended(x.Key, end)
	}
}

func (a *Agent) halt(x dispatch.Stop) {
	if r := a.runs[x.Key]; r != nil && r.cancel != nil {
		r.cancel()
	}
	a.metrics.Tagged(map[string]string{"code": x.Code.Entry().Name}).Counter("stops").Inc(1)
}

// ended reports to the core that the driver has returned.
func (a *Agent) ended(k queue.Key, end message.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.perform(a.core.Ended(steady.Now(), k, end))
	a.wake()
	workers.Signal(a.onIdle)
}

// finish sends the end without holding up the caller.
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
	if r.over {
		return
	}
	r.over = true
	if err := r.stream.Send(end); err != nil {
		r.stream.Reset()
		return
	}
	_ = r.stream.CloseSend() // the peer may be gone
}

// Head sends the head of a service's answer.
func (r *run) Head(status int, header []message.Field) error {
	return r.send(message.Head{Request: r.key.Request, Attempt: r.attempt, Status: status, Header: header}, 0)
}

// Text sends answer text.
func (r *run) Text(text string, tokens int) error {
	return r.send(message.Chunk{Request: r.key.Request, Attempt: r.attempt, Text: text, Tokens: tokens}, tokens)
}

// Data sends bytes.
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
	if r.over {
		return errOver
	}
	return r.stream.Send(m)
}
