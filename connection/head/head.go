// Package head checks the heads of HTTP/1 messages before a library parses them. The libraries accept some heads that other
// readers reject or understand differently, so that one who gets such a head passed on may see other fields, or another
// body, than its sender meant.
package head

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrMalformed means that a head breaks the grammar of HTTP/1.
var ErrMalformed = errors.New("malformed head")

// CheckResponse returns an error that wraps ErrMalformed unless b begins with the well-formed head of a response. What
// follows its blank line is not looked at.
func CheckResponse(b []byte) error {
	line, fields := cutLine(b)
	if !isStatusLine(line) {
		return fmt.Errorf("%w: status line %.40q", ErrMalformed, line)
	}
	return CheckFields(fields)
}

// CheckFields is like CheckResponse for the lines after the first one, of requests too.
func CheckFields(b []byte) error {
	var f framing
	var line []byte
	last := fieldNone
	for len(b) > 0 {
		if line, b = cutLine(b); len(line) == 0 {
			return nil
		}
		if isBlank(line[0]) {
			if last != fieldOther || !isText(line) {
				return fmt.Errorf("%w: folded line %.40q", ErrMalformed, line)
			}
			continue
		}
		name, value, err := splitField(line)
		if err != nil {
			return err
		}
		if last, err = f.add(name, value); err != nil {
			return err
		}
	}
	return nil
}

// CheckField returns an error that wraps ErrMalformed unless line, with or without its end, is a well-formed field on one
// line.
func CheckField(line []byte) error {
	line, _ = cutLine(line)
	_, _, err := splitField(line)
	return err
}

// fieldKind is what a field says of the message.
type fieldKind uint8

const (
	fieldNone    fieldKind = iota // there is no field
	fieldFraming                  // where the body ends; never folded, as readers disagree on what its value is then
	fieldOther
)

// framing is what a head says of the end of its body.
type framing struct {
	length []byte // the declared one; nil: none
	coded  bool   // has a transfer coding
}

// add checks a field if it belongs to the framing.
func (f *framing) add(name, value []byte) (fieldKind, error) {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		if f.length != nil && !bytes.Equal(f.length, value) {
			return fieldNone, fmt.Errorf("%w: two lengths", ErrMalformed)
		}
		f.length = value
		return fieldFraming, nil
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		// Only chunks are taken off. A body with another coding would lose the name of it.
		if f.coded || !bytes.EqualFold(value, []byte("chunked")) {
			return fieldNone, fmt.Errorf("%w: transfer coding %.40q", ErrMalformed, value)
		}
		f.coded = true
		return fieldFraming, nil
	}
	return fieldOther, nil
}

// cutLine returns the first line without its end, which may be a single LF, and what follows it.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// splitField splits a line into the name and the value of a field.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) || !isText(value) {
		return nil, nil, fmt.Errorf("%w: field %.40q", ErrMalformed, line)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// isStatusLine reports whether line has a version of HTTP/1, a status that the protocol has, and a reason or none.
func isStatusLine(line []byte) bool {
	const version, status = "HTTP/1.", " 200"
	rest, ok := bytes.CutPrefix(line, []byte(version))
	if !ok || len(rest) < 1+len(status) || !isDigit(rest[0]) || rest[1] != ' ' {
		return false
	}
	code, reason := rest[2:5], rest[5:]
	if code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return false
	}
	return len(reason) == 0 || reason[0] == ' ' && isText(reason)
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// isToken reports whether b may be the name of a field.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b may be the value of a field, or a reason.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// tokenBytes are the bytes of a token, see RFC 9110, section 5.6.2.
var tokenBytes = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()
