package framing

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// A chunked body is decoded however it is split into reads, and nothing behind it is read.
func TestChunkedReaderDecodesABody(t *testing.T) {
	for _, x := range []struct {
		name, text, want string
		err              error
	}{
		{"two chunks", "5\r\nhello\r\nA \r\n0123456789\r\n0\r\n\r\n", "hello0123456789", nil},
		{"extension and trailer", "5;name=\"v\"\r\nhello\r\n0;last\r\nX-Trailer: 1\r\n\r\n", "hello", nil},
		{"empty", "0\r\n\r\n", "", nil},
		{"ends within a chunk", "5\r\nhel", "hel", io.ErrUnexpectedEOF},
		{"ends within a line", "5\r\nhello\r\n1", "hello", io.ErrUnexpectedEOF},
		{"ends before the trailer's end", "5\r\nhello\r\n0\r\nX: y\r\n", "hello", io.ErrUnexpectedEOF},
		{"longer than announced", "3\r\nhello\r\n0\r\n\r\n", "hel", errBadChunk},
		{"no size", "x\r\n", "", errBadChunk},
	} {
		for name, split := range map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r },
			"byte by byte": iotest.OneByteReader, "error with data": iotest.DataErrReader} {
			const next = "next"
			text := x.text
			if x.err == nil {
				text += next
			}
			in := bufio.NewReader(split(strings.NewReader(text)))
			var reader ChunkedReader
			reader.Reset(in)
			got, err := io.ReadAll(&reader)
			if string(got) != x.want || !errors.Is(err, x.err) {
				t.Errorf("%s, %s: got %q and %v, want %q and %v", x.name, name, got, err, x.want, x.err)
			}
			if rest, _ := io.ReadAll(in); x.err == nil && string(rest) != next {
				t.Errorf("%s, %s: %q is left, want %q", x.name, name, rest, next)
			}
		}
	}
}

// What has arrived of a chunk is returned although the rest of it has not. Guards against data that is held back while its sender
// rests.
func TestChunkedReaderDoesNotWaitForTheRestOfAChunk(t *testing.T) {
	receiver, sender := io.Pipe()
	defer sender.Close()
	go io.WriteString(sender, "A\r\n01234")
	var reader ChunkedReader
	reader.Reset(bufio.NewReader(receiver))
	n, err := reader.Read(make([]byte, 100))
	if n != 5 || err != nil {
		t.Errorf("got %d bytes and %v, want the 5 that have arrived", n, err)
	}
}
