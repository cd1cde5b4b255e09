// Package logs writes short structured log lines, each with the fixed prefix of its
// component.
package logs

import (
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
)

// Logger is the logger of one component.
type Logger struct {
	prefix string
	fields log.Fields
}

// For returns the logger of a component, whose name starts every line.
func For(component string) Logger { return Logger{prefix: component + ": "} }

// Setup sets the writer, the format ("json", else text) and the minimum level of all loggers.
func Setup(w io.Writer, format, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return err
	}
	log.SetLevel(l)
	if format == "json" {
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

// Event logs a line at info level with the given fields in place of those of the logger.
func (l Logger) Event(line string, f Fields) { log.WithFields(f).Info(l.prefix + line) }

// Debugf logs a line at debug level, for developers.
func (l Logger) Debugf(format string, args ...any) {
	log.WithFields(l.fields).Debugf(l.prefix+format, args...)
}

// Info logs a line at info level.
func (l Logger) Info(line string) { log.WithFields(l.fields).Info(l.prefix + line) }

// Infof logs a formatted line at info level.
func (l Logger) Infof(format string, args ...any) {
	log.WithFields(l.fields).Infof(l.prefix+format, args...)
}

// Warnf logs a formatted line at warning level: an operator may want to look at it.
func (l Logger) Warnf(format string, args ...any) {
	log.WithFields(l.fields).Warnf(l.prefix+format, args...)
}

// Errorf logs a formatted line at error level: an operator should look at it.
func (l Logger) Errorf(format string, args ...any) {
	log.WithFields(l.fields).Errorf(l.prefix+format, args...)
}
