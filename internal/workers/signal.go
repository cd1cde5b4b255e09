package workers

import "context"

// Signal tells the receiver of a channel of capacity one that there is something to
// look at. It never blocks; signals that were not received yet become one.
func Signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Await returns once the condition holds. It is looked at first and after each signal;
// ctx bounds the wait.
func Await(ctx context.Context, signals <-chan struct{}, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals:
		}
	}
	return nil
}
