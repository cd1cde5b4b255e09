package workers

import "context"

// Signal wakes the receiver of a channel of capacity one. It never blocks; signals not
// yet received are merged into one.
func Signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// WaitFor returns once the condition holds. It checks the condition at the start and after each
// signal. It returns the error of ctx if ctx is done first.
func WaitFor(ctx context.Context, signals <-chan struct{}, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals:
		}
	}
	return nil
}
