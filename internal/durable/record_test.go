package durable

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"testing"
	"time"
)

// The encoding of a record must not change, because a new version of the program has to read the records of the previous
// one. A change of the encoding needs a new recordFormat.
func TestRecordBytesAreStable(t *testing.T) {
	r := Record{Kind: "list", Owner: "b@s", Version: 3, Generation: 7, SavedAt: time.Unix(1e9, 42), Payload: []byte(`{"x":1}`)}
	const want = "5350525543455354010003000400030007000000000000002a0064a7b3b6e00d070000006c697374624073d1a54dc2b936ee387b2278223a317d26dbe46bb3f272e4"
	if got := hex.EncodeToString(r.encode()); got != want {
		t.Errorf("encoded record is %s, want %s", got, want)
	}
}

// A record in which any one bit is flipped is reported as corrupt.
func TestDecodeDetectsEveryFlippedBit(t *testing.T) {
	content := Record{Kind: "list", Owner: testOwner, Version: 3, Generation: 7, SavedAt: time.Unix(1e9, 42), Payload: []byte(`{"x":1}`)}.encode()
	for offset := range content {
		for bit := range 8 {
			flipped := bytes.Clone(content)
			flipped[offset] ^= 1 << bit
			if _, err := decode(flipped); !errors.Is(err, ErrCorrupt) {
				t.Errorf("bit %d of byte %d flipped: got error %v, want %v", bit, offset, err, ErrCorrupt)
			}
		}
	}
}

// Content that decodes without an error is encoded to the same bytes.
func FuzzDecode(f *testing.F) {
	f.Add(Record{Kind: "list", Owner: testOwner, Version: 1, Generation: 3, SavedAt: time.Unix(1e9, 0), Payload: []byte("{}")}.encode())
	f.Add([]byte(recordMagic))
	f.Fuzz(func(t *testing.T, content []byte) {
		r, err := decode(content)
		if err == nil && !bytes.Equal(r.encode(), content) {
			t.Errorf("%x decodes as %+v, which encodes as %x", content, r, r.encode())
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	benchmarkRecord(b, func(r Record, _ []byte) { r.encode() })
}

func BenchmarkDecode(b *testing.B) {
	benchmarkRecord(b, func(_ Record, content []byte) {
		if _, err := decode(content); err != nil {
			b.Fatal(err)
		}
	})
}

// benchmarkRecord runs an operation on records of about the size of the state of benchmarkedUpstreams.
func benchmarkRecord(b *testing.B, operation func(r Record, content []byte)) {
	b.Helper()
	for _, upstreams := range benchmarkedUpstreams {
		r := Record{Kind: "learnt", Owner: testOwner, Version: 1, Payload: bytes.Repeat([]byte{'x'}, stateBytesPerUpstream*upstreams)}
		content := r.encode()
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(content)))
			for b.Loop() {
				operation(r, content)
			}
		})
	}
}
