package framing

import (
	"errors"
	"strings"
	"testing"
)

const threeRequests = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello" +
	"POST /b HTTP/1.1\r\nTransfer-Encoding: Chunked\r\nHost: x\r\n\r\n5;name=\"v\"\r\nhello\r\n0A \r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n" +
	"GET /c HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n"

// The scanner finds the ends of requests however they are split into reads, and rejects an ambiguous head before its last
// byte, also after other requests.
func TestFramingIsCheckedAcrossReads(t *testing.T) {
	head := func(fields string) string { return "POST /x HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" }
	for _, c := range []struct {
		name, text string
		err        error
	}{
		{"proper", head("Content-Length: 3\r\n") + "abc", nil},
		{"proper, bare line feeds", "GET /x HTTP/1.1\nHost: x\n\n", nil},
		{"names alike", head("X-Content-Length: 3\r\nContent-Length-X: 4\r\nTransfer-Encodings: gzip\r\n"), nil},
		{"long line", head("X: " + strings.Repeat("x", 5000) + "\r\n"), nil},
		{"both", head("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), errLengthAndEncoding},
		{"both, the other way", head("transfer-encoding:chunked\r\nCONTENT-LENGTH:3\r\n"), errLengthAndEncoding},
		{"unequal lengths", head("Content-Length: 3\r\nContent-Length: 4\r\n"), errBadLength},
		{"lengths in a list", head("Content-Length: 3, 3\r\n"), errBadLength},
		{"signed length", head("Content-Length: +3\r\n"), errBadLength},
		{"negative length", head("Content-Length: -3\r\n"), errBadLength},
		{"no length", head("Content-Length:\r\n"), errBadLength},
		{"length too large", head("Content-Length: 99999999999999999999\r\n"), errBadLength},
		{"length longer than a scanned line", head("Content-Length: " + strings.Repeat("0", 400) + "3\r\n"), errBadLength},
		{"space before the colon", head("Content-Length : 3\r\n"), errBadLength},
		{"other encoding", head("Transfer-Encoding: gzip, chunked\r\n"), errBadEncoding},
		{"encoding twice", head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), errBadEncoding},
		{"odd encoding", head("Transfer-Encoding: \x0bchunked\r\n"), errBadEncoding},
		{"space before the colon of the encoding", head("Transfer-Encoding : chunked\r\n"), errBadEncoding},
		{"folded", head("X: y\r\n Content-Length: 3\r\n"), errFoldedLine},
		{"chunk without a size", head("Transfer-Encoding: chunked\r\n") + ";x\r\n", errBadChunk},
		{"chunk of no number", head("Transfer-Encoding: chunked\r\n") + "0x5\r\nhello\r\n", errBadChunk},
		{"chunk longer than announced", head("Transfer-Encoding: chunked\r\n") + "3\r\nhello\r\n0\r\n\r\n", errBadChunk},
		{"chunk too large", head("Transfer-Encoding: chunked\r\n") + "ffffffffffffffff1\r\n", errBadChunk},
	} {
		for _, before := range []string{"", threeRequests} {
			text := before + c.text
			for split := range len(text) {
				if split > 300 && c.err == nil {
					break // the rest is a long line: further splits test nothing new
				}
				var s requestScanner
				valid, err := s.scan([]byte(text[:split]))
				if err == nil {
					var more int
					more, err = s.scan([]byte(text[split:]))
					valid += more
				}
				if !errors.Is(err, c.err) {
					t.Fatalf("%s, split at %d: got %v, want %v", c.name, split, err, c.err)
				}
				if c.err != nil && (valid <= len(before) || valid >= len(text)) {
					t.Fatalf("%s, split at %d: accepted %d of %d bytes, want fewer than all and more than %d", c.name, split, valid, len(text), len(before))
				}
				if c.err == nil && (!s.atRequestStart() || s.headCount != 1+3*min(1, len(before))) {
					t.Fatalf("%s, split at %d: %d heads, at request start: %v", c.name, split, s.headCount, s.atRequestStart())
				}
			}
			var s requestScanner // byte by byte
			var err error
			for i := 0; i < len(text) && err == nil; i++ {
				_, err = s.scan([]byte(text[i : i+1]))
			}
			if !errors.Is(err, c.err) {
				t.Fatalf("%s, byte by byte: got %v, want %v", c.name, err, c.err)
			}
		}
	}
}
