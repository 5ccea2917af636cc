package head

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"
)

var responseTests = []struct {
	name, head string
	ok         bool
}{
	{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
	{"chunks in capitals", "HTTP/1.1 200 OK\r\ntransfer-encoding:CHUNKED \r\n\r\n", true},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n", true},
	{"no reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n", true},
	{"empty reason", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\n", true},
	{"reason of several words", "HTTP/1.1 404 Not\tF\xc3\xb6und\r\nContent-Length: 2\r\n\r\n", true},
	{"line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\nX Foo: body", true},
	{"all bytes of a token", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n", true},
	{"empty value", "HTTP/1.1 200 OK\r\nX-Foo:\r\n\r\n", true},
	{"bytes over 127 in a value", "HTTP/1.1 200 OK\r\nX-Foo: \xc3\xb6\r\n\r\n", true},
	{"equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\ncontent-length:2 \r\n\r\n", true},
	{"folded value", "HTTP/1.1 200 OK\r\nX-Foo: a\r\n b: c\r\n\td\r\n\r\n", true},
	{"what follows is no head", "HTTP/1.1 200 OK\r\n\r\n\x00 X Foo: bar\r\n", true},

	{"space within a name", "HTTP/1.1 200 OK\r\nX Foo: bar\r\n\r\n", false},
	{"space before the colon", "HTTP/1.1 200 OK\r\nX-Foo : bar\r\n\r\n", false},
	{"tab before the colon", "HTTP/1.1 200 OK\r\nX-Foo\t: bar\r\n\r\n", false},
	{"space in the name of the length", "HTTP/1.1 200 OK\r\nContent- Length: 5\r\n\r\n", false},
	{"space behind the length", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n", false},
	{"space behind the coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n", false},
	{"NUL in a name", "HTTP/1.1 200 OK\r\nX\x00Foo: bar\r\n\r\n", false},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Foo: bar\r\n\r\n", false},
	{"control byte first in a name", "HTTP/1.1 200 OK\r\n\x0bX-Foo: bar\r\n\r\n", false},
	{"DEL in a name", "HTTP/1.1 200 OK\r\nX\x7fFoo: bar\r\n\r\n", false},
	{"byte over 127 in a name", "HTTP/1.1 200 OK\r\nX\xf6Foo: bar\r\n\r\n", false},
	{"separator in a name", "HTTP/1.1 200 OK\r\nX(Foo: bar\r\n\r\n", false},
	{"no name", "HTTP/1.1 200 OK\r\n: bar\r\n\r\n", false},
	{"no colon", "HTTP/1.1 200 OK\r\nX-Foo\r\n\r\n", false},
	{"NUL in a value", "HTTP/1.1 200 OK\r\nX-Foo: b\x00r\r\n\r\n", false},
	{"control byte in a value", "HTTP/1.1 200 OK\r\nX-Foo: b\x08r\r\n\r\n", false},
	{"CR in a value", "HTTP/1.1 200 OK\r\nX-Foo: b\rContent-Length: 5\r\n\r\n", false},
	{"two CR", "HTTP/1.1 200 OK\r\nX-Foo: bar\r\r\n\r\n", false},
	{"fold behind the status line", "HTTP/1.1 200 OK\r\n X-Foo: bar\r\n\r\n", false},
	{"folded coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n , gzip\r\n\r\n", false},
	{"folded length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n 0\r\n\r\n", false},
	{"control byte in a fold", "HTTP/1.1 200 OK\r\nX-Foo: a\r\n \x01\r\n\r\n", false},
	{"two codings", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", false},
	{"chunks twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n\r\n", false},
	{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", false},

	{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"status 099", "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"status 600", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"status 999", "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"status with a letter", "HTTP/1.1 20x OK\r\nContent-Length: 2\r\n\r\n", false},
	{"signed status", "HTTP/1.1 +200 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"no status", "HTTP/1.1 \r\nContent-Length: 2\r\n\r\n", false},
	{"two spaces", "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"tab", "HTTP/1.1\t200 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"NUL in the reason", "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\n", false},
	{"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"HTTP/1.10", "HTTP/1.10 200 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"another protocol", "ICY 200 OK\r\nContent-Length: 2\r\n\r\n", false},
	{"nothing", "", false},
}

// Guards against a head that readers understand differently and that is passed on, and against a sound one that is refused.
func TestCheckResponse(t *testing.T) {
	for _, tt := range responseTests {
		if err := CheckResponse([]byte(tt.head)); (err == nil) != tt.ok || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

// Guards against a head that passes the check and that the parser in use reads otherwise than a strict one: another status,
// another framing of the body, or a field with another name.
func FuzzCheckedResponseIsReadAlike(f *testing.F) {
	for _, tt := range responseTests {
		f.Add([]byte(tt.head))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		b = append(bytes.Clone(b), "\r\n\r\n"...)
		if CheckResponse(b) != nil {
			return
		}
		var got fasthttp.ResponseHeader
		got.DisableNormalizing()
		got.SetNoDefaultContentType(true)
		if got.Read(bufio.NewReaderSize(bytes.NewReader(b), len(b)+1)) != nil {
			return // is a failure
		}
		want, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
		if err != nil {
			t.Fatalf("%q: refused by the strict reader: %v", b, err)
		}
		if got.StatusCode() != want.StatusCode {
			t.Errorf("%q: status %d, want %d", b, got.StatusCode(), want.StatusCode)
		}
		if chunked := got.ContentLength() == -1; chunked != (len(want.TransferEncoding) > 0) && want.ProtoAtLeast(1, 1) {
			t.Errorf("%q: in chunks %t, want %v", b, chunked, want.TransferEncoding)
		}
		for name := range got.All() {
			if _, ok := want.Header[http.CanonicalHeaderKey(string(name))]; !ok && !isFraming(name) {
				t.Errorf("%q: field %q is unknown to the strict reader", b, name)
			}
		}
	})
}

// isFraming reports whether a reader may take a field for its own.
func isFraming(name []byte) bool {
	for _, n := range []string{"Connection", "Content-Length", "Transfer-Encoding", "Trailer"} {
		if bytes.EqualFold(name, []byte(n)) {
			return true
		}
	}
	return false
}
