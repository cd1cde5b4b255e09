// Package logs writes short structured log lines, each with the fixed prefix
// of its part.
package logs

import (
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
)

// Logger is the logger of one part.
type Logger struct {
	prefix string
	fields log.Fields
}

// For returns the logger of a part. The prefix begins every line of it.
func For(part string) Logger { return Logger{prefix: part + ": "} }

// Setup sets where lines go, in which form and from which level on.
func Setup(w io.Writer, form, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return err
	}
	log.SetLevel(l)
	if form == "json" {
		log.SetHandler(json.New(w))
		return nil
	}
	log.SetHandler(text.New(w))
	return nil
}

func init() { log.SetHandler(text.New(os.Stderr)) }

// With returns a logger that adds a field to its lines.
func (l Logger) With(name string, value any) Logger {
	fields := log.Fields{name: value}
	for n, v := range l.fields {
		fields[n] = v
	}
	return Logger{prefix: l.prefix, fields: fields}
}

// Fields are the named values of a line.
type Fields = log.Fields

// Event logs a line with many fields at once.
func (l Logger) Event(line string, f Fields) { log.WithFields(f).Info(l.prefix + line) }

// Debugf logs a line for developers.
func (l Logger) Debugf(format string, args ...any) {
	log.WithFields(l.fields).Debugf(l.prefix+format, args...)
}

// Info logs a line.
func (l Logger) Info(line string) { log.WithFields(l.fields).Info(l.prefix + line) }

// Infof logs a line.
func (l Logger) Infof(format string, args ...any) {
	log.WithFields(l.fields).Infof(l.prefix+format, args...)
}

// Warnf logs something an operator may want to look at.
func (l Logger) Warnf(format string, args ...any) {
	log.WithFields(l.fields).Warnf(l.prefix+format, args...)
}

// Errorf logs something an operator should look at.
func (l Logger) Errorf(format string, args ...any) {
	log.WithFields(l.fields).Errorf(l.prefix+format, args...)
}
