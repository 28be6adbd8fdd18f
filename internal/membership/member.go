package membership

import (
	"fmt"
	"strings"
	"unicode"
)

// State is the lifecycle state that a member publishes.
type State uint8

// The states. Their numeric values are wire format, in the metadata.
const (
	Joining  State = iota // started, doesn't accept clients yet
	Serving               // accepts clients
	Draining              // rejects new clients; may return to Serving
	Leaving               // shutting down
)

var stateNames = []string{"joining", "serving", "draining", "leaving"}

// String returns the state's name, which the log and the response to the management call members contain.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// parseState returns the state with a name, or Joining for an unknown name.
func parseState(name string) State {
	for i, stateName := range stateNames {
		if stateName == name {
			return State(i)
		}
	}
	return Joining
}

// maxTextFieldLength bounds each text field of a member, in bytes.
const maxTextFieldLength = 64

// Member is the metadata that one process publishes about itself. Its text fields have at most maxTextFieldLength bytes, and
// only printable characters other than whitespace.
type Member struct {
	Name        string // of the balancer, not empty and without a slash; only the newest process of a name is active
	Incarnation uint64 // of the process, at least 1; higher for a later process of the same name
	Zone        string // may be empty
	Region      string // may be empty
	Version     string // of the balancer program
	State       State
	Capacity    int    // intended load in requests per second; 0 if unknown
	Config      uint64 // digest of the fleet file; 0 without a file
	Successor   bool   // inherited the client listener from the previous process in an upgrade
	Address     string // host:port for the transport; not part of the metadata
}

// ProcessID returns the identity of the member's process.
func (m Member) ProcessID() ProcessID { return ProcessID{Name: m.Name, Incarnation: m.Incarnation} }

// ProcessID identifies one of the processes that use a name, by its incarnation.
type ProcessID struct {
	Name        string
	Incarnation uint64
}

// nodeName returns the name of the process in memberlist. It is unique per process, so that two processes of the same name
// are both visible.
func (id ProcessID) nodeName() string { return fmt.Sprintf("%s/%x", id.Name, id.Incarnation) }

// validate returns an InvalidMemberError for the first invalid field.
func (m Member) validate() error {
	if m.Name == "" {
		return m.invalidField("name", "is empty")
	}
	for _, field := range []struct{ name, text string }{
		{"name", m.Name}, {"zone", m.Zone}, {"region", m.Region}, {"version", m.Version},
	} {
		if len(field.text) > maxTextFieldLength {
			return m.invalidField(field.name, fmt.Sprintf("%.20q exceeds %d bytes", field.text, maxTextFieldLength))
		}
		if strings.ContainsFunc(field.text, isSpaceOrUnprintable) {
			return m.invalidField(field.name, fmt.Sprintf("%.20q contains whitespace or unprintable characters", field.text))
		}
	}
	switch {
	case strings.Contains(m.Name, "/"):
		return m.invalidField("name", "contains a slash")
	case m.Incarnation == 0:
		return m.invalidField("incarnation", "is 0")
	case int(m.State) >= len(stateNames):
		return m.invalidField("state", fmt.Sprintf("%d is unknown", m.State))
	case m.Capacity < 0:
		return m.invalidField("capacity", fmt.Sprintf("%d is negative", m.Capacity))
	}
	return nil
}

func (m Member) invalidField(field, reason string) error {
	return &InvalidMemberError{Member: m.Name, Field: field, Reason: reason}
}

func isSpaceOrUnprintable(r rune) bool { return !unicode.IsGraphic(r) || unicode.IsSpace(r) }
