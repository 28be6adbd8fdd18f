package membership

import (
	"strings"
	"testing"
)

// Encoding and decoding preserves all fields of a member.
func TestMetadataRoundTrip(t *testing.T) {
	m := Member{Name: "lb-1", Incarnation: 1 << 63, Zone: "dc-a", Region: "java", Version: "v1.2", State: Draining, Capacity: 50, Config: 1<<64 - 1, Successor: true}
	encoded, err := encodeMetadata(m)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeMetadata(encoded); err != nil || got != m {
		t.Errorf("decoded %+v, %v, want %+v", got, err, m)
	}
}

// Metadata of a later format that permits readers of this format is accepted, and its unknown keys are ignored.
func TestMetadataOfLaterFormat(t *testing.T) {
	if got, err := decodeMetadata([]byte(`{"f":2,"s":1,"n":"b","i":4,"new":{"x":1}}`)); err != nil || got.Name != "b" {
		t.Errorf("decoded %+v, %v, want member b", got, err)
	}
}

func TestInvalidMetadataIsRejected(t *testing.T) {
	for _, c := range []struct{ name, encoded string }{
		{"empty", ``},
		{"no fields", `{}`},
		{"needs a later reader", `{"f":2,"s":2,"n":"b","i":4}`},
		{"slash in the name", `{"f":1,"s":1,"n":"b/1","i":4}`},
		{"no incarnation", `{"f":1,"s":1,"n":"b","i":0}`},
		{"unknown state", `{"f":1,"s":1,"n":"b","i":4,"t":9}`},
		{"line feed in the name", `{"f":1,"s":1,"n":"b\n","i":4}`},
		{"too long", `{"f":1,"s":1,"n":"` + strings.Repeat("x", 600) + `","i":4}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, err := decodeMetadata([]byte(c.encoded)); err == nil {
				t.Errorf("decoding %.40q returned %+v, want an error", c.encoded, got)
			}
		})
	}
}

// Decoding never panics, and each decoded member is valid.
func FuzzMetadata(f *testing.F) {
	f.Add([]byte(`{"f":1,"s":1,"n":"b","i":4,"t":1}`))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		m, err := decodeMetadata(encoded)
		if err != nil {
			return
		}
		if err := m.validate(); err != nil {
			t.Fatalf("decoding %q returned an invalid member: %v", encoded, err)
		}
	})
}
