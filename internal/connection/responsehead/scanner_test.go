package responsehead

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// scanSplit scans text in two parts, and again byte by byte.
func scanSplit(t *testing.T, text string, want error) {
	t.Helper()
	for at := range len(text) + 1 {
		var s Scanner
		err := s.Scan([]byte(text[:at]))
		if err == nil {
			err = s.Scan([]byte(text[at:]))
		}
		must.ErrorIs(t, err, want, must.Sprintf("%q, split at %d", text, at))
	}
	var s Scanner
	var err error
	for i := 0; i < len(text) && err == nil; i++ {
		err = s.Scan([]byte(text[i : i+1]))
	}
	must.ErrorIs(t, err, want, must.Sprintf("%q, byte by byte", text))
}

func TestStatusIsFrom100To999(t *testing.T) {
	for status := range 1000 {
		var want error
		if status < 100 {
			want = ErrStatus
		}
		var s Scanner
		must.ErrorIs(t, s.Scan(fmt.Appendf(nil, "HTTP/1.1 %03d Reason\r\n", status)), want, must.Sprint(status))
		must.ErrorIs(t, CheckStatus(status), want, must.Sprint(status))
	}
	for _, status := range []string{"", " ", "20", "2000", "20 0", "+99", "-00", "-20", "0x2", "20x", "2O0", "200\t", "\x00200", "\xb2\xb2\xb2"} {
		scanSplit(t, "HTTP/1.1 "+status+"\r\n\r\n", ErrStatus)
	}
	must.ErrorIs(t, CheckStatus(1000), ErrStatus)
	scanSplit(t, "HTTP/1.1\r\n\r\n", ErrStatus)
	scanSplit(t, "\r\n", ErrStatus)
}

func TestHeadsOfResponses(t *testing.T) {
	const fields = "A: b\r\nEmpty:\r\nSpaces:  a  b \r\n"
	final := "HTTP/1.1 200 OK\r\n" + fields + "\r\n"
	for _, text := range []string{
		final,
		strings.ReplaceAll(final, "\r\n", "\n"),
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.0 200 \r\n\r\n",
		"HTTP/1.1  200 OK\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + fields + "\r\n" + final,
	} {
		scanSplit(t, text, nil)
		scanSplit(t, text+"\r\n\r\nHTTP/1.1 000 body\r\n :\r\n", nil)
	}
	scanSplit(t, "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 000", nil)
	scanSplit(t, "HTTP/1.1 199 Last\r\n\r\nHTTP/1.1 099 No\r\n\r\n"+final, ErrStatus)
}

func TestFieldNamesAreTokens(t *testing.T) {
	const tokens = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for c := range 256 {
		var want error
		if !strings.ContainsRune(tokens, rune(c)) {
			want = ErrFieldName
		}
		b := string([]byte{byte(c)})
		if b != "\n" { // it would end the head
			scanSplit(t, "HTTP/1.1 200 OK\r\n"+b+"A: 1\r\n\r\n", want)
		}
		if b != ":" { // it would end the name
			scanSplit(t, "HTTP/1.1 200 OK\r\nFirst: 1\r\nA"+b+": 1\r\n\r\n", want)
		}
	}
	for _, line := range []string{": 1\r\n", "No-Colon\r\n", "A: b\r\n c: d\r\n", "A: b\r\n\tc\r\n", "A: b\r\n \r\n", "\r\r\n", "\rA: b\r\n"} {
		scanSplit(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n", ErrFieldName)
		scanSplit(t, "HTTP/1.1 100 Continue\r\n"+line+"\r\nHTTP/1.1 200 OK\r\n\r\n", ErrFieldName)
	}
}
