package durable

import (
	"encoding/hex"
	"testing"
	"time"
)

// The bytes of a record on disk, written by the version of this package before its readability work. A change here
// means that state folders in use can't be read any more: raise recordFormat instead.
func TestRecordBytesAreStable(t *testing.T) {
	r := Record{Kind: "list", Owner: "b@s", Version: 3, Generation: 7, SavedAt: time.Unix(1e9, 42), Payload: []byte(`{"x":1}`)}
	const want = "5350525543455354010003000400030007000000000000002a0064a7b3b6e00d070000006c697374624073d1a54dc2b936ee387b2278223a317d26dbe46bb3f272e4"
	if got := hex.EncodeToString(r.encode()); got != want {
		t.Errorf("the record is encoded as %s, want %s", got, want)
	}
}
