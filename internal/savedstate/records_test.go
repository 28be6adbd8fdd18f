package savedstate

import (
	"encoding/json"
	"strings"
	"testing"

	"sprucehill/internal/discovery"
)

// The saved formats must not change: a balancer has to read what another version of it saved.
func TestRecordFormats(t *testing.T) {
	tests := []struct {
		name  string
		value any
		text  string
	}{
		{
			"list",
			listRecord{Discovery: "127.0.0.1:1", List: discovery.List{Revision: 12, Complete: true, Members: []discovery.Entry{{ID: "s-1", HostPort: "127.0.0.1:2",
				Locality: "r/z", Cell: 3, Phase: "up", Size: 1.5, UpSinceMS: 4}}}},
			`{"discovery":"127.0.0.1:1","list":{"revision":12,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:2",` +
				`"locality":"r/z","cell":3,"phase":"up","size":1.5,"up_since_ms":4}]}}`,
		},
		{"orders", Orders{Serial: 3, Drain: true, DrainedZones: []string{"r/z"}}, `{"serial":3,"drain":true,"left":["r/z"]}`},
		{"no orders", Orders{}, `{"serial":0,"drain":false,"left":null}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text, err := json.Marshal(test.value)
			if err != nil {
				t.Fatal(err)
			}
			if string(text) != test.text {
				t.Errorf("got %s, want %s", text, test.text)
			}
		})
	}
	t.Run("snapshot", func(t *testing.T) {
		text, err := json.Marshal(snapshotRecord{Names: []string{"s-1"}})
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(string(text), `{"names":["s-1"],"knowledge":{`) {
			t.Errorf("got %s, want it to begin with names and knowledge", text)
		}
	})
}
