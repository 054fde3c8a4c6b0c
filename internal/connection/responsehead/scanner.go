// Package responsehead checks the heads of HTTP/1.1 responses while they are read, for what
// net/http accepts although it is no response: a status below 100, a field whose name holds a
// space, of which it ignores the framing, and a line that begins with a space, which it joins to
// the one before.
package responsehead

import "golang.org/x/net/http/httpguts"

const (
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// switchingProtocols is the only status from 100 to 199 of a final response.
	switchingProtocols = "101"
)

// state is what a Scanner expects next.
type state int

const (
	inProtocol   state = iota // the protocol version, up to a space
	beforeStatus              // further spaces
	inStatus                  // the digits of the status
	inStatusLine              // the rest of the status line
	atLineStart               // a field line, or the empty line that ends the head
	atLineEnd                 // the end of the empty line
	inName                    // the rest of a field name, up to a colon
	inValue                   // the rest of a field line
	afterFinal                // nothing: the final head has ended
)

// Scanner checks the heads of the responses to one request: those of any number of
// informational responses and that of the final one. The zero value expects the first of them.
type Scanner struct {
	state  state
	status [statusDigits]byte
	digits int
}

// Scan checks the next bytes. What follows the final head is not checked. After an error, the
// Scanner must not be used again. Errors: ErrStatus, ErrFieldName.
func (s *Scanner) Scan(b []byte) error {
	for _, c := range b {
		if s.state == afterFinal {
			return nil
		}
		if err := s.next(c); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scanner) next(c byte) error {
	switch s.state {
	case inProtocol:
		if c == '\n' {
			return ErrStatus
		}
		if c == ' ' {
			s.state = beforeStatus
		}
	case beforeStatus, inStatus:
		return s.nextOfStatus(c)
	case inStatusLine, inValue:
		if c == '\n' {
			s.state = atLineStart
		}
	case atLineStart, atLineEnd, inName:
		return s.nextOfName(c)
	}
	return nil
}

func (s *Scanner) nextOfStatus(c byte) error {
	isDigit := '0' <= c && c <= '9'
	switch {
	case s.state == beforeStatus && c == ' ':
	case isDigit && s.digits < statusDigits:
		s.state = inStatus
		s.status[s.digits] = c
		s.digits++
	case s.digits < statusDigits || s.status[0] == '0':
		return ErrStatus
	case c == ' ' || c == '\r':
		s.state = inStatusLine
	case c == '\n':
		s.state = atLineStart
	default:
		return ErrStatus
	}
	return nil
}

func (s *Scanner) nextOfName(c byte) error {
	switch {
	case s.state != inName && c == '\n':
		s.endHead()
	case s.state == atLineStart && c == '\r':
		s.state = atLineEnd
	case s.state == inName && c == ':':
		s.state = inValue
	case s.state != atLineEnd && httpguts.IsTokenRune(rune(c)):
		s.state = inName
	default:
		return ErrFieldName
	}
	return nil
}

// endHead expects the next head after that of an informational response.
func (s *Scanner) endHead() {
	if s.status[0] == '1' && string(s.status[:]) != switchingProtocols {
		*s = Scanner{}
		return
	}
	s.state = afterFinal
}
