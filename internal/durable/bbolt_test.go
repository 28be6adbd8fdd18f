package durable

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// The benchmarks compare the store with the key-value store bbolt, the alternative to it: saving a state, and loading it at a
// start, with 12 and with 2,000 upstreams. bbolt has no checksums over its data pages, so that a flipped bit in them is read
// as if it had been written, or crashes the process. TestBboltReadsFlippedBits demonstrates the former.

const (
	bboltBucket = "state"
	bboltKey    = "learnt"
	// stateBytesPerUpstream is the approximate size of a saved state per upstream.
	stateBytesPerUpstream = 300
)

var benchmarkedUpstreams = []int{12, 2000}

func BenchmarkSave(b *testing.B) {
	for _, upstreams := range benchmarkedUpstreams {
		state := bytes.Repeat([]byte{'x'}, stateBytesPerUpstream*upstreams)
		b.Run(fmt.Sprintf("store/%d", upstreams), func(b *testing.B) {
			s := openStore(b, b.TempDir(), testOwner, &logRecorder{})
			b.ReportAllocs()
			for b.Loop() {
				save(b, s, "learnt", 1, string(state))
			}
		})
		b.Run(fmt.Sprintf("bbolt/%d", upstreams), func(b *testing.B) {
			db := openBbolt(b, filepath.Join(b.TempDir(), "db"))
			defer db.Close()
			b.ReportAllocs()
			for b.Loop() {
				putBbolt(b, db, state)
			}
		})
	}
}

func BenchmarkRecover(b *testing.B) {
	for _, upstreams := range benchmarkedUpstreams {
		state := bytes.Repeat([]byte{'x'}, stateBytesPerUpstream*upstreams)
		b.Run(fmt.Sprintf("store/%d", upstreams), func(b *testing.B) {
			path := b.TempDir()
			save(b, openStore(b, path, testOwner, &logRecorder{}), "learnt", 1, string(state))
			for b.Loop() {
				if _, ok := openStore(b, path, testOwner, &logRecorder{}).Load("learnt", 1); !ok {
					b.Fatal("no state loaded")
				}
			}
		})
		b.Run(fmt.Sprintf("bbolt/%d", upstreams), func(b *testing.B) {
			path := filepath.Join(b.TempDir(), "db")
			db := openBbolt(b, path)
			putBbolt(b, db, state)
			db.Close()
			for b.Loop() {
				db := openBbolt(b, path)
				if got := getBbolt(b, db); len(got) != len(state) {
					b.Fatal("no state loaded")
				}
				db.Close()
			}
		})
	}
}

func openBbolt(tb testing.TB, path string) *bbolt.DB {
	tb.Helper()
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		tb.Fatal(err)
	}
	return db
}

func putBbolt(tb testing.TB, db *bbolt.DB, state []byte) {
	tb.Helper()
	err := db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists([]byte(bboltBucket))
		if err != nil {
			return err
		}
		return bucket.Put([]byte(bboltKey), state)
	})
	if err != nil {
		tb.Fatal(err)
	}
}

func getBbolt(tb testing.TB, db *bbolt.DB) []byte {
	tb.Helper()
	var state []byte
	err := db.View(func(tx *bbolt.Tx) error {
		state = bytes.Clone(tx.Bucket([]byte(bboltBucket)).Get([]byte(bboltKey)))
		return nil
	})
	if err != nil {
		tb.Fatal(err)
	}
	return state
}

// bbolt was not chosen because it returns a value with a flipped bit as if it were valid. If this test fails, the choice can
// be reconsidered.
func TestBboltReadsFlippedBits(t *testing.T) {
	path := filepath.Join(t.TempDir(), "db")
	state := bytes.Repeat([]byte("0123456789"), 30)
	db := openBbolt(t, path)
	putBbolt(t, db, state)
	db.Close()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	offset := bytes.LastIndex(content, []byte("0123456789"))
	content[offset] ^= 1
	if err := os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
	db = openBbolt(t, path)
	defer db.Close()
	if got := getBbolt(t, db); bytes.Equal(got, state) || len(got) != len(state) {
		t.Errorf("bbolt detected the flipped bit, so it may be reconsidered; it returned %d bytes", len(got))
	}
}
