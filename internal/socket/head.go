package socket

import "bytes"

// codingField begins the line of a transfer coding.
const codingField = "Transfer-Encoding:"

// statusDigit is the place of the first digit of the status in a status line.
const statusDigit = len("HTTP/1.1 ")

// headScanner follows the head of a response to its blank line. net/http drops the transfer coding of an
// HTTP/1.0 response, so that the sizes of its chunks are read as its body. The zero value expects a head.
type headScanner struct {
	coded   bool // the head has a transfer coding
	interim bool // another head follows

	start []byte // of the present line, at most as long as codingField
	lines int    // that have ended
}

// next reads a byte and reports whether it ends the head.
func (s *headScanner) next(b byte) (ended bool) {
	if b != '\n' {
		if len(s.start) < len(codingField) {
			s.start = append(s.start, b)
		}
		return false
	}
	line := bytes.TrimSuffix(s.start, []byte("\r"))
	s.start = s.start[:0]
	s.lines++
	if s.lines == 1 {
		s.interim = len(line) > statusDigit && line[statusDigit] == '1'
		return false
	}
	s.coded = s.coded || bytes.EqualFold(line, []byte(codingField))
	return len(line) == 0
}
