package httpbody

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformedHead is returned for a response whose head is not valid, although net/http reads it.
var ErrMalformedHead = errors.New("malformed head")

// headPart is the part of a head that the next byte belongs to.
type headPart uint8

const (
	statusLine headPart = iota
	lineStart
	// fieldName is that of a field, up to the colon.
	fieldName
	// restOfLine follows the colon, or begins a folded line.
	restOfLine
	// headEnd follows the carriage return of an empty line.
	headEnd
	// afterHead follows the last head of a response.
	afterHead
)

// codingField names the coding of a body.
const codingField = "transfer-encoding"

// maxStatusLine is how many bytes of a status line are checked: it ends with a reason of any length.
const maxStatusLine = 32

// headChecker checks the heads of one response, interim ones included, as they are received. The zero
// value expects a response.
type headChecker struct {
	part headPart
	// line is the beginning of the status line, or of a name.
	line []byte
	// withoutCodings says that the version of the response has no codings of the body.
	withoutCodings bool
	// interim says that the head is that of an interim response, which another head follows.
	interim bool
}

// check checks the next bytes of a connection. Those after the last head are not looked at.
func (h *headChecker) check(b []byte) error {
	for len(b) > 0 && h.part != afterHead {
		rest, err := h.next(b)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrMalformedHead, err)
		}
		b = rest
	}
	return nil
}

// next checks what b has of one part and returns the rest.
func (h *headChecker) next(b []byte) (rest []byte, err error) {
	switch h.part {
	case statusLine:
		line, rest, ended := bytes.Cut(b, []byte("\n"))
		h.line = append(h.line, line[:min(len(line), maxStatusLine-len(h.line))]...)
		if ended {
			err = h.endStatusLine()
		}
		return rest, err
	case lineStart:
		return h.beginLine(b)
	case fieldName:
		return h.checkName(b)
	case restOfLine:
		_, rest, ended := bytes.Cut(b, []byte("\n"))
		if ended {
			h.part = lineStart
		}
		return rest, nil
	}
	if b[0] != '\n' {
		return nil, errors.New("carriage return in a name")
	}
	h.endHead()
	return b[1:], nil
}

// endStatusLine checks a status line.
func (h *headChecker) endStatusLine() error {
	version, status, _ := bytes.Cut(bytes.TrimSuffix(h.line, []byte("\r")), []byte(" "))
	major, minor, ok := http.ParseHTTPVersion(string(version))
	if !ok {
		return fmt.Errorf("version %q", version)
	}
	code, _, _ := bytes.Cut(bytes.TrimLeft(status, " "), []byte(" "))
	if !isStatus(code) {
		return fmt.Errorf("status %q", code)
	}
	h.interim = code[0] == '1' && string(code) != "101" // no further response follows the latter
	h.withoutCodings = major < 1 || major == 1 && minor < 1
	h.part, h.line = lineStart, h.line[:0]
	return nil
}

// isStatus reports whether code is a status of RFC 9110, section 15.
func isStatus(code []byte) bool {
	return len(code) == 3 && code[0] >= '1' && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// beginLine determines by its first byte whether a line is a field, folded, or the end of the head.
func (h *headChecker) beginLine(b []byte) (rest []byte, err error) {
	switch b[0] {
	case '\n':
		h.endHead()
	case '\r':
		h.part = headEnd
	case ' ', '\t':
		h.part = restOfLine
	case ':':
		return nil, errors.New("field without a name")
	default:
		h.part = fieldName
		return b, nil
	}
	return b[1:], nil
}

// checkName checks the name of a field up to the colon. RFC 9112, section 5.1, allows no blank before it.
func (h *headChecker) checkName(b []byte) (rest []byte, err error) {
	for i, c := range b {
		switch {
		case c == ':':
			return b[i+1:], h.endName()
		case !isTokenByte(c):
			return nil, fmt.Errorf("byte %q in the name of a field that begins with %q", c, h.line)
		case len(h.line) <= len(codingField):
			h.line = append(h.line, c)
		}
	}
	return nil, nil
}

// endName checks a field by its name. The framing of an HTTP/1.0 response with a coding is faulty: RFC
// 9112, section 6.1. net/http drops the field and takes the coded bytes for the body.
func (h *headChecker) endName() error {
	if h.withoutCodings && strings.EqualFold(string(h.line), codingField) {
		return errors.New("coding of a body before HTTP/1.1")
	}
	h.part, h.line = restOfLine, h.line[:0]
	return nil
}

// isTokenByte reports whether c may be part of the name of a field: RFC 9110, section 5.6.2.
func isTokenByte(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// endHead ends a head.
func (h *headChecker) endHead() {
	h.part = afterHead
	if h.interim {
		h.part = statusLine
	}
}
